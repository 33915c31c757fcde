#include "goldcrestgate/core/leasing/crash_ledger.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// The counts of an ended job are kept for a caller that submits it again.
constexpr duration count_retention = std::chrono::seconds{60};

/// Time for which the count of an ended job is reported; heartbeats of an owner
/// are at most 1 s apart.
constexpr duration report_time = std::chrono::seconds{3};

/// Number of crashes that identify a task which had the only run on one of the
/// executors, and number that identifies any task.
constexpr std::uint32_t isolated_crash_limit = 2;
constexpr std::uint32_t crash_limit = 3;

bool identifies_task(crash_count const& count)
{
    return count.crashes >= crash_limit ||
           (count.crashes >= isolated_crash_limit && count.alone > 0);
}

void add(crash_count& count, bool alone)
{
    ++count.crashes;
    count.alone += alone ? 1 : 0;
}

void merge(crash_count& count, crash_count const& other)
{
    count.crashes = std::max(count.crashes, other.crashes);
    count.alone = std::max(count.alone, other.alone);
}

} // namespace

void crash_ledger::suspect(leased_task const& task, bool alone, time_point now)
{
    auto& found = entries_[task];
    add(found.suspected, alone);
    found.changed_at = now;
}

void crash_ledger::confirm(leased_task const& task, bool alone, time_point now)
{
    auto& found = entries_[task];
    add(found.confirmed, alone);
    merge(found.suspected, found.confirmed);
    found.changed_at = now;
}

void crash_ledger::refute(leased_task const& task, bool alone)
{
    auto const found = entries_.find(task);
    if (found == entries_.end())
    {
        return;
    }
    auto& [suspected, confirmed, changed_at] = found->second;
    suspected.crashes -= suspected.crashes > confirmed.crashes ? 1 : 0;
    suspected.alone -= alone && suspected.alone > confirmed.alone ? 1 : 0;
    if (suspected.crashes == 0)
    {
        entries_.erase(found);
    }
}

void crash_ledger::adopt(std::span<task_crashes const> counts, time_point now)
{
    for (auto const& [task, suspected, confirmed] : counts)
    {
        if (suspected.crashes == 0)
        {
            continue;
        }
        auto& found = entries_[task];
        auto const before = found;
        merge(found.suspected, suspected);
        merge(found.confirmed, confirmed);
        merge(found.suspected, found.confirmed);
        if (before.suspected != found.suspected ||
            before.confirmed != found.confirmed)
        {
            found.changed_at = now;
        }
    }
}

void crash_ledger::forget(leased_task const& task)
{
    entries_.erase(task);
}

void crash_ledger::expire(time_point now,
                          std::function<bool(client_job_id)> const& is_open)
{
    std::erase_if(entries_,
                  [&](auto const& item)
                  {
                      return now - item.second.changed_at > count_retention &&
                             !is_open(item.first.job);
                  });
}

bool crash_ledger::is_suspect(leased_task const& task) const
{
    return entries_.contains(task);
}

bool crash_ledger::is_withheld(leased_task const& task) const
{
    auto const found = entries_.find(task);
    return found != entries_.end() && identifies_task(found->second.suspected);
}

bool crash_ledger::withholds_task_of(client_job_id job) const
{
    for (auto item = entries_.lower_bound({job, 0, 0});
         item != entries_.end() && item->first.job == job; ++item)
    {
        if (identifies_task(item->second.suspected))
        {
            return true;
        }
    }
    return false;
}

bool crash_ledger::is_crash_looping(leased_task const& task) const
{
    auto const found = entries_.find(task);
    return found != entries_.end() && identifies_task(found->second.confirmed);
}

task_crashes crash_ledger::counts(leased_task const& task) const
{
    auto const found = entries_.find(task);
    return found == entries_.end() ? task_crashes{task, {}, {}}
                                   : task_crashes{task, found->second.suspected,
                                                  found->second.confirmed};
}

std::optional<time_point>
crash_ledger::changed_at(leased_task const& task) const
{
    auto const found = entries_.find(task);
    return found == entries_.end() ? std::nullopt
                                   : std::optional{found->second.changed_at};
}

std::vector<leased_task>
crash_ledger::crash_looping_tasks(client_job_id job) const
{
    std::vector<leased_task> tasks;
    for (auto item = entries_.lower_bound({job, 0, 0});
         item != entries_.end() && item->first.job == job; ++item)
    {
        if (identifies_task(item->second.confirmed))
        {
            tasks.push_back(item->first);
        }
    }
    return tasks;
}

std::vector<task_crashes>
crash_ledger::report(time_point now,
                     std::function<bool(client_job_id)> const& is_open) const
{
    std::vector<task_crashes> reported;
    for (auto const& [task, found] : entries_)
    {
        if (reported.size() == max_reported_crashes)
        {
            break;
        }
        if (now - found.changed_at <= report_time || is_open(task.job))
        {
            reported.push_back({task, found.suspected, found.confirmed});
        }
    }
    return reported;
}

} // namespace goldcrestgate::core
