// Queries of the membership, and its builder.

#include "goldcrestgate/core/membership/membership.hpp"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

// Missed heartbeats after which an instance is suspect and, later, gone.
constexpr int suspect_after_missed = 3;
constexpr int gone_after_missed = 6;

constexpr duration other_domain_interval = std::chrono::seconds{1};

} // namespace

std::optional<instance_state>
membership::state_of(instance_key const& peer) const
{
    auto const found = peers_.find(peer.instance);
    if (found == peers_.end() || !found->second.view.incarnation)
    {
        return std::nullopt;
    }
    auto const& entry = found->second;
    if (entry.view.incarnation == peer.incarnation)
    {
        return entry.view.state;
    }
    if (entry.previous == peer.incarnation)
    {
        return entry.previous_state;
    }
    return peer.incarnation < *entry.view.incarnation
               ? std::optional{instance_state::gone}
               : std::nullopt;
}

bool membership::is_connected(instance_id peer) const
{
    auto const found = peers_.find(peer);
    return found != peers_.end() && found->second.view.connected;
}

std::optional<instance_key> membership::current(instance_id peer) const
{
    return is_connected(peer) ? std::optional{key_of(peers_.at(peer))}
                              : std::nullopt;
}

std::uint32_t membership::rank() const
{
    return static_cast<std::uint32_t>(
        std::count_if(peers_.begin(), peers_.lower_bound(self_.instance),
                      [this](auto const& item)
                      {
                          return counts_as_live(item.second);
                      }));
}

std::uint32_t membership::live_count() const
{
    auto const others = std::count_if(peers_.begin(), peers_.end(),
                                      [this](auto const& item)
                                      {
                                          return counts_as_live(item.second);
                                      });
    return static_cast<std::uint32_t>(others) + 1;
}

std::vector<instance_key> membership::copy_candidates() const
{
    struct candidate
    {
        instance_key key;
        std::string rack;
        bool suspect = false;
        std::size_t order = 0;
    };
    std::vector<candidate> remaining;
    for (auto const& [id, entry] : peers_)
    {
        if (counts_as_live(entry) && entry.view.ready && !entry.view.leaving)
        {
            auto const order =
                detail::mix_hash(self_.instance.value(), id.value());
            remaining.push_back({key_of(entry), entry.view.rack,
                                 entry.view.state == instance_state::suspect,
                                 order});
        }
    }
    std::set<std::string> used_racks{rack_};
    std::vector<instance_key> chosen;
    auto const precedes =
        [&used_racks](candidate const& left, candidate const& right)
    {
        auto const rank = [&used_racks](candidate const& one)
        {
            return std::tuple{one.suspect, used_racks.contains(one.rack),
                              one.order};
        };
        return rank(left) < rank(right);
    };
    while (!remaining.empty())
    {
        auto const next =
            std::min_element(remaining.begin(), remaining.end(), precedes);
        chosen.push_back(next->key);
        used_racks.insert(next->rack);
        remaining.erase(next);
    }
    return chosen;
}

std::vector<instance_key> membership::own_domain_peers() const
{
    return peers_in(self_.domain);
}

std::vector<instance_key> membership::peers_in(domain_id domain) const
{
    std::vector<instance_key> keys;
    for (auto const& [id, entry] : peers_)
    {
        if (entry.view.domain == domain && entry.view.connected)
        {
            keys.push_back(key_of(entry));
        }
    }
    return keys;
}

std::vector<instance_view> membership::instances() const
{
    std::vector<instance_view> views;
    views.reserve(peers_.size());
    for (auto const& [id, entry] : peers_)
    {
        views.push_back(entry.view);
    }
    return views;
}

bool membership::is_own_domain(peer_entry const& entry) const
{
    return entry.view.domain == self_.domain;
}

bool membership::counts_as_live(peer_entry const& entry) const
{
    return is_own_domain(entry) && entry.view.incarnation &&
           (entry.view.state == instance_state::live ||
            entry.view.state == instance_state::suspect);
}

instance_key membership::key_of(peer_entry const& entry)
{
    return {entry.view.domain, entry.view.instance,
            entry.view.incarnation.value_or(incarnation{})};
}

membership_builder& membership_builder::self(instance_key const& key)
{
    self_ = key;
    return *this;
}

membership_builder& membership_builder::rack(std::string name)
{
    rack_ = std::move(name);
    return *this;
}

membership_builder& membership_builder::heartbeat_interval(duration interval)
{
    heartbeat_interval_ = interval;
    return *this;
}

membership membership_builder::build(time_point now) const
{
    membership built;
    built.self_ = self_;
    built.rack_ = rack_;
    built.heartbeat_interval_ = heartbeat_interval_;
    built.suspect_after_ = suspect_after_missed * heartbeat_interval_;
    built.gone_after_ = gone_after_missed * heartbeat_interval_;
    built.other_domain_interval_ = other_domain_interval;
    built.last_advance_ = now;
    built.next_other_domain_heartbeat_ = now;
    built.next_deadline_ = now;
    return built;
}

} // namespace goldcrestgate::core
