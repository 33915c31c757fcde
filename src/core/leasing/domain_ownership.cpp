#include "goldcrestgate/core/leasing/domain_ownership.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// An instance counts as gone after this time without a heartbeat. Heartbeats
/// are sent every 100 ms, and a CPU quota can stall a process for up to 100 ms.
constexpr duration heartbeat_timeout = std::chrono::milliseconds{450};

/// A live process reconnects within this time after a connection reset.
constexpr duration reconnect_timeout = std::chrono::milliseconds{200};

/// Time for which a new instance waits for heartbeats of an owner before it
/// claims: it takes about 50 ms to find the other instances through the
/// platform, and each of them sends a heartbeat on connection. After a loss of
/// all instances, this delay adds to the outage.
constexpr duration first_claim_delay = std::chrono::milliseconds{200};

/// Time for which an instance that may claim waits for a preferred owner that
/// may not claim yet; longer waits leave executors unused.
constexpr duration preferred_owner_wait = std::chrono::milliseconds{50};

/// Time for which an owner whose token was refused waits for a heartbeat of the
/// other owner.
constexpr duration fenced_claim_delay = std::chrono::milliseconds{700};

/// Increment of the term after a refusal while claiming: clocks of instances
/// differ by seconds, so an earlier owner may have used a later time.
constexpr std::uint64_t refused_term_step_ms = 5'000;

/// Number of low bits of a token that hold bits of the instance's id, below the
/// term, so that two instances never use the same token.
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
    , claim_allowed_at_(now + first_claim_delay)
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
    found->second.last_heartbeat_at =
        std::min(found->second.last_heartbeat_at,
                 now - heartbeat_timeout + reconnect_timeout);
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
        claim_allowed_at_ = now;
    }
    else
    {
        claim_allowed_at_ = now + fenced_claim_delay;
    }
    release_requested_ = true;
}

bool domain_ownership::is_alive(peer_state const& peer, time_point now) const
{
    return now - peer.last_heartbeat_at < heartbeat_timeout;
}

bool domain_ownership::is_preferred_owner(time_point now) const
{
    return std::ranges::none_of(
        peers_,
        [&](auto const& entry)
        {
            auto const& peer = entry.second;
            auto const peer_claims_at =
                peer.last_heartbeat_at + peer.last.time_to_claim;
            if (peer.key.domain != self_.domain || peer.last.leaving ||
                !is_alive(peer, now) ||
                peer_claims_at > now + preferred_owner_wait)
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
        if (other_owner || release_requested_)
        {
            term_ = 0;
            release_requested_ = false;
            return release_ownership{};
        }
        return {};
    }
    if (other_owner || leaving_ || now < claim_allowed_at_ ||
        !is_preferred_owner(now))
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
    owner_heartbeat message;
    message.term = term_;
    message.highest_term = highest_term_;
    message.weight = weight_;
    message.leaving = leaving_;
    message.free_millicores = free_millicores;
    message.expected_wait = expected_wait;
    message.time_to_claim = std::max(duration{}, claim_allowed_at_ - now);
    return message;
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
    std::vector<instance_id> unresponsive;
    for (auto const& [id, peer] : peers_)
    {
        if (!is_alive(peer, now))
        {
            unresponsive.push_back(id);
        }
    }
    for (auto const id : unresponsive)
    {
        peers_.erase(id);
    }
    return unresponsive;
}

} // namespace goldcrestgate::core
