#include "goldcrestgate/core/leasing/domain_ownership.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

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

/// Time after the loss of an owner for which instances that it did not
/// designate leave the claim to its successors, which need up to 50 ms for it.
/// It also lets the heartbeats of all instances arrive, which they exchange
/// only without an owner.
constexpr duration undesignated_claim_delay = std::chrono::milliseconds{400};

/// Validity of a report of another instance that it follows an owner; such
/// reports answer the heartbeats of an instance without an owner, which are
/// sent every 100 ms.
constexpr duration follow_report_validity = std::chrono::milliseconds{150};

/// Time for the other instances to report that they still hear from an owner
/// that this instance no longer hears from.
constexpr duration report_wait = std::chrono::milliseconds{40};

/// The loss of an owner and of one successor at a time leaves a successor.
constexpr std::size_t successor_count = 2;

/// Time between an owner's checks for a larger instance. It is long enough for
/// a successor to receive the roster and to claim, and short beside the time
/// for which an instance too small for the load would stay the owner.
constexpr duration yield_interval = std::chrono::milliseconds{500};

/// An owner yields to an instance that is larger by at least this factor; a
/// smaller gain is not worth a change of the owner.
constexpr std::uint32_t yield_weight_factor = 2;

/// Time before a possible claim from which an instance prepares for it.
constexpr duration claim_preparation_time = std::chrono::milliseconds{100};

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
    follow_owner(heartbeat, now);
    highest_term_ =
        std::max({highest_term_, heartbeat.term, heartbeat.highest_term});
}

