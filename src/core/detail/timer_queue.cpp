#include "goldcrestgate/core/detail/timer_queue.hpp"

namespace goldcrestgate::core::detail
{

void timer_queue::add(timer entry)
{
    timers_.push(entry);
}

std::optional<timer> timer_queue::pop_due(time_point now)
{
    if (timers_.empty() || timers_.top().due > now)
    {
        return std::nullopt;
    }
    timer const entry = timers_.top();
    timers_.pop();
    return entry;
}

std::optional<time_point> timer_queue::next() const
{
    return timers_.empty() ? std::nullopt : std::optional{timers_.top().due};
}

std::size_t timer_queue::size() const
{
    return timers_.size();
}

} // namespace goldcrestgate::core::detail
