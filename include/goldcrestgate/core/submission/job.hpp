#pragma once

#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/task.hpp"
#include "goldcrestgate/core/time.hpp"

#include <boost/container/small_vector.hpp>
#include <boost/container/static_vector.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief The states of a task at its owner.
enum class task_state : std::uint8_t
{
    /// In the admission queue, or waiting for its next attempt to be due.
    waiting,
    /// The copies have not acknowledged its start record yet.
    recording,
    /// At least one attempt was sent to a backend server.
    running,
    done,
    failed,
    cancelled,
    not_run,
    unknown
};

/// @brief Returns whether a state is final.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] constexpr bool is_final(task_state state)
{
    return state >= task_state::done;
}

/// @brief Returns whether a task may change from one state to another.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] bool is_valid_transition(task_state from, task_state to);

/// @brief Returns the fate that is reported to a caller for a task state.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] task_fate fate_of(task_state state);

/// @brief One attempt, not yet ended, to run a task.
struct task_attempt
{
    std::uint32_t number = 0;
    server_id server;
    /// The time of sending, or of placement while the attempt is not sent.
    time_point since;
    /// Expected time from placement until the attempt ends.
    duration expected{};
    /// Whether the start message was sent to the server; it follows the
    /// acknowledgement of the start record.
    bool is_sent = false;
    bool is_hedge = false;
    bool cancel_sent = false;
};

/// Maximum number of concurrent attempts of one task: the original one and its
/// hedge.
inline constexpr std::size_t max_open_attempts = 2;

/// @brief One task of a job, with its state machine.
class job_task
{
public:
    job_task(std::string payload, duration run_time, bool repeatable);

    /// @brief Changes the state.
    /// @return false, without a change, if the transition is not valid
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    bool move_to(task_state next);

    /// @brief Returns the state.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] task_state state() const;

    /// @brief Returns the open attempt with a number, or null.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] task_attempt* find_attempt(std::uint32_t number);

    /// @brief Records the outcome of an attempt that was sent.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void record_outcome(server_id server, task_outcome outcome);

    /// @brief Returns the final state of the task if it is not retried.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] task_state final_state_without_retry() const;

    std::string payload;
    /// The result, once the state is `done`.
    std::string result;
    duration run_time{};
    bool is_repeatable = false;
    /// Number of the last attempt; 0 before the first one.
    std::uint32_t attempts = 0;
    /// Attempts that may have started, which `max_attempts` limits.
    std::uint32_t starts = 0;
    /// Consecutive refusals, which increase the delay of the next attempt.
    std::uint32_t refusals = 0;
    /// The attempts that have not ended.
    boost::container::static_vector<task_attempt, max_open_attempts> open;
    /// Servers that have reported that they can never run this task.
    boost::container::small_vector<server_id, 3> cannot_run_on;
    /// Servers of earlier attempts, used again only if there are no others.
    boost::container::small_vector<server_id, 2> avoided_servers;

private:
    task_state state_ = task_state::waiting;
    bool ran_and_failed_ = false;
    bool may_have_run_ = false;
    bool was_cancelled_ = false;
};

/// @brief A caller's request that this instance received directly.
struct local_caller
{
    request_id request;

    friend auto operator<=>(local_caller const&, local_caller const&) = default;
};

/// @brief A caller's request that another entry instance forwarded.
struct forwarded_caller
{
    instance_id peer;
    std::uint64_t nonce = 0;

    friend auto operator<=>(forwarded_caller const&,
                            forwarded_caller const&) = default;
};

/// The destination of an answer.
using reply_target = std::variant<local_caller, forwarded_caller>;

/// @brief A request that waits for a job to end.
struct job_waiter
{
    reply_target target;
    time_point until;
};

/// @brief The reason why a job has failed.
struct job_failure
{
    error_code code{};
    std::string message;
};

/// @brief The state of a submission at its owner.
struct job
{
    submission_id id;
    std::uint64_t body_hash = 0;
    service_id service;
    std::string service_path;
    team_id team;
    core::urgency urgency = core::urgency::normal;
    time_point arrived;
    time_point deadline;
    job_state state = job_state::running;
    std::vector<job_task> tasks;
    /// Number of tasks that have no final state.
    std::uint32_t open_tasks = 0;
    /// Number of attempts that have not ended.
    std::uint32_t open_attempts = 0;
    std::optional<job_failure> failure;
    bool cancel_requested = false;
    /// Whether no further attempt may start, as a copy may have reported the
    /// job's fate in place of this owner.
    bool starts_forbidden = false;
    /// Whether admission refused the job before any task was queued.
    bool is_refused = false;
    /// Whether the cancellation arrived before the submission.
    bool is_cancelled_before_arrival = false;
    std::vector<job_waiter> waiters;
    /// When a final job may be dropped.
    time_point keep_until;
};

} // namespace goldcrestgate::core
