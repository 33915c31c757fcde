#pragma once

#include "goldcrestgate/core/time.hpp"

namespace goldcrestgate::core
{

/// @brief Bounds on the work for a caller, by the time at which it was last
/// known to wait.
///
/// A caller without an answer submits its job again, in any failure domain, a
/// fixed delay after it has left, and it may have left right after it was last
/// known to wait. No run of the job may go on by then. A run ends at the latest
/// with the lease of its executor, which orders for other runs may have
/// prolonged; so a task starts only where the lease that has been granted ends
/// in time, and no later order prolongs it beyond that.
///
/// The bounds hold however often an instance says that its callers wait: less
/// frequent messages delay starts, but allow none that lives too long.
///
/// @par Thread safety
/// Safe for concurrent readers.
class caller_bounds
{
public:
    /// @param resubmission_delay shortest time from the leaving of a caller to
    /// its next attempt
    /// @param stop_time longest time that an executor takes to stop a run
    caller_bounds(duration resubmission_delay, duration stop_time)
        : resubmission_delay_(resubmission_delay)
        , stop_time_(stop_time)
    {
    }

    /// @brief Returns the time beyond which no lease may keep runs for the
    /// caller alive.
    /// @param waiting_at time at which the caller was last known to wait;
    /// `time_point::max()` if it cannot leave
    [[nodiscard]] time_point lease_end(time_point waiting_at) const;

    /// @brief Returns whether a task may start for the caller on an executor
    /// whose lease ends in time.
    [[nodiscard]] bool allow_starts(time_point waiting_at,
                                    time_point now) const;

    /// @brief Returns whether a task may start for the caller on an executor.
    /// @param granted_until end of the lease that the executor may have from
    /// earlier orders
    [[nodiscard]] bool allow_start(time_point waiting_at,
                                   time_point granted_until,
                                   time_point now) const;

    /// @brief Returns the time at which the runs for a caller that has left are
    /// stopped. Until then a resubmission of the job can use them.
    [[nodiscard]] time_point stop_at(time_point left_at) const;

    /// @brief Returns the time from which the caller may have submitted its job
    /// again elsewhere.
    [[nodiscard]] time_point resubmission_at(time_point waiting_at) const;

private:
    duration resubmission_delay_;
    duration stop_time_;
};

} // namespace goldcrestgate::core
