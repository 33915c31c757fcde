#include "goldcrestgate/core/admission/waiting_job.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

// Each open task moves a job back by this time in the order of arrival: a job
// of 1,800 tasks goes behind smaller jobs of its flow that arrive within the
// next 9 s.
constexpr duration delay_per_open_task = std::chrono::milliseconds{5};

} // namespace

waiting_job::waiting_job(waiting_task const& first, std::uint64_t sequence)
    : submission_(first.task.submission)
    , team_(first.team)
    , urgency_(first.urgency)
    , since_(first.since)
    , deadline_(first.deadline)
    , open_(first.open_in_job)
    , sequence_(sequence)
{
}

void waiting_job::push(waiting_task const& task)
{
    if (sorted_)
    {
        return push_front(task);
    }
    work_ += task.expected_run_time;
    tasks_.push_back(task);
}

void waiting_job::sort()
{
    if (sorted_)
    {
        return;
    }
    sorted_ = true;
    std::stable_sort(
        tasks_.begin() + static_cast<std::ptrdiff_t>(next_), tasks_.end(),
        [](waiting_task const& left, waiting_task const& right)
        {
            return left.expected_run_time > right.expected_run_time;
        });
}

void waiting_job::push_front(waiting_task const& task)
{
    work_ += task.expected_run_time;
    front_.push_back(task);
}

waiting_task waiting_job::pop()
{
    sort();
    waiting_task removed;
    if (!front_.empty())
    {
        removed = front_.back();
        front_.pop_back();
    }
    else
    {
        removed = tasks_[next_];
        ++next_;
    }
    work_ -= removed.expected_run_time;
    return removed;
}

waiting_task const& waiting_job::last()
{
    sort();
    return next_ < tasks_.size() ? tasks_.back() : front_.front();
}

waiting_task waiting_job::pop_last()
{
    waiting_task const removed = last();
    if (next_ < tasks_.size())
    {
        tasks_.pop_back();
    }
    else
    {
        front_.erase(front_.begin());
    }
    work_ -= removed.expected_run_time;
    return removed;
}

std::vector<task_key> waiting_job::keys() const
{
    std::vector<task_key> keys;
    keys.reserve(size());
    for (waiting_task const& task : front_)
    {
        keys.push_back(task.task);
    }
    for (std::size_t i = next_; i < tasks_.size(); ++i)
    {
        keys.push_back(tasks_[i].task);
    }
    return keys;
}

std::size_t waiting_job::size() const
{
    return front_.size() + tasks_.size() - next_;
}

job_rank waiting_job::rank() const
{
    return {since_ + delay_per_open_task * open_, sequence_, submission_};
}

void waiting_job::set_open(std::uint32_t open)
{
    open_ = open;
}

team_id waiting_job::team() const
{
    return team_;
}

core::urgency waiting_job::urgency() const
{
    return urgency_;
}

time_point waiting_job::since() const
{
    return since_;
}

time_point waiting_job::deadline() const
{
    return deadline_;
}

duration waiting_job::work() const
{
    return work_;
}

} // namespace goldcrestgate::core
