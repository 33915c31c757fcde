#pragma once

#include "goldcrestgate/core/leasing/job_messages.hpp"
#include "goldcrestgate/core/leasing/orders.hpp"

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Report the verdict on a job to the instance that offered it.
struct report_verdict
{
    instance_id origin;
    job_verdict verdict;
};

/// @brief What an instance has learned about the process of an executor.
struct executor_change
{
    /// Origin of the news, as a stable snake_case word: store_entry,
    /// poll_answer or refused_order.
    std::string_view source{};
    std::uint64_t earlier_incarnation = 0;
    /// 0 if the news does not name the present process.
    std::uint64_t incarnation = 0;
    /// Number of runs that stay recorded.
    std::uint64_t runs_kept = 0;
};

/// @brief A run that an executor lists although its owner counted it as ended
/// or never knew it.
struct late_run
{
    /// Why the owner counted the run as ended, as a stable snake_case word:
    /// start_unanswered, stop_accepted, lease_expired or executor_lost; empty
    /// if it did not know the run.
    std::string_view given_up{};
    /// Time since its start was sent, if known.
    std::optional<duration> since_sent{};
    /// Executor and execution of another recorded run of the task, if any: two
    /// runs of the task may go on at the same time.
    std::optional<executor_id> other_executor{};
    std::uint32_t other_execution = 0;
};

/// @brief What a possible crash of an executor tells about the task of one of
/// its runs.
struct crash_evidence
{
    /// How the executor showed that it had the run, as a stable snake_case
    /// word: accepted (it answered the start), listed, or unconfirmed.
    std::string_view start{};
    /// Process that had the run; 0 if it is not known.
    std::uint64_t incarnation = 0;
    /// Other executors of the service whose state is known.
    std::uint64_t executors = 0;
    /// Those that crashed in the same moment.
    std::uint64_t crashes = 0;
    /// Those without a run of the job or of a suspect.
    std::uint64_t other_executors = 0;
    /// Those of the latter that crashed in the same moment.
    std::uint64_t other_crashes = 0;
};

/// @brief Returns why a late run counted as ended, `not_known` if the owner did
/// not know it.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline std::string_view given_up_name(late_run const& late)
{
    return late.given_up.empty() ? "not_known" : late.given_up;
}

/// @brief Scheduler event for the log.
struct scheduler_log_event
{
    /// A stable snake_case word.
    std::string_view event{};
    client_job_id job{};
    std::optional<task_run> run{};
    std::optional<executor_id> executor{};
    /// Reason, as a stable snake_case word; may be empty.
    std::string_view reason{};
    /// Time until the job's objective, or another time that the event depends
    /// on.
    duration slack{};
    /// Expected run time, or elapsed time.
    duration run_time{};
    /// Number of suitable executors, or of other entries concerned.
    std::uint64_t count = 0;
    /// Number of waiting tasks.
    std::uint64_t waiting = 0;
    /// Set if the event is the loss or the restart of an executor.
    std::optional<executor_change> change{};
    /// Process of the executor, if the event tells it; 0 if it is not known.
    std::optional<std::uint64_t> incarnation{};
    /// Set if the event is a late run.
    std::optional<late_run> late{};
    /// Set if the event is a possible crash.
    std::optional<crash_evidence> crash{};
    /// Time since the caller of the job was last known to wait, if the event
    /// depends on it.
    std::optional<duration> caller_age{};
};

/// Action that a scheduler requests.
using scheduler_action = std::variant<start_run, stop_run, poll_executor,
                                      report_verdict, scheduler_log_event>;

} // namespace goldcrestgate::core
