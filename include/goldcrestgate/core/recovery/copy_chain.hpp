#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/detail/injected_defects.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/messages.hpp"
#include "goldcrestgate/core/recovery/detail/copy_stream.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief The attempt may start: every member of the copy set has acknowledged
/// its start record.
struct attempt_released
{
    task_key task;
    std::uint32_t attempt = 0;
};

/// @brief The copies of these submissions are unreachable and may report their
/// fates in place of the owner.
///
/// The receiver ends all their unstarted tasks as `not_run` and starts none of
/// them any more; running tasks continue. The chain releases no further
/// attempt of these submissions and drops later records of them.
struct chain_lost
{
    std::vector<submission_id> submissions;
};

/// @brief A member of the copy set has sealed this incarnation, which fences
/// the owner off.
///
/// The receiver ends all unstarted tasks as `not_run`, takes a new incarnation
/// and builds another chain for it.
struct incarnation_sealed
{
    instance_key sealed_by;
};

/// A result of a copy chain that the dispatcher has to act on.
using chain_outcome =
    std::variant<attempt_released, chain_lost, incarnation_sealed>;

/// @brief Counters of the replication messages and of the changes of copy sets
/// and chains.
struct copy_statistics
{
    std::uint64_t batches = 0;
    std::uint64_t batches_resent = 0;
    std::uint64_t records = 0;
    std::uint64_t acknowledgements = 0;
    std::uint64_t set_changes = 0;
    std::uint64_t chains_lost = 0;
    std::uint64_t chains_moved = 0;
};

/// @brief Replicates the job records of one incarnation from its owner to the
/// copy set.
///
/// The copy set is the list of instances that hold copies of the owner's jobs;
/// each set has an epoch. Successive sets of a chain share a member, except
/// that an empty set must be acknowledged by all earlier members and that any
/// set may follow it. If no such set can be formed, a new chain starts.
///
/// The object sends records to the members of the copy set and releases an
/// attempt once all members have acknowledged its start record. It replaces
/// members that time out, are gone or leave. After @ref incarnation_sealed it
/// does nothing more. docs/decisions/0001 proves that these rules are safe.
///
/// Callers take the outcomes with @ref take_outcomes after each call. Records
/// are queued; one call of @ref flush at the end of each handled event puts
/// the records of that event into a shared batch.
class copy_chain
{
public:
    // input

    /// @brief Sets the instances that may hold copies, in order of preference.
    ///
    /// A member that is no longer listed stays in the set until it is replaced.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_candidates(std::span<instance_key const> candidates,
                        time_point now);

    /// @brief Queues a record for all members.
    ///
    /// A `job_accepted_record` adds the job to the current chain. Records of
    /// jobs that are not on the chain are dropped.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void record(copy_record entry);

    /// @brief Resends the unacknowledged batch to a member that has
    /// reconnected.
    ///
    /// A candidate that had failed may be tried again at once.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void peer_connected(instance_key const& peer, time_point now,
                        std::vector<action>& out);

    /// @brief Stops sending to an unreachable peer, which may still run.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void peer_gone(instance_key const& peer, time_point now);

    /// @brief Excludes an incarnation of a peer that is known to have ended.
    /// @param may_have_sealed whether the peer may have considered this owner
    /// gone, and so may have reported `not_run` for its tasks, before it ended
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void peer_ended(instance_key const& peer, bool may_have_sealed,
                    time_point now);

    /// @brief Handles an acknowledgement; stale ones, and those of other owners
    /// or chains, are ignored.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, copy_ack const& message,
                time_point now);

    /// @brief Handles the refusal of a batch.
    ///
    /// Refusals for other owners are ignored, and so are stale ones that report
    /// no seal.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, copy_refused const& message,
                time_point now);

    // output

    /// @brief Handles timeouts, changes the copy set, sends the next batches
    /// and releases attempts.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void flush(time_point now, std::vector<action>& out);

    /// @brief Returns the outcomes since the last call, in order.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<chain_outcome> take_outcomes();

    /// @brief Returns the time at which @ref flush must be called at the
    /// latest, if any.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    // observers

    /// @brief Returns the members of the active copy set.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::span<instance_key const> members() const
    {
        return active_.members;
    }

    /// @brief Returns the number of the current chain, counted from 0.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t chain() const
    {
        return chain_;
    }

    /// @brief Returns the epoch of the active copy set.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] copy_epoch epoch() const
    {
        return active_.epoch;
    }

    /// @brief Returns whether a member has sealed the incarnation.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool sealed() const
    {
        return sealed_;
    }

    /// @brief Returns whether the submission is on the current chain.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool holds(submission_id const& submission) const
    {
        return jobs_.contains(submission);
    }

    /// @brief Returns the counts since construction.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] copy_statistics const& statistics() const
    {
        return statistics_;
    }

