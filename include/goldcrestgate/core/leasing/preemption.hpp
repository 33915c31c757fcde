#pragma once

#include "goldcrestgate/core/leasing/orders.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace goldcrestgate::core
{

/// @brief Run that may be stopped for an urgent task.
struct preemption_candidate
{
    /// Class of the run's job; 0 is the highest.
    std::uint8_t priority = 0;
    /// Time since the start.
    duration spent{};
    /// Expected run time from the start to the end.
    duration run_time{};
    /// Time until the caller of the run's job stops waiting.
    duration to_deadline{};
    /// Millicores of the run.
    std::uint32_t millicores = 0;
    /// Unused capacity of the executor once the run has ended.
    resource_amounts freed;
    /// Run time of the urgent task on the executor divided by its estimate.
    double slowdown = 1.0;
    /// Whether a run of the task was stopped for urgent work before.
    bool preempted_before = false;
};

/// @brief Waiting task that no executor has capacity for.
struct preemption_request
{
    std::uint8_t priority = 0;
    resource_amounts demand;
    /// The client's estimate of the run time.
    duration estimate{};
    /// Time until the objective.
    duration to_objective{};
    /// Time until a run would end by itself and leave its capacity.
    duration to_next_end{};
    /// Time that an executor takes to stop a run.
    duration stop_time{};
    /// Lowest slowdown of the executors of the service.
    double fastest_slowdown = 1.0;
};

/// @brief Returns whether the task would miss its objective if it waited for
/// the next run to end.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] bool needs_preemption(preemption_request const& request);

/// @brief Chooses the run to stop for a waiting task.
///
/// Intended for urgent short tasks that arrive while long tasks of a lower
/// class have all executors. A stop loses the work of the run, so it is chosen
/// only if all of these hold:
/// - the urgent task needs the preemption, and meets its objective after it
/// - the run is of a strictly lower class and was not stopped before
/// - the run has used less than half of its run time, and what remains is
///   longer than the stop and the urgent task together
/// - the run's task can still end before its deadline when it is started again
///   after the urgent task
/// @return the index of the run of the lowest class that loses the least work,
/// if any
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<std::size_t>
choose_preemption(std::span<preemption_candidate const> candidates,
                  preemption_request const& request);

} // namespace goldcrestgate::core
