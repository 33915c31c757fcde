#include "goldcrestgate/core/leasing/caller_bounds.hpp"

#include "goldcrestgate/core/leasing/detail/start_lease.hpp"

namespace goldcrestgate::core
{

namespace
{

/// Returns `time_point::max()` instead of a later time.
time_point add_saturating(time_point time, duration span)
{
    return time > time_point::max() - span ? time_point::max() : time + span;
}

} // namespace

// The lease ends two stop times before the resubmission: executors measure it
// on their own clocks, and orders take time to arrive.
time_point caller_bounds::lease_end(time_point waiting_at) const
{
    return add_saturating(waiting_at, resubmission_delay_ - 2 * stop_time_);
}

bool caller_bounds::allow_starts(time_point waiting_at, time_point now) const
{
    return lease_end(waiting_at) >= now + detail::min_start_lease;
}

bool caller_bounds::allow_start(time_point waiting_at, time_point granted_until,
                                time_point now) const
{
    return allow_starts(waiting_at, now) &&
           granted_until <= lease_end(waiting_at);
}

time_point caller_bounds::stop_at(time_point left_at) const
{
    return add_saturating(left_at, resubmission_delay_ / 2);
}

time_point caller_bounds::resubmission_at(time_point waiting_at) const
{
    return add_saturating(waiting_at, resubmission_delay_);
}

} // namespace goldcrestgate::core
