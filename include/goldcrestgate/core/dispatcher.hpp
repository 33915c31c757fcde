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

/// @brief The configuration of a dispatcher, fixed at its construction.
struct dispatcher_options
{
    /// Identity of this process; every process start has a new incarnation.
    instance_key self;
    /// Rack of this process; copies are placed in other racks where possible.
    std::string rack;
    /// Time during which an id is accepted for a first submission.
    duration id_lifetime = std::chrono::minutes{10};
    /// Time for which a final answer is kept.
    duration answer_retention = std::chrono::minutes{2};
    /// Number of peers that hold a copy of each submission, 1 or 2; fewer if
    /// not enough peers are available.
    std::size_t copies = 2;
    /// Longest time that a start waits for unresponsive copies.
    duration copy_wait = std::chrono::seconds{1};
    /// Longest time that a cancelling caller waits for the fates of running
    /// tasks.
    duration cancel_wait = std::chrono::seconds{30};
    /// Maximum number of records in one batch for a copy.
    std::size_t copy_batch_records = 4096;
    /// Set by tests only.
    detail::injected_defects defects;
    /// Number of decisions kept for @ref dispatcher::explain.
    std::size_t decision_log_capacity = 8192;
};

/// @brief Counters and gauges of a dispatcher for metrics and operators.
struct dispatcher_counts
{
    // gauges
    std::size_t submissions = 0;
    std::size_t open_jobs = 0;
    std::size_t waiting_tasks = 0;
    std::size_t open_attempts = 0;
    std::size_t held_responses = 0;
    std::size_t timers = 0;
    // counters since the start of the process
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
    /// Attempts of this instance on the server that have not ended.
    std::uint32_t open_attempts = 0;
    bool leaving = false;
};

/// @brief A submission as shown to an operator.
struct job_view
{
    submission_id submission;
    std::string service;
    job_state state = job_state::running;
    std::size_t tasks = 0;
    std::size_t open_tasks = 0;
    duration age{};
};

/// @brief A decision with the time at which it was made.
struct logged_decision
{
    time_point at;
    record_decision decision;
};

/// @brief Runs the jobs of one entry instance; combines routing, admission,
/// submissions, recovery and membership.
///
/// It performs no input or output and reads no clock. Events are passed to
/// @ref handle, which returns the actions to perform.
class dispatcher
{
public:
    dispatcher(dispatcher&&) noexcept;
    dispatcher& operator=(dispatcher&&) noexcept;
    ~dispatcher();

    /// @brief Handles one event.
    /// @param now the current time; not less than in any earlier call
    /// @param[out] out receives the actions, appended in execution order
    /// @note submissions are refused before the first `settings_changed` event
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(event const& input, time_point now, std::vector<action>& out);

    /// @brief Handles one event and moves its payloads and bodies.
    /// @copydetails handle(event const&, time_point, std::vector<action>&)
    void handle(event&& input, time_point now, std::vector<action>& out);

    /// @brief Returns the time by which the next @ref tick must be handled.
    /// @return the time, or nothing if no timer is set
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    // observers

    /// @brief Returns the counters and gauges of this instance.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] dispatcher_counts counts() const;

    /// @brief Returns the backend servers of this failure domain.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<server_view> servers() const;

    /// @brief Returns at most @a limit of the submissions that this instance
    /// holds.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<job_view> jobs(std::size_t limit,
                                             time_point now) const;

    /// @brief Returns the kept decisions about a task, oldest first.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<logged_decision>
    explain(task_key const& task) const;

    /// @brief Returns the known state of the other instances.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<instance_view> instances() const;

    /// @brief Returns the message statistics of the copies of the current
    /// incarnation.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] copy_statistics copies() const;

    /// @brief Returns the identity under which this process mints ids; its
    /// incarnation changes after a peer has sealed the previous one.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] instance_key self() const;

    /// @brief Returns the settings in force.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] settings_ptr settings() const;

    /// @brief Returns the running tasks, for the log of a forced stop.
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

    /// @brief Sets the time during which an id is accepted for a first
    /// submission.
    /// @pre @a lifetime is positive
    dispatcher_builder& id_lifetime(duration lifetime);

    /// @brief Sets the time for which a final answer is kept.
    /// @pre @a retention is positive
    dispatcher_builder& answer_retention(duration retention);

    /// @brief Sets the number of peers that hold a copy of each submission.
    /// @pre @a count is 1 or 2
    dispatcher_builder& copies(std::size_t count);

    /// @brief Sets the longest time that a start waits for unresponsive copies.
    /// @pre @a wait is positive
    dispatcher_builder& copy_wait(duration wait);

    /// @brief Sets the longest time that a cancelling caller waits for the
    /// fates of running tasks.
    /// @pre @a wait is positive
    dispatcher_builder& cancel_wait(duration wait);

    /// @brief Sets the number of decisions kept for @ref dispatcher::explain.
    dispatcher_builder& decision_log_capacity(std::size_t count);

    /// @brief Sets the maximum number of records in one batch for a copy.
    /// @pre @a count is at least 1
    dispatcher_builder& copy_batch_records(std::size_t count);

    /// @brief Builds the dispatcher.
    /// @pre @ref self was called
    [[nodiscard]] dispatcher build() const;

private:
    friend void detail::inject_defects(dispatcher_builder& builder,
                                       detail::injected_defects const& defects);

    dispatcher_options options_;
};

} // namespace goldcrestgate::core
