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

/// @brief Every member of the copy set holds the start record: start now.
struct attempt_released
{
    task_key task;
    std::uint32_t attempt = 0;
};

/// @brief The copies of these submissions are out of reach and may answer for
/// them: end all their unstarted tasks as `not_run` and start nothing more.
///
/// No attempt of these submissions is released any more, and later records of
/// them are dropped. Running tasks continue.
struct chain_lost
{
    std::vector<submission_id> submissions;
};

/// @brief A copy has sealed this incarnation: end all unstarted tasks as
/// `not_run`, take a new incarnation and build another chain for it.
struct incarnation_sealed
{
    instance_key sealed_by;
};

/// What a copy chain asks of the dispatcher.
using chain_outcome =
    std::variant<attempt_released, chain_lost, incarnation_sealed>;

/// @brief Counts of the messages that the copies cost.
struct copy_statistics
{
    std::uint64_t batches = 0;
    std::uint64_t batches_sent_again = 0;
    std::uint64_t records = 0;
    std::uint64_t acknowledgements = 0;
    std::uint64_t set_changes = 0;
    std::uint64_t chains_lost = 0;
    std::uint64_t chains_moved = 0;
};

/// @brief The owner's side of the copies of one incarnation.
///
/// It sends records to the members of the copy set and releases an attempt
/// once all members hold its start record. It changes the set when a member is
/// silent, gone or leaving. After @ref incarnation_sealed the object does
/// nothing more. docs/decisions/0001 gives the proof that the rules keep.
///
/// After each call, take the outcomes with @ref take_outcomes. Records are
/// queued; call @ref flush once at the end of each handled event, so that the
/// records of one event share a batch.
class copy_chain
{
public:
    // input

    /// @brief Sets the instances that may hold copies, in order of preference.
    ///
    /// A member that is no longer listed is replaced, but serves until then.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_candidates(std::span<instance_key const> candidates,
                        time_point now);

    /// @brief Queues a record for all members.
    ///
    /// A `job_accepted_record` places the job on the current chain. Records of
    /// jobs that are not on it are dropped.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void record(copy_record entry);

    /// @brief Sends again what a member may have missed.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void peer_connected(instance_key const& peer, time_point now,
                        std::vector<action>& out);

    /// @brief Notes that a peer cannot be reached; it may still run.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void peer_gone(instance_key const& peer, time_point now);

    /// @brief Notes the proof that this incarnation of a peer has ended.
    /// @param may_have_sealed whether the peer may have judged this owner to be
    /// gone, and so may have answered `not_run` for its tasks, before it ended
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void peer_ended(instance_key const& peer, bool may_have_sealed,
                    time_point now);

    /// @brief Handles an acknowledgement; old and foreign ones are dropped.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, copy_ack const& message,
                time_point now);

    /// @brief Handles a refusal; foreign ones are dropped.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, copy_refused const& message,
                time_point now);

    // output

    /// @brief Applies what is due at this time, sends the next batches and
    /// releases attempts.
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

    /// @brief Returns the members of the set in force.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::span<instance_key const> members() const
    {
        return active_.members;
    }

    /// @brief Returns the number of the current chain.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t chain() const
    {
        return chain_;
    }

    /// @brief Returns the epoch of the set in force.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] copy_epoch epoch() const
    {
        return active_.epoch;
    }

    /// @brief Returns whether a copy has sealed the incarnation.
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

    // A start record that not all members hold yet.
    struct unreleased_attempt
    {
        std::uint64_t position = 0;
        task_key task;
        std::uint32_t attempt = 0;
    };

    // A set that members may know of, with the position of the last record
    // before its proposal.
    struct copy_set
    {
        copy_epoch epoch;
        std::vector<instance_key> members;
        std::uint64_t proposed_after = 0;
    };

    using stream_map = std::map<instance_key, detail::copy_stream>;

    void notice_own_pause(time_point now);
    void drop_silent_streams(time_point now);
    void remove_stream(instance_key const& peer, time_point now);
    void replace_lost_members(time_point now);
    void open_chain(bool keeps_jobs);
    void attach_learners(time_point now);
    void propose_wanted_set(time_point now);
    void propose(std::vector<instance_key> members);
    void activate_when_held();
    void detach_outsiders(time_point now);
    void send_batches(time_point now, std::vector<action>& out);
    void send_batch(instance_key const& peer, detail::copy_stream& stream,
                    time_point now, std::vector<action>& out);
    void send_again(instance_key const& peer, detail::copy_stream& stream,
                    time_point now, std::vector<action>& out);
    void release_held_attempts();
    [[nodiscard]] bool needs_batch(instance_key const& peer,
                                   detail::copy_stream const& stream,
                                   time_point now) const;
    [[nodiscard]] copy_set const& set_at(std::uint64_t position) const;
    [[nodiscard]] copy_set const& newest_set() const;
    [[nodiscard]] std::vector<instance_key> known_members() const;
    [[nodiscard]] std::vector<instance_key> acknowledgers() const;
    [[nodiscard]] std::vector<instance_key> wanted_set(time_point now) const;
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
    detail::injected_defects broken_;
    duration refresh_interval_{};
    std::size_t max_batch_records_ = 0;
    std::size_t max_batch_bytes_ = 0;

    // sets
    std::uint32_t chain_ = 0;
    copy_epoch last_epoch_;
    copy_set active_;
    std::vector<copy_set> proposed_;
    std::vector<instance_key> candidates_;
    // Candidates that were silent, with the time of the next attempt.
    std::map<instance_key, time_point> failed_;
    // Incarnations that have ended or have sealed an old set, and whether they
    // may have answered for this owner before.
    std::map<instance_key, bool> unusable_;
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
    /// @brief Sets the owner; its incarnation is that of the minted ids, which
    /// differs from that of the process after a seal.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& self(instance_key const& key);

    /// @brief Sets the number of copies; 2 by default.
    /// @pre @a count is at least 1
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& copies(std::size_t count);

    /// @brief Sets the longest wait for an acknowledgement; 1 s by default.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& copy_wait(duration wait);

    /// @brief Sets the longest time without a batch, after which an empty one
    /// keeps the copies from expiring; 1 min by default.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& refresh_interval(duration interval);

    /// @brief Sets the bounds of one batch; a batch holds at least one record.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& batch_limit(std::size_t records, std::size_t bytes);

    /// @brief Switches rules off; for tests only.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    copy_chain_builder& inject_defects(detail::injected_defects const& rules);

    /// @brief Returns the chain.
    /// @pre @ref self was called
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] copy_chain build() const;

private:
    instance_key self_;
    std::size_t copies_ = 2;
    duration copy_wait_ = std::chrono::seconds{1};
    detail::injected_defects broken_;
    duration refresh_interval_ = std::chrono::minutes{1};
    std::size_t max_batch_records_ = 4096;
    // A frame holds at most 16 MiB; one record can be as large as a result.
    std::size_t max_batch_bytes_ = std::size_t{1024} * 1024;
};

} // namespace goldcrestgate::core