private:
    friend class copy_chain_builder;
    copy_chain() = default;

    // An attempt whose start record some member has not acknowledged yet.
    struct unreleased_attempt
    {
        std::uint64_t position = 0;
        task_key task;
        std::uint32_t attempt = 0;
    };

    // The active or a proposed set; members may know of either.
    struct copy_set
    {
        copy_epoch epoch;
        std::vector<instance_key> members;
        // Position of the last record before the proposal of the set.
        std::uint64_t proposed_after = 0;
    };

    using stream_map = std::map<instance_key, detail::copy_stream>;

    void extend_timeouts_after_pause(time_point now);
    void drop_timed_out_streams(time_point now);
    void remove_stream(instance_key const& peer, time_point now);
    void replace_lost_members(time_point now);
    void open_chain(bool keeps_jobs);
    void attach_learners(time_point now);
    void propose_target_set(time_point now);
    void propose(std::vector<instance_key> members);
    void activate_acknowledged_set();
    void detach_non_members(time_point now);
    void send_batches(time_point now, std::vector<action>& out);
    void send_batch(instance_key const& peer, detail::copy_stream& stream,
                    time_point now, std::vector<action>& out);
    void resend_batch(instance_key const& peer, detail::copy_stream& stream,
                      time_point now, std::vector<action>& out);
    void release_acknowledged_attempts();
    [[nodiscard]] bool needs_batch(instance_key const& peer,
                                   detail::copy_stream const& stream,
                                   time_point now) const;
    [[nodiscard]] copy_set const& set_at(std::uint64_t position) const;
    [[nodiscard]] copy_set const& newest_set() const;
    [[nodiscard]] std::vector<instance_key> known_members() const;
    [[nodiscard]] std::vector<instance_key> required_acknowledgers() const;
    [[nodiscard]] std::vector<instance_key> target_set(time_point now) const;
    [[nodiscard]] bool is_known_member(instance_key const& peer) const;
    [[nodiscard]] bool is_caught_up(instance_key const& peer) const;
    [[nodiscard]] bool waits_for_first_set() const;
    [[nodiscard]] bool
    overlaps_known_sets(std::span<instance_key const> members) const;
    [[nodiscard]] bool no_copy_has_sealed() const;

    // configuration
    instance_key self_;
    std::size_t copies_ = 0;
    duration copy_wait_{};
    detail::injected_defects defects_;
    duration refresh_interval_{};
    std::size_t max_batch_records_ = 0;
    std::size_t max_batch_bytes_ = 0;

    // sets
    std::uint32_t chain_ = 0;
    copy_epoch last_epoch_;
    copy_set active_;
    std::vector<copy_set> proposed_;
    std::vector<instance_key> candidates_;
    // Peers whose stream was removed and that have not acknowledged a batch
    // since, with the time from which they are tried again.
    std::map<instance_key, time_point> retry_times_;
    // Incarnations that have ended or have sealed an old set, and whether they
    // may have reported fates in place of this owner before.
    std::map<instance_key, bool> excluded_peers_;
    bool sealed_ = false;
    time_point last_flush_{};

    // records
    std::uint64_t position_ = 0;
    stream_map streams_;
    std::map<instance_key, std::uint64_t> sequences_;
    std::unordered_map<submission_id, detail::record_list> jobs_;
    std::deque<unreleased_attempt> unreleased_;

    std::vector<chain_outcome> outcomes_;
    copy_statistics statistics_;
};

/// @brief Builds a @ref copy_chain.
class copy_chain_builder
{
public:
    /// @brief Sets the owner, with the incarnation that its submission ids
    /// carry; after a seal it differs from the incarnation of the process.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& self(instance_key const& key);

    /// @brief Sets the number of copies; 2 by default.
    /// @pre @a count is at least 1
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& copies(std::size_t count);

    /// @brief Sets the timeout of an acknowledgement; 1 s by default.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& copy_wait(duration wait);

    /// @brief Sets how long a member may be idle before it gets an empty batch,
    /// which keeps its copy from expiring; 1 min by default.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& refresh_interval(duration interval);

    /// @brief Sets the size limits of one batch; 0 counts as 1.
    ///
    /// A batch takes records until it reaches a limit, so that its last record
    /// may exceed the limit in bytes.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& batch_limit(std::size_t records, std::size_t bytes);

    /// @brief Injects defects into the protocol; for tests only.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& inject_defects(detail::injected_defects const& defects);

    /// @brief Returns the chain.
    /// @pre @ref self was called
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] copy_chain build() const;

private:
    instance_key self_;
    std::size_t copies_ = 2;
    duration copy_wait_ = std::chrono::seconds{1};
    detail::injected_defects defects_;
    duration refresh_interval_ = std::chrono::minutes{1};
    std::size_t max_batch_records_ = 4096;
    // A frame holds at most 16 MiB; one record can be as large as a result.
    std::size_t max_batch_bytes_ = std::size_t{1024} * 1024;
};

} // namespace goldcrestgate::core
