#include "goldcrestgate/core/detail/decision_log.hpp"

namespace goldcrestgate::core::detail
{

decision_log::decision_log(std::size_t capacity)
    : capacity_(capacity)
{
}

void decision_log::add(time_point now, record_decision const& decision)
{
    if (ring_.size() < capacity_)
    {
        ring_.push_back({now, decision});
        return;
    }
    if (capacity_ == 0)
    {
        return;
    }
    ring_[next_] = {now, decision};
    next_ = (next_ + 1) % capacity_;
}

std::vector<logged_decision> decision_log::find(task_key const& task) const
{
    std::vector<logged_decision> found;
    for (std::size_t i = 0; i < ring_.size(); ++i)
    {
        logged_decision const& kept = ring_[(next_ + i) % ring_.size()];
        bool const is_about_job =
            kept.decision.task &&
            kept.decision.task->submission == task.submission;
        if (is_about_job && kept.decision.task->task == task.task)
        {
            found.push_back(kept);
        }
    }
    return found;
}

} // namespace goldcrestgate::core::detail
