#include "goldcrestgate/core/leasing/detail/group_order.hpp"

#include <vector>

namespace goldcrestgate::core::detail
{

namespace
{

void unblock(group_record& group)
{
    for (auto& task : group.tasks)
    {
        if (task.phase == task_phase::blocked)
        {
            make_waiting(group, task);
        }
    }
}

void complete_inactive_tasks(job_record& job, std::uint16_t group)
{
    auto const& tasks = job.groups[group].tasks;
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        if (tasks[i].phase == task_phase::waiting ||
            tasks[i].phase == task_phase::blocked)
        {
            complete_task(job, group, static_cast<std::uint16_t>(i));
        }
    }
}

} // namespace

// A group without tasks has no end that the groups after it could wait for.
void add_groups(job_record& job)
{
    auto const& specs = job.job.groups;
    job.groups.reserve(specs.size());
    for (std::size_t i = 0; i < specs.size(); ++i)
    {
        auto& group = job.groups.emplace_back();
        group.tasks.resize(specs[i].task_count);
        job.unfinished_groups += group.tasks.empty() ? 0 : 1;
        for (auto const earlier : specs[i].after)
        {
            if (!job.groups[earlier].tasks.empty())
            {
                job.groups[earlier].following.push_back(
                    static_cast<std::uint16_t>(i));
                ++group.awaited;
            }
        }
        if (group.awaited == 0)
        {
            unblock(group);
        }
    }
}

void make_waiting(group_record& group, task_record& task)
{
    task.phase = task_phase::waiting;
    ++group.waiting;
}

void complete_task(job_record& job, std::uint16_t group, std::uint16_t index)
{
    auto& record = job.groups[group];
    auto& task = record.tasks[index];
    if (task.phase == task_phase::waiting)
    {
        --record.waiting;
    }
    task.phase = task_phase::done;
    ++record.done;
    if (record.done < record.tasks.size())
    {
        return;
    }
    --job.unfinished_groups;
    for (auto const later : record.following)
    {
        auto& following = job.groups[later];
        --following.awaited;
        if (following.awaited == 0)
        {
            unblock(following);
        }
    }
}

void complete_preceding_groups(job_record& job, std::uint16_t group)
{
    std::vector<std::uint16_t> unvisited{group};
    while (!unvisited.empty())
    {
        auto const visited = unvisited.back();
        unvisited.pop_back();
        if (job.groups[visited].preceding_shown_done)
        {
            continue;
        }
        job.groups[visited].preceding_shown_done = true;
        for (auto const earlier : job.job.groups[visited].after)
        {
            auto& preceding = job.groups[earlier];
            if (!preceding.shown_done)
            {
                preceding.shown_done = true;
                complete_inactive_tasks(job, earlier);
                unvisited.push_back(earlier);
            }
        }
    }
}

void forget_shown_ends(job_record& job)
{
    for (auto& group : job.groups)
    {
        group.shown_done = false;
        group.preceding_shown_done = false;
    }
    job.has_unapplied_ends = true;
}

bool is_complete(job_record const& job)
{
    return job.unfinished_groups == 0;
}

} // namespace goldcrestgate::core::detail
