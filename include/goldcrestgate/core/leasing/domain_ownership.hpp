#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"
#include "goldcrestgate/core/leasing/heartbeat_plan.hpp"
#include "goldcrestgate/core/leasing/job_messages.hpp"
#include "goldcrestgate/core/leasing/owner_probe.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief State of the live owner of a failure domain's executors.
struct owner_view
{
    domain_id domain;
    instance_id instance;
    std::uint64_t term = 0;
    std::uint32_t free_millicores = 0;
    duration expected_wait{};
    /// Time since the owner reported its load; 0 for this instance.
    duration report_age{};
};

/// @brief Take ownership of the executors of this instance's failure domain.
struct claim_ownership
{
    std::uint64_t term = 0;
    fencing_token token;
    /// Reason of the claim, as a stable snake_case word.
    std::string_view reason;
};

/// @brief Release ownership.
struct release_ownership
{
};

/// @brief Ownership of a failure domain as one of its instances knows it.
struct succession_view
{
    /// Whether this instance or another live one is the owner.
    bool owner_known = false;
    /// The designated successors if this instance is one of them.
    std::vector<instance_id> fellow_successors;
};

/// Action that @ref domain_ownership::decide requests.
using ownership_decision =
    std::variant<std::monostate, claim_ownership, release_ownership>;

/// Pause of a process from which on other instances may count it as gone: the
/// time without heartbeats that they tolerate, less the interval of the
/// heartbeats.
inline constexpr duration pause_limit = std::chrono::milliseconds{350};

