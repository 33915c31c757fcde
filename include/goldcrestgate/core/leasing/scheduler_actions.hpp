#pragma once

#include "goldcrestgate/core/leasing/job_messages.hpp"
#include "goldcrestgate/core/leasing/orders.hpp"

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Tell an instance how a job that it offered has ended.
struct report_verdict
{
    instance_id origin;
    job_verdict verdict;
};

/// @brief A decision, for the log.
struct scheduler_log_event
{
    /// A stable snake_case word.
    std::string_view event{};
    client_job_id job{};
    std::optional<task_run> run{};
    std::optional<executor_id> executor{};
    /// What decided, as a stable snake_case word; may be empty.
    std::string_view reason{};
    /// Time to the objective of the job, or the time that decided.
    duration slack{};
    /// Run time that is expected, or the time that was taken.
    duration run_time{};
    /// Executors that had room, or entries that were concerned.
    std::uint64_t count = 0;
    /// Tasks that wait.
    std::uint64_t waiting = 0;
};

/// What a scheduler wants done.
using scheduler_action = std::variant<start_run, stop_run, poll_executor,
                                      report_verdict, scheduler_log_event>;

} // namespace goldcrestgate::core
