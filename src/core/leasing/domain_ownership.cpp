#include "goldcrestgate/core/leasing/domain_ownership.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// Without a heartbeat for this long an instance counts as gone. Heartbeats
/// come every 100 ms, and a processor quota holds a process for up to 100 ms.
constexpr duration silence_limit = std::chrono::milliseconds{450};

/// A connection that was reset stands again within this time, if the other
/// process lives.
constexpr duration reconnect_time = std::chrono::milliseconds{200};

/// A new instance first listens for an owner this long: it needs about 50 ms to
/// find the others through the platform, and each sends a heartbeat when they
/// connect. After a loss of all instances the delay adds to the outage.
constexpr duration first_claim_delay = std::chrono::milliseconds{200};

/// An instance that may claim waits this long for one that would be the better
/// owner and may not claim yet; longer waits leave executors unused.
constexpr duration better_owner_patience = std::chrono::milliseconds{50};

/// An owner whose token was refused waits this long for a sign of the other.
constexpr duration fence_pause = std::chrono::milliseconds{700};

/// Step of the term after a refusal while claiming: clocks of instances differ
/// by seconds, so an earlier owner may have used a later time.
constexpr std::uint64_t refused_term_step_ms = 5'000;

/// A token is the term and these bits of the instance's id, so that two
/// instances never use one token.
constexpr unsigned instance_bits = 10;

fencing_token make_token(std::uint64_t term, instance_id instance)
{
    constexpr std::uint64_t mask = (1U << instance_bits) - 1;
    return fencing_token{(term << instance_bits) | (instance.value() & mask)};
}

} // namespace

domain_ownership::domain_ownership(instance_key self, std::uint32_t weight,
                                   time_point now)
    : self_(self)
    , weight_(weight)
    , may_claim_at_(now + first_claim_delay)
{
}

void domain_ownership::heartbeat_received(instance_key const& from,
                                          owner_heartbeat const& heartbeat,
                                          time_point now)
{
    peers_[from.instance] = {from, heartbeat, now};
    if (from.domain != self_.domain)
    {
        return;
    }
    highest_term_ =
        std::max({highest_term_, heartbeat.term, heartbeat.highest_term});
}

void domain_ownership::lost(instance_id peer, bool ended, time_point now)
{
    auto const found = peers_.find(peer);
    if (found == peers_.end())
    {
        return;
    }
    if (ended)
    {
        peers_.erase(found);
        return;
    }
    found->second.heard_at =
        std::min(found->second.heard_at, now - silence_limit + reconnect_time);
}

void domain_ownership::fenced(bool while_claiming, time_point now)
{
    if (term_ == 0)
    {
        return;
    }
    highest_term_ = std::max(highest_term_, term_);
    if (while_claiming)
    {
        highest_term_ += refused_term_step_ms;
        may_claim_at_ = now;
    }
    else
    {
        may_claim_at_ = now + fence_pause;
    }
    give_up_ = true;
}

bool domain_ownership::is_alive(peer_state const& peer, time_point now) const
{
    return now - peer.heard_at < silence_limit;
}

bool domain_ownership::is_first_choice(time_point now) const
{
    return std::ranges::none_of(
        peers_,
        [&](auto const& entry)
        {
            auto const& peer = entry.second;
            auto const claims_at = peer.heard_at + peer.last.time_to_claim;
            if (peer.key.domain != self_.domain || peer.last.leaving ||
                !is_alive(peer, now) || claims_at > now + better_owner_patience)
            {
                return false;
            }
            return peer.last.weight > weight_ ||
                   (peer.last.weight == weight_ &&
                    peer.key.instance < self_.instance);
        });
}

ownership_decision domain_ownership::decide(time_point now,
                                            std::uint64_t unix_ms)
{
    bool const other_owner = std::ranges::any_of(
        peers_,
        [&](auto const& entry)
        {
            auto const& peer = entry.second;
            return peer.key.domain == self_.domain && is_alive(peer, now) &&
                   peer.last.term > term_ && (!peer.last.leaving || term_ != 0);
        });
    if (term_ != 0)
    {
        if (other_owner || give_up_)
        {
            term_ = 0;
            give_up_ = false;
            return give_up_ownership{};
        }
        return {};
    }
    if (other_owner || leaving_ || now < may_claim_at_ || !is_first_choice(now))
    {
        return {};
    }
    term_ = std::max(unix_ms, highest_term_ + 1);
    highest_term_ = term_;
    return claim_ownership{term_, make_token(term_, self_.instance)};
}

owner_heartbeat domain_ownership::heartbeat(std::uint32_t free_millicores,
                                            duration expected_wait,
                                            time_point now) const
{
    owner_heartbeat beat;
    beat.term = term_;
    beat.highest_term = highest_term_;
    beat.weight = weight_;
    beat.leaving = leaving_;
    beat.free_millicores = free_millicores;
    beat.expected_wait = expected_wait;
    beat.time_to_claim = std::max(duration{}, may_claim_at_ - now);
    return beat;
}

std::vector<owner_view> domain_ownership::owners(time_point now) const
{
    std::map<domain_id, owner_view> best;
    if (term_ != 0)
    {
        best[self_.domain] = {self_.domain, self_.instance, term_, 0, {}};
    }
    for (auto const& [id, peer] : peers_)
    {
        if (peer.last.term == 0 || !is_alive(peer, now))
        {
            continue;
        }
        auto& view = best[peer.key.domain];
        if (peer.last.term > view.term)
        {
            view = {peer.key.domain, id, peer.last.term,
                    peer.last.free_millicores, peer.last.expected_wait};
        }
    }
    std::vector<owner_view> views;
    views.reserve(best.size());
    for (auto const& [domain, view] : best)
    {
        views.push_back(view);
    }
    return views;
}

std::vector<instance_id> domain_ownership::take_unresponsive(time_point now)
{
    std::vector<instance_id> silent;
    for (auto const& [id, peer] : peers_)
    {
        if (!is_alive(peer, now))
        {
            silent.push_back(id);
        }
    }
    for (auto const id : silent)
    {
        peers_.erase(id);
    }
    return silent;
}

} // namespace goldcrestgate::core
