#include "goldcrestgate/core/leasing/reservation_plan.hpp"

#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

/// When an executor is expected to have capacity, and how much it then has.
struct expected_capacity
{
    time_point at{};
    resource_amounts free;
};

/// @pre the amounts are not free now; the releases are in the order of their
/// times
std::optional<expected_capacity>
first_capacity(reservable_executor const& executor,
               resource_amounts const& amounts)
{
    auto free = executor.free;
    auto const& releases = executor.releases;
    for (std::size_t i = 0; i < releases.size(); ++i)
    {
        free += releases[i].amounts;
        bool const is_last_of_time =
            i + 1 == releases.size() || releases[i + 1].at != releases[i].at;
        if (is_last_of_time && amounts.fits_into(free))
        {
            return expected_capacity{releases[i].at, free};
        }
    }
    return std::nullopt;
}

} // namespace

reservation_plan::reservation_plan(std::size_t limit, double overrun_factor,
                                   time_point now)
    : limit_(limit)
    , overrun_factor_(overrun_factor)
    , now_(now)
{
}

void reservation_plan::add(reservable_executor executor)
{
    std::ranges::sort(executor.releases, {}, &expected_release::at);
    executors_.push_back(std::move(executor));
}

bool reservation_plan::reserve(blocked_group const& group,
                               slowdown_function const& slowdown)
{
    if (is_full())
    {
        return false;
    }
    std::optional<executor_id> chosen;
    double chosen_slowdown = 0.0;
    reservation best;
    for (auto const& executor : executors_)
    {
        if (group.each_task.fits_into(executor.free) ||
            reservations_.contains(executor.executor))
        {
            continue;
        }
        auto const capacity = first_capacity(executor, group.each_task);
        if (!capacity || (chosen && capacity->at > best.at))
        {
            continue;
        }
        auto const factor = slowdown(executor.executor);
        if (!factor ||
            (chosen && capacity->at == best.at && *factor >= chosen_slowdown))
        {
            continue;
        }
        auto const longest_run =
            detail::scale_duration(group.estimate, *factor * overrun_factor_);
        if (capacity->at + longest_run > group.deadline)
        {
            continue;
        }
        auto spare = capacity->free;
        spare -= group.each_task;
        chosen = executor.executor;
        chosen_slowdown = *factor;
        best = {group.job,
                group.group,
                group.rank,
                capacity->at,
                group.each_task,
                spare,
                detail::scale_duration(group.estimate, *factor)};
    }
    if (chosen)
    {
        reservations_.emplace(*chosen, best);
    }
    return chosen.has_value();
}

bool reservation_plan::delays(planned_start const& start,
                              reservation const& reserved) const
{
    auto const end =
        now_ + detail::scale_duration(start.expected_run, overrun_factor_);
    return end > reserved.at && !start.amounts.fits_into(reserved.spare);
}

reservation_effect reservation_plan::effect_of(planned_start const& start) const
{
    auto const found = reservations_.find(start.executor);
    if (found == reservations_.end() || !delays(start, found->second))
    {
        return reservation_effect::none;
    }
    return start.rank > found->second.rank
               ? reservation_effect::delays_earlier_job
               : reservation_effect::delays_later_job;
}

void reservation_plan::record_start(planned_start const& start)
{
    auto const found = reservations_.find(start.executor);
    if (found == reservations_.end())
    {
        return;
    }
    auto& reserved = found->second;
    if (delays(start, reserved))
    {
        reservations_.erase(found);
        return;
    }
    auto const end =
        now_ + detail::scale_duration(start.expected_run, overrun_factor_);
    if (end > reserved.at)
    {
        reserved.spare -= start.amounts;
    }
}

} // namespace goldcrestgate::core
