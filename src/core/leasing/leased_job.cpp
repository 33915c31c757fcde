#include "goldcrestgate/core/leasing/leased_job.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

duration critical_path(std::vector<task_group> const& groups)
{
    std::vector<duration> finish;
    finish.reserve(groups.size());
    duration longest{};
    for (auto const& group : groups)
    {
        duration begin{};
        for (auto const earlier : group.after)
        {
            if (earlier < finish.size())
            {
                begin = std::max(begin, finish[earlier]);
            }
        }
        finish.push_back(begin + group.estimate);
        longest = std::max(longest, finish.back());
    }
    return longest;
}

} // namespace goldcrestgate::core
