#include "support/executor_fleet.hpp"

#include <algorithm>

namespace goldcrestgate::tests
{

using namespace core;

void executor_fleet::set_crashing(leased_task const& task)
{
    crashing_tasks_.insert(task);
}

void executor_fleet::set_capacity(executor_id id,
                                  resource_amounts const& capacity)
{
    executors_.at(id).description.capacity = capacity;
}

void executor_fleet::crash(executor_id id)
{
    auto& target = executors_.at(id);
    if (target.behaviour.unreachable)
    {
        return;
    }
    for (auto const& run : target.runs)
    {
        ++histories_[run.run.task].crashes;
    }
    target.behaviour.unreachable = true;
    target.runs.clear();
    target.finished.clear();
    target.waiting_polls.clear();
    schedule(restart_time,
             [this, id]
             {
                 executors_.at(id).behaviour = {};
                 restart(id);
                 if (on_restarted)
                 {
                     on_restarted(id);
                 }
             });
}

std::size_t executor_fleet::crashes(leased_task const& task) const
{
    auto const found = histories_.find(task);
    return found == histories_.end() ? 0 : found->second.crashes;
}

std::size_t executor_fleet::failed_ends(leased_task const& task) const
{
    auto const found = histories_.find(task);
    return found == histories_.end() ? 0 : found->second.failed_ends;
}

std::size_t executor_fleet::most_starts_after_third_crash() const
{
    std::size_t most = 0;
    for (auto const& [task, history] : histories_)
    {
        most = std::max(most, history.starts_after_third_crash);
    }
    return most;
}

} // namespace goldcrestgate::tests
