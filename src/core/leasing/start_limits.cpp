#include "goldcrestgate/core/leasing/detail/start_limits.hpp"

#include <algorithm>
#include <limits>

namespace goldcrestgate::core::detail
{

bool has_label(executor_description const& description,
               std::string const& label)
{
    return label.empty() || std::ranges::find(description.labels, label) !=
                                description.labels.end();
}

std::size_t starts_left(executor_record const& executor, job_record const& job,
                        std::uint16_t group)
{
    std::size_t const limit = job.job.groups[group].max_per_executor;
    if (limit == 0)
    {
        return std::numeric_limits<std::size_t>::max();
    }
    auto const runs = static_cast<std::size_t>(
        std::ranges::count_if(executor.runs,
                              [&job, group](run_record const& run)
                              {
                                  return run.run.task.job == job.job.id &&
                                         run.run.task.group == group;
                              }));
    return limit - std::min(limit, runs);
}

} // namespace goldcrestgate::core::detail
