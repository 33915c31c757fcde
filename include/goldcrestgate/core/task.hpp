#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <string_view>

namespace goldcrestgate::core
{

/// @brief The urgency that a caller declares for a job; the settings define its
/// effect.
enum class urgency : std::uint8_t
{
    normal,
    urgent
};

/// @brief The outcome of one attempt to run a task on a backend server.
enum class task_outcome : std::uint8_t
{
    /// The server ran the task and returned its result.
    succeeded,
    /// The server ran the task and the task failed.
    failed,
    /// The server reported that it can never run this task; it did not start.
    cannot_run,
    /// The server refused the start as it had no free slot; the task did not
    /// start.
    refused_busy,
    /// The server refused the start as it is leaving; the task did not start.
    refused_leaving,
    /// The start message certainly did not reach the server; the task did not
    /// start.
    not_sent,
    /// No reply was received; the task may have run.
    lost,
    /// The attempt was cancelled by the dispatcher after its start.
    cancelled
};

/// @brief Returns whether an outcome proves that the task did not start.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] constexpr bool proves_no_start(task_outcome outcome)
{
    return outcome == task_outcome::cannot_run ||
           outcome == task_outcome::refused_busy ||
           outcome == task_outcome::refused_leaving ||
           outcome == task_outcome::not_sent;
}

/// @brief The fate of a task as reported to a caller.
enum class task_fate : std::uint8_t
{
    pending,
    done,
    failed,
    cancelled,
    not_run,
    unknown
};

/// @brief Returns the name of a fate as used in answers and logs.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] constexpr std::string_view to_string(task_fate fate)
{
    switch (fate)
    {
    case task_fate::pending:
        return "pending";
    case task_fate::done:
        return "done";
    case task_fate::failed:
        return "failed";
    case task_fate::cancelled:
        return "cancelled";
    case task_fate::not_run:
        return "not_run";
    case task_fate::unknown:
        return "unknown";
    }
    return "unknown";
}

/// @brief The state of a whole job as reported to a caller.
enum class job_state : std::uint8_t
{
    running,
    done,
    failed,
    cancelled,
    unknown
};

/// @brief Returns the name of a job state as used in answers and logs.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] constexpr std::string_view to_string(job_state state)
{
    switch (state)
    {
    case job_state::running:
        return "running";
    case job_state::done:
        return "done";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    case job_state::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace goldcrestgate::core
