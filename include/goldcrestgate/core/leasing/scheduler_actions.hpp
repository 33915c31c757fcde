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
};

/// Action that a scheduler requests.
using scheduler_action = std::variant<start_run, stop_run, poll_executor,
                                      report_verdict, scheduler_log_event>;

} // namespace goldcrestgate::core
