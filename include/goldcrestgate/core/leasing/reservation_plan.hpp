#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Amounts that a run is expected to release.
struct expected_release
{
    time_point at{};
    resource_amounts amounts;
};

/// @brief Executor on which capacity may be reserved. Runs whose end cannot be
/// predicted are left out of the releases.
struct reservable_executor
{
    executor_id executor;
    /// Amounts that no run uses now.
    resource_amounts free;
    std::vector<expected_release> releases;
};

/// @brief Group of a job with a task for which there is no capacity.
struct blocked_group
{
    client_job_id job;
    std::uint16_t group = 0;
    /// Position of the job in the serving order.
    std::size_t rank = 0;
    resource_amounts each_task;
    /// The client's estimate of the run time.
    duration estimate{};
    /// Time by which the task has to end.
    time_point deadline{};
};

/// @brief Capacity of an executor that is kept for one task from a time on.
struct reservation
{
    client_job_id job;
    std::uint16_t group = 0;
    std::size_t rank = 0;
    /// Expected start of the task.
    time_point at{};
    resource_amounts amounts;
    /// Amounts that are expected to be free beside the task at its start.
    resource_amounts spare;
    duration expected_run{};
};

/// @brief Start of a task of another group on an executor.
struct planned_start
{
    executor_id executor;
    /// Position of its job in the serving order.
    std::size_t rank = 0;
    resource_amounts amounts;
    /// Expected run time on the executor.
    duration expected_run{};
};

/// Effect of a start on the reservations.
enum class reservation_effect : std::uint8_t
{
    none,
    /// Delays a reservation of a job that is later in the serving order, or of
    /// the same job; the start is allowed.
    delays_later_job,
    /// Delays a reservation of a job that is earlier in the serving order; the
    /// start is not allowed.
    delays_earlier_job
};

/// @brief Reservations of capacity for large tasks in one placement round.
///
/// Intended for tasks of 6 to 12 cores on executors of 16 cores near full
/// utilization: without reservations, smaller tasks fill each gap before it is
/// large enough for a task of 12 cores. Each reservation is for one task, on
/// the executor on which it is expected to start first and still to end in
/// time. Smaller tasks are backfilled: they start on such an executor if they
/// are expected to end before the reservation, or if the reserved amounts stay
/// free.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class reservation_plan
{
public:
    /// Returns the run time of a task of the group on an executor divided by
    /// its estimate; empty if the executor is not allowed to run it.
    using slowdown_function = std::function<std::optional<double>(executor_id)>;

    /// @brief Creates a plan without reservations.
    /// @param limit largest number of reservations
    /// @param overrun_factor factor by which run times exceed their expected
    /// values in the worst case that is considered
    /// @pre @a overrun_factor is at least 1
    reservation_plan(std::size_t limit, double overrun_factor, time_point now);

    /// @brief Adds an executor.
    /// @pre it has not been added; no reservation has been made
    void add(reservable_executor executor);

    /// @brief Reserves capacity for one task of a group.
    /// @return false if the limit is reached or if no executor without a
    /// reservation is expected to run the task in time. Executors that have the
    /// capacity now are not considered: placement has not chosen them.
    bool reserve(blocked_group const& group, slowdown_function const& slowdown);

    [[nodiscard]] bool is_full() const
    {
        return reservations_.size() >= limit_;
    }

    /// @brief Returns the effect of a start at the time of the plan.
    /// @pre the executor has the capacity
    [[nodiscard]] reservation_effect
    effect_of(planned_start const& start) const;

    /// @brief Records a start. A reservation that it delays is released.
    void record_start(planned_start const& start);

    [[nodiscard]] std::map<executor_id, reservation> const& reservations() const
    {
        return reservations_;
    }

private:
    [[nodiscard]] bool delays(planned_start const& start,
                              reservation const& reserved) const;

    std::size_t limit_;
    double overrun_factor_;
    time_point now_;
    std::vector<reservable_executor> executors_;
    std::map<executor_id, reservation> reservations_;
};

} // namespace goldcrestgate::core
