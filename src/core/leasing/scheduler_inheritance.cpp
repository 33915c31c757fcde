#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

// A task starts only after all groups before its own are done, so a run of an
// earlier owner shows that they are.
void scheduler_state::complete_preceding_groups(job_record& job,
                                                std::uint16_t group)
{
    for (auto const earlier : job.job.groups[group].after)
    {
        complete_preceding_groups(job, earlier);
        auto& preceding = job.groups[earlier];
        for (auto& task : preceding.tasks)
        {
            if (task.phase == task_phase::waiting)
            {
                --preceding.waiting;
            }
            else if (task.phase != task_phase::blocked)
            {
                continue;
            }
            task.phase = task_phase::done;
            ++preceding.done;
        }
    }
    unblock_groups(job);
}

} // namespace goldcrestgate::core::detail