/// @brief Decides which instance of a failure domain owns its executors.
///
/// No consensus is needed: executors obey the highest fencing token only, so
/// two owners at a time waste work but never cause a second run of a task. An
/// instance follows an owner while its heartbeats arrive. The owner designates
/// two successors, which exchange heartbeats with each other; when it is gone,
/// the larger one claims ownership. If they are gone too, and before the first
/// claim, all instances of the failure domain exchange heartbeats, and the
/// largest one claims. Nobody claims while another instance still hears from an
/// owner, as a connection may fail without the owner. An owner yields to a much
/// larger instance, which may have started later. A term is the time of
/// day, so that terms rise across restarts of all instances, and always exceeds
/// every term received before.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class domain_ownership
{
public:
    /// @param weight size of the instance; the largest instance is the
    /// preferred owner
    domain_ownership(instance_key self, std::uint32_t weight, time_point now);

    /// @brief Handles a heartbeat of another instance.
    void heartbeat_received(instance_key const& from,
                            owner_heartbeat const& heartbeat, time_point now);

    /// @brief Handles the loss of the connection to an instance.
    /// @param ended whether its process has certainly ended; otherwise it has a
    /// short time to reconnect
    void lost(instance_id peer, bool ended, time_point now);

    /// @brief Handles the refusal of the current token by an executor.
    /// @param while_claiming whether no executor has accepted the token yet
    void fenced(bool while_claiming, time_point now);

    /// @brief Handles a renewal of this owner's token; the next owner uses a
    /// higher one.
    void token_renewed(fencing_token token);

    /// @brief Handles a pause of this process of at least @ref pause_limit.
    ///
    /// The others may have counted this instance as gone and its successor may
    /// own the executors, so the next @ref decide releases ownership, and this
    /// instance claims again only after it could hear from another owner.
    void paused(time_point now);

    /// @brief Marks this process as stopping; it claims no ownership from now
    /// on.
    void leave()
    {
        leaving_ = true;
    }

    /// @brief Returns the action to take now; to be called at least every 50
    /// ms.
    /// @param unix_ms the time of day in milliseconds since 1970
    /// @param evidence what the executors have shown of a silent owner; nobody
    /// takes over from an owner that gives orders
    [[nodiscard]] ownership_decision
    decide(time_point now, std::uint64_t unix_ms,
           executor_evidence const& evidence = {});

    /// @brief Returns the token of an owner that this instance has not heard
    /// from for a while, so that executors can be asked whether it lives.
    /// @return nothing while the owner is heard from, and after it has ended
    [[nodiscard]] std::optional<fencing_token>
    silent_owner_token(time_point now) const;

    /// @brief Returns what decides the intervals of heartbeats.
    [[nodiscard]] succession_view succession(time_point now) const;

    /// @brief Returns the interval of the heartbeats to a peer.
    /// @param view the current result of @ref succession
    /// @param shares_jobs whether one of the two runs jobs for callers of the
    /// other
    /// @return nothing if the peer gets no regular heartbeats
    [[nodiscard]] std::optional<duration>
    interval_to(instance_key const& peer, succession_view const& view,
                bool shares_jobs) const;

    /// @brief Returns whether this instance is a designated successor of the
    /// live owner of its failure domain.
    [[nodiscard]] bool is_successor(time_point now) const;

    /// @brief Returns the successors that this instance designates as the
    /// owner, the preferred one first; empty if it is not the owner.
    [[nodiscard]] std::vector<instance_id>
    designated_successors(time_point now) const;

    /// @brief Returns whether this instance would claim ownership now or
    /// shortly, as no owner is known.
    [[nodiscard]] bool may_claim_soon(time_point now) const;

    /// @brief Returns the heartbeat to send, without its interval.
    [[nodiscard]] owner_heartbeat heartbeat(std::uint32_t free_millicores,
                                            duration expected_wait,
                                            time_point now) const;

    /// @brief Returns the live owner of each failure domain, including this
    /// instance's own domain; the load of this instance is left at 0.
    [[nodiscard]] std::vector<owner_view> owners(time_point now) const;

    /// @brief Removes and returns the instances whose heartbeats have timed
    /// out.
    [[nodiscard]] std::vector<instance_id> take_unresponsive(time_point now);

    [[nodiscard]] std::uint64_t term() const
    {
        return term_;
    }

private:
    struct peer_state
    {
        instance_key key;
        owner_heartbeat last;
        time_point last_heartbeat_at{};
    };

    /// Whether the peer has sent a heartbeat within the time that it promised.
    [[nodiscard]] static bool is_alive(peer_state const& peer, time_point now);
    /// Whether the peer has sent a heartbeat recently, promised or not.
    [[nodiscard]] static bool is_fresh(peer_state const& peer, time_point now);
    [[nodiscard]] bool is_preferred_owner(time_point now) const;
    /// The live owner of the own failure domain, other than this instance.
    [[nodiscard]] peer_state const* other_owner(time_point now) const;
    /// Earliest time at which this instance may claim ownership.
    [[nodiscard]] time_point claim_time() const;
    /// Whether another instance has just reported that it follows an owner.
    [[nodiscard]] bool peers_follow_owner(time_point now) const;
    /// Whether most instances of the failure domain, this one included, are
    /// heard from.
    [[nodiscard]] bool hears_majority(time_point now) const;
    /// Time for which this instance leaves a claim to the instances before it
    /// while only a minority is heard from: the successors come first, then
    /// the others by their ids.
    [[nodiscard]] duration minority_turn(time_point now) const;
    /// Decides whether this instance, as the owner, yields to a larger one.
    void update_yield(time_point now);
    /// Adopts the successors that the owner with the highest term designates.
    void follow_owner(instance_id owner, owner_heartbeat const& heartbeat,
                      time_point now);

    instance_key self_;
    std::uint32_t weight_;
    time_point claim_allowed_at_;
    std::uint64_t term_ = 0;
    std::uint64_t highest_term_ = 0;
    /// Term of the own token since its last renewal; 0 before the first one.
    std::uint64_t renewed_term_ = 0;
    /// Highest term of a renewed token that is known in the failure domain.
    std::uint64_t highest_token_term_ = 0;
    bool leaving_ = false;
    bool release_requested_ = false;
    /// Time of the claim, or of the last attempt to yield.
    time_point yield_checked_at_{};
    /// The instance that this one yields to; 0 if there is none.
    instance_id yields_to_;
    /// Time at which an owner was last alive; empty before the first one.
    std::optional<time_point> owner_seen_at_;
    /// Time at which the silence of an owner was noticed; empty while an owner
    /// is alive and after one that certainly ended.
    std::optional<time_point> owner_silent_since_;
    /// The last owner that was alive; 0 after one that has ended.
    instance_id last_owner_;
    fencing_token last_owner_token_;
    /// Whether the last live owner designated this instance as a successor.
    bool designated_ = false;
    /// The successors that the last live owner designated.
    std::vector<instance_id> successors_;
    std::map<instance_id, peer_state> peers_;
    /// Time of the last heartbeat of each instance of the failure domain that
    /// has not certainly ended.
    std::map<instance_id, time_point> heard_at_;
    /// Earliest claim while only a minority is heard from.
    time_point minority_claim_allowed_at_{};
    /// Time since which this instance leaves a claim to those before it; empty
    /// while it may not claim for another reason.
    std::optional<time_point> minority_wait_started_at_;
    /// Time of the last refusal while claiming.
    std::optional<time_point> claim_refused_at_;
};

} // namespace goldcrestgate::core