void domain_ownership::follow_owner(owner_heartbeat const& heartbeat,
                                    time_point now)
{
    if (heartbeat.term == 0 || heartbeat.term < highest_term_)
    {
        return;
    }
    owner_seen_at_ = now;
    owner_silent_since_.reset();
    designated_ = std::ranges::find(heartbeat.successors, self_.instance) !=
                  heartbeat.successors.end();
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
    auto& known = found->second;
    known.last_heartbeat_at =
        std::min(known.last_heartbeat_at,
                 now - silence_limit(known.last.interval) + reconnect_timeout);
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

void domain_ownership::paused(time_point now)
{
    claim_allowed_at_ = std::max(claim_allowed_at_, now + first_claim_delay);
    if (term_ != 0)
    {
        highest_term_ = std::max(highest_term_, term_);
        release_requested_ = true;
    }
}

bool domain_ownership::is_alive(peer_state const& peer, time_point now)
{
    return now - peer.last_heartbeat_at < silence_limit(peer.last.interval);
}

bool domain_ownership::is_fresh(peer_state const& peer, time_point now)
{
    return now - peer.last_heartbeat_at < silence_limit({});
}

domain_ownership::peer_state const*
domain_ownership::other_owner(time_point now) const
{
    peer_state const* owner = nullptr;
    for (auto const& [id, peer] : peers_)
    {
        bool const owns = peer.key.domain == self_.domain &&
                          peer.last.term > term_ && is_alive(peer, now) &&
                          (!peer.last.leaving || term_ != 0);
        if (owns && (owner == nullptr || peer.last.term > owner->last.term))
        {
            owner = &peer;
        }
    }
    return owner;
}

time_point domain_ownership::claim_time() const
{
    auto earliest = claim_allowed_at_;
    if (owner_silent_since_)
    {
        earliest = std::max(earliest, *owner_silent_since_ + report_wait);
    }
    if (owner_seen_at_ && !designated_)
    {
        earliest =
            std::max(earliest, *owner_seen_at_ + undesignated_claim_delay);
    }
    return earliest;
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
                !is_fresh(peer, now) ||
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
    auto const* const owner = other_owner(now);
    if (term_ != 0)
    {
        update_yield(now);
        if (owner != nullptr || release_requested_)
        {
            term_ = 0;
            yields_to_ = {};
            release_requested_ = false;
            return release_ownership{};
        }
        return {};
    }
    if (leaving_ || now < claim_time())
    {
        return {};
    }
    bool const invited =
        owner != nullptr && owner->last.yields_to == self_.instance;
    bool const unowned =
        owner == nullptr && !peers_follow_owner(now) && is_preferred_owner(now);
    if (!invited && !unowned)
    {
        return {};
    }
    yield_checked_at_ = now;
    term_ = std::max(unix_ms, highest_term_ + 1);
    highest_term_ = term_;
    return claim_ownership{term_, make_token(term_, self_.instance)};
}

void domain_ownership::update_yield(time_point now)
{
    if (now - yield_checked_at_ < yield_interval)
    {
        return;
    }
    yield_checked_at_ = now;
    yields_to_ = {};
    auto const successors = designated_successors(now);
    if (!successors.empty() && !leaving_)
    {
        auto const& largest = peers_.at(successors.front()).last;
        if (largest.weight >= weight_ * yield_weight_factor &&
            largest.time_to_claim == duration{})
        {
            yields_to_ = successors.front();
        }
    }
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
    message.time_to_claim = std::max(duration{}, claim_time() - now);
    message.successors = designated_successors(now);
    message.owner_known = other_owner(now) != nullptr;
    message.yields_to = yields_to_;
    return message;
}

std::vector<instance_id>
domain_ownership::designated_successors(time_point now) const
{
    if (term_ == 0)
    {
        return {};
    }
    std::vector<peer_state const*> candidates;
    for (auto const& [id, peer] : peers_)
    {
        if (peer.key.domain == self_.domain && !peer.last.leaving &&
            is_fresh(peer, now))
        {
            candidates.push_back(&peer);
        }
    }
    // The order of the ids, which peers_ has, decides among equal weights.
    std::ranges::stable_sort(candidates, std::ranges::greater{},
                             [](peer_state const* peer)
                             {
                                 return peer->last.weight;
                             });
    std::vector<instance_id> successors;
    for (auto const* const peer : candidates)
    {
        if (successors.size() == successor_count)
        {
            break;
        }
        successors.push_back(peer->key.instance);
    }
    return successors;
}

succession_view domain_ownership::succession(time_point now) const
{
    auto const* const owner = other_owner(now);
    succession_view view;
    view.owner_known = term_ != 0 || owner != nullptr;
    if (owner != nullptr && designated_)
    {
        view.fellow_successors = owner->last.successors;
    }
    return view;
}

bool domain_ownership::peers_follow_owner(time_point now) const
{
    return std::ranges::any_of(peers_,
                               [&](auto const& entry)
                               {
                                   auto const& peer = entry.second;
                                   return peer.key.domain == self_.domain &&
                                          peer.last.owner_known &&
                                          now - peer.last_heartbeat_at <
                                              follow_report_validity;
                               });
}

bool domain_ownership::is_successor(time_point now) const
{
    return designated_ && other_owner(now) != nullptr;
}

bool domain_ownership::may_claim_soon(time_point now) const
{
    return !leaving_ && other_owner(now) == nullptr &&
           now + claim_preparation_time >= claim_time() &&
           is_preferred_owner(now);
}

std::optional<duration>
domain_ownership::interval_to(instance_key const& peer,
                              succession_view const& view,
                              bool shares_jobs) const
{
    auto const found = peers_.find(peer.instance);
    peer_relation relation;
    relation.same_domain = peer.domain == self_.domain;
    relation.owner_known = view.owner_known;
    relation.self_owns = term_ != 0;
    relation.peer_owns = found != peers_.end() && found->second.last.term != 0;
    relation.both_successors =
        std::ranges::find(view.fellow_successors, peer.instance) !=
        view.fellow_successors.end();
    relation.shares_jobs = shares_jobs;
    return core::heartbeat_interval(relation);
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
        if (peer.last.interval > duration{} && !is_alive(peer, now))
        {
            unresponsive.push_back(id);
        }
    }
    for (auto const id : unresponsive)
    {
        auto const& peer = peers_.at(id);
        if (peer.key.domain == self_.domain && peer.last.term != 0)
        {
            owner_silent_since_ = now;
        }
        peers_.erase(id);
    }
    return unresponsive;
}

} // namespace goldcrestgate::core
