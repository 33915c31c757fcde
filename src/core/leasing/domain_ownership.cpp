#include "goldcrestgate/core/leasing/domain_ownership.hpp"

#include "goldcrestgate/core/leasing/owner_token.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

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

/// Time without a heartbeat of the owner, whose interval is 100 ms, after which
/// the executors are asked; it leaves time for two polls before a claim.
constexpr duration probe_delay = std::chrono::milliseconds{250};

/// Validity of a report of another instance that it follows an owner; such
/// reports answer the heartbeats of an instance without an owner, which are
/// sent every 100 ms.
constexpr duration follow_report_validity = std::chrono::milliseconds{150};

/// Time for the other instances to report that they still hear from an owner
/// that this instance no longer hears from.
constexpr duration report_wait = std::chrono::milliseconds{40};

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

/// Time for which an owner whose token was refused does not claim again while
/// it hears from a minority of its failure domain only; the majority serves.
constexpr duration minority_claim_delay = std::chrono::seconds{3};

/// Interval between the claims of instances that are cut off from each other.
/// It is long enough for a poll, sent every 100 ms, to show the claim of
/// another one.
constexpr duration minority_turn_interval = std::chrono::milliseconds{160};

/// Limits the wait for a turn, which adds to the outage after the loss of most
/// instances of a large failure domain.
constexpr std::size_t max_minority_rank = 4;

/// Time for which an instance that is no longer heard from counts as a member
/// of the failure domain; cuts last for several seconds.
constexpr duration membership_memory = std::chrono::seconds{30};

/// Increment of the term after a refusal while claiming: clocks of instances
/// differ by seconds, so an earlier owner may have used a later time.
constexpr std::uint64_t refused_term_step_ms = 5'000;

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
    heard_at_[from.instance] = now;
    follow_owner(from.instance, heartbeat, now);
    highest_term_ =
        std::max({highest_term_, heartbeat.term, heartbeat.highest_term});
    highest_token_term_ =
        std::max(highest_token_term_, heartbeat.highest_token_term);
}

void domain_ownership::follow_owner(instance_id owner,
                                    owner_heartbeat const& heartbeat,
                                    time_point now)
{
    if (owner == last_owner_ && (heartbeat.term == 0 || heartbeat.leaving))
    {
        last_owner_ = {};
    }
    if (heartbeat.term == 0 || heartbeat.term < highest_term_)
    {
        return;
    }
    if (!heartbeat.leaving)
    {
        last_owner_ = owner;
        last_owner_token_ = make_owner_token(
            std::max(heartbeat.term, heartbeat.highest_token_term), owner);
    }
    owner_seen_at_ = now;
    owner_silent_since_.reset();
    successors_ = heartbeat.successors;
    designated_ =
        std::ranges::find(successors_, self_.instance) != successors_.end();
}

void domain_ownership::lost(instance_id peer, bool ended, time_point now)
{
    if (ended)
    {
        heard_at_.erase(peer);
    }
    if (ended && peer == last_owner_)
    {
        last_owner_ = {};
    }
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
    // Clocks that differ cause one refusal. A second one shows another living
    // claimant; instances of a minority that go on would take the executors
    // from each other in turn.
    bool const refused_again =
        claim_refused_at_ && now - *claim_refused_at_ < minority_claim_delay;
    if (!while_claiming || refused_again)
    {
        minority_claim_allowed_at_ = now + minority_claim_delay;
    }
    if (while_claiming)
    {
        claim_refused_at_ = now;
    }
    release_requested_ = true;
}

void domain_ownership::token_renewed(fencing_token token)
{
    if (token_term(token) > term_)
    {
        renewed_term_ = token_term(token);
        highest_token_term_ = std::max(highest_token_term_, renewed_term_);
    }
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

std::optional<fencing_token>
domain_ownership::silent_owner_token(time_point now) const
{
    bool const silent = owner_seen_at_ && now - *owner_seen_at_ > probe_delay;
    if (term_ != 0 || leaving_ || last_owner_ == instance_id{} || !silent)
    {
        return std::nullopt;
    }
    return last_owner_token_;
}

ownership_decision domain_ownership::decide(time_point now,
                                            std::uint64_t unix_ms,
                                            executor_evidence const& evidence)
{
    auto const earlier_wait =
        std::exchange(minority_wait_started_at_, std::nullopt);
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
    if (evidence.newer_owner && last_owner_ != instance_id{})
    {
        // An executor would refuse the token at each further poll.
        last_owner_ = {};
        minority_claim_allowed_at_ = now + minority_claim_delay;
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
    bool const owner_silent = last_owner_ != instance_id{};
    if (!invited && !hears_majority(now))
    {
        bool const must_not_claim =
            owner_silent && (evidence.owner_lives || !evidence.executors_known);
        if (must_not_claim || now < minority_claim_allowed_at_)
        {
            return {};
        }
        auto const waiting_since = earlier_wait.value_or(now);
        if (now - waiting_since < minority_turn(now))
        {
            minority_wait_started_at_ = waiting_since;
            return {};
        }
    }
    last_owner_ = {};
    yield_checked_at_ = now;
    // The last owner may live and have renewed its token since it was heard.
    auto const known_term = std::max(highest_term_, highest_token_term_);
    term_ = known_term == 0
                ? unix_ms
                : std::max(unix_ms, known_term + max_token_renewals);
    highest_term_ = term_;
    renewed_term_ = 0;
    return claim_ownership{term_, make_owner_token(term_, self_.instance),
                           invited        ? "invited"
                           : owner_silent ? "owner_silent"
                                          : "no_owner"};
}

bool domain_ownership::hears_majority(time_point now) const
{
    std::size_t members = 1;
    std::size_t heard = 1;
    for (auto const& [id, heard_at] : heard_at_)
    {
        members += now - heard_at < membership_memory ? 1 : 0;
        heard += now - heard_at < silence_limit({}) ? 1 : 0;
    }
    return heard * 2 > members;
}

duration domain_ownership::minority_turn(time_point now) const
{
    auto const own = std::ranges::find(successors_, self_.instance);
    auto rank = static_cast<std::size_t>(own - successors_.begin());
    if (own == successors_.end())
    {
        rank += static_cast<std::size_t>(std::ranges::count_if(
            heard_at_,
            [&](auto const& entry)
            {
                auto const& [id, heard_at] = entry;
                return id < self_.instance && id != last_owner_ &&
                       now - heard_at < membership_memory &&
                       std::ranges::find(successors_, id) == successors_.end();
            }));
    }
    return minority_turn_interval * std::min(rank, max_minority_rank);
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

bool domain_ownership::may_claim_soon(time_point now) const
{
    return !leaving_ && other_owner(now) == nullptr &&
           now + claim_preparation_time >= claim_time() &&
           is_preferred_owner(now);
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
