#pragma once

#include "goldcrestgate/core/leasing/detail/job_record.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

/// @brief Returns the CPU time of one task in millicore-seconds.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline double cpu_work(task_group const& group)
{
    return static_cast<double>(group.estimate.count()) / 1e6 *
           group.each_task.cpu_millicores;
}

/// @brief Returns the CPU time of the job's waiting tasks in
/// millicore-seconds.
/// @par Thread safety
/// Safe for concurrent readers.
[[nodiscard]] inline double waiting_work(job_record const& job)
{
    double work = 0.0;
    for (std::size_t i = 0; i < job.groups.size(); ++i)
    {
        work += job.groups[i].waiting * cpu_work(job.job.groups[i]);
    }
    return work;
}

/// @brief Returns whether a task of the job waits for an executor.
/// @par Thread safety
/// Safe for concurrent readers.
[[nodiscard]] inline bool has_waiting(job_record const& job)
{
    return std::ranges::any_of(job.groups,
                               [](group_record const& group)
                               {
                                   return group.waiting > 0;
                               });
}

} // namespace goldcrestgate::core::detail
