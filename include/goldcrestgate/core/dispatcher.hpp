#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/detail/injected_defects.hpp"
#include "goldcrestgate/core/events.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/membership/membership.hpp"
#include "goldcrestgate/core/recovery/copy_chain.hpp"
#include "goldcrestgate/core/settings/settings_view.hpp"
#include "goldcrestgate/core/submission/job.hpp"
#include "goldcrestgate/core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestgate::core
{

namespace detail
{
struct dispatcher_parts;
}

/// @brief What a dispatcher is told once, at its start.
struct dispatcher_options
{
    /// This process; the incarnation is new at every process start.
    instance_key self;
    /// Copies are kept in other racks where possible.
    std::string rack;
    /// How long an id can be used for a first submission.
    duration id_lifetime = std::chrono::minutes{10};
    /// How long a final answer is kept.
    duration answer_retention = std::chrono::minutes{2};
    /// Peers that hold a copy of each submission, 1 or 2, where available.
    std::size_t copies = 2;
    /// How long a start waits for copies that do not answer.
    duration copy_wait = std::chrono::seconds{1};
    /// How long a caller that cancels waits for the fates of running tasks.
    duration cancel_wait = std::chrono::seconds{30};
    /// Records in one batch for a copy at most.
    std::size_t copy_batch_records = 4096;
    /// For tests only.
    detail::injected_defects broken;
    /// Decisions that are kept for @ref dispatcher::explain.
    std::size_t kept_decisions = 8192;
};

/// @brief Figures of a dispatcher for metrics and operators.
struct dispatcher_counts
{
    // present values
    std::size_t submissions = 0;
    std::size_t open_jobs = 0;
    std::size_t waiting_tasks = 0;
    std::size_t open_attempts = 0;
    std::size_t held_responses = 0;
    std::size_t timers = 0;
    // totals since the start of the process
    std::uint64_t jobs_accepted = 0;
    std::uint64_t jobs_refused = 0;
    std::uint64_t jobs_done = 0;
    std::uint64_t jobs_failed = 0;
    std::uint64_t jobs_cancelled = 0;
    std::uint64_t resubmissions = 0;
    std::uint64_t first_starts = 0;
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t refused_starts = 0;
    std::uint64_t lost_attempts = 0;
    std::uint64_t cancels = 0;
    std::uint64_t late_answers = 0;
    std::uint64_t forwards = 0;
};

/// @brief A backend server as the dispatcher sees it.
struct server_view
{
    server_id server;
    std::string address;
    std::string rack;
    std::uint32_t slots = 0;
    /// Attempts of this instance that have not ended.
    std::uint32_t open_attempts = 0;
    bool leaving = false;
};

/// @brief A submission for the operator's pages.
struct job_view
{
    submission_id submission;
    std::string service;
    job_state state = job_state::running;
    std::size_t tasks = 0;
    std::size_t open_tasks = 0;
    duration age{};
};

/// @brief A decision that was taken and when.
struct logged_decision
{
    time_point at;
    record_decision decision;
};

/// @brief Runs the jobs of one entry instance: the composition of routing,
/// admission, submissions, recovery and membership.
///
/// It performs no input or output and reads no clock. Events go in through
/// @ref handle, which returns what has to be done.
class dispatcher
{
public:
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;
    ~dispatcher();

    /// @brief Handles one event.
    /// @param now the present time; never less than in an earlier call
    /// @param[out] out actions are appended in the order in which to run them
    /// @pre a `settings_changed` event came first
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(event const& input, time_point now, std::vector<action>& out);

    /// @brief Handles one event and takes over its payloads and bodies.
    /// @copydetails handle(event const&, time_point, std::vector<action>&)
    void handle(event&& input, time_point now, std::vector<action>& out);

    /// @brief Returns when a @ref tick is due at the latest.
    /// @return nothing if no time matters
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    // observers

    /// @brief Returns the figures of this instance.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] dispatcher_counts counts() const;

    /// @brief Returns the backend servers of the own failure domain.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<server_view> servers() const;

    /// @brief Returns submissions that are held, @a limit of them at most.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<job_view> jobs(std::size_t limit,
                                             time_point now) const;

    /// @brief Returns the kept decisions about a task, oldest first.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<logged_decision>
    explain(task_key const& task) const;

    /// @brief Returns what is known of the other instances.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<instance_view> instances() const;

    /// @brief Returns the messages that the copies of the present incarnation
    /// have cost.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] copy_statistics copies() const;

    /// @brief Returns the identity of this process; its incarnation changes
    /// when a peer has sealed the earlier one.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] instance_key self() const;

    /// @brief Returns the settings in force.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] settings_ptr settings() const;

    /// @brief Returns the submissions with running attempts, for the log of a
    /// forced stop.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<task_key> running_tasks() const;

private:
    friend class dispatcher_builder;

    explicit dispatcher(dispatcher_options options);

    std::unique_ptr<detail::dispatcher_parts> parts_;
};

/// @brief Builds a @ref dispatcher.
///
/// Not thread-safe; each method returns the builder.
class dispatcher_builder
{
public:
    /// @brief Sets the identity of this process.
    dispatcher_builder& self(instance_key key);

    /// @brief Sets the rack of this process.
    dispatcher_builder& rack(std::string name);

    /// @brief Sets how long an id can be used for a first submission.
    /// @pre @a lifetime is positive
    dispatcher_builder& id_lifetime(duration lifetime);

    /// @brief Sets how long a final answer is kept.
    /// @pre @a retention is positive
    dispatcher_builder& answer_retention(duration retention);

    /// @brief Sets how many peers hold a copy of each submission.
    /// @pre @a count is 1 or 2
    dispatcher_builder& copies(std::size_t count);

    /// @brief Sets how long a start waits for copies that do not answer.
    /// @pre @a wait is positive
    dispatcher_builder& copy_wait(duration wait);

    /// @brief Sets how long a caller that cancels waits for the fates of
    /// running tasks.
    /// @pre @a wait is positive
    dispatcher_builder& cancel_wait(duration wait);

    /// @brief Sets how many decisions are kept for `explain`.
    dispatcher_builder& kept_decisions(std::size_t count);

    /// @brief Sets how many records one batch for a copy has at most.
    /// @pre @a count is at least 1
    dispatcher_builder& copy_batch_records(std::size_t count);

    /// @brief Builds the dispatcher.
    /// @pre @ref self was called
    [[nodiscard]] dispatcher build() const;

private:
    friend void detail::inject_defects(dispatcher_builder& builder,
                                    detail::injected_defects const& rules);

    dispatcher_options options_;
};

} // namespace goldcrestgate::core
