#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"

#include <cstddef>
#include <limits>
#include <optional>
#include <span>

namespace goldcrestgate::core
{

/// @brief Executor that a task may be placed on.
struct placement_candidate
{
    executor_id executor;
    resource_amounts free;
    /// Run time on the executor divided by the estimated run time.
    double slowdown = 1.0;
    /// Number of tasks of the group that may still start on the executor.
    std::size_t starts_left = std::numeric_limits<std::size_t>::max();
    /// Whether a start delays a reservation of a job that is later in the
    /// serving order.
    bool delays_reservation = false;
};

/// @brief Reason for the choice of an executor.
enum class placement_reason : std::uint8_t
{
    /// It is the slowest executor that still meets the objective.
    meets_objective,
    /// No executor meets the objective; this is the fastest one.
    earliest_finish
};

/// @brief Chosen executor, with the expected run time on it.
struct placement_choice
{
    executor_id executor;
    duration expected_run{};
    placement_reason reason = placement_reason::meets_objective;
    /// Number of suitable executors with capacity for the task.
    std::uint32_t candidates = 0;
};

/// Run-time factor that must fit the objective. The objective is itself a
/// multiple of the estimated run time, so an estimation error affects both; the
/// factor covers only the spread among the tasks of a job.
inline constexpr double objective_factor = 1.06;

/// @brief Factors by which a task's run time may differ from the one expected
/// from its estimate and the executor's speed.
///
/// The defaults are the quantiles of a route without observations, whose run
/// times vary by 40%.
struct run_time_factors
{
    /// An executor on which even this multiple exceeds the time limit is not
    /// used, since the work would be lost. A start that turns out too slow
    /// costs little because its progress shows it early.
    double best_case = 0.65;
    /// Must fit the objective.
    double objective = objective_factor;
    /// Compared with the fixed time limit.
    double worst_case = 1.8;
    /// Must fit the time limit on an executor that is preferred over a faster
    /// one. It exceeds the worst case while fast executors are mostly free.
    double slow_executor_margin = 1.8;
};

/// @brief Task to place.
struct placement_request
{
    resource_amounts demand;
    /// The client's estimate of the run time.
    duration estimate{};
    /// Time until the objective; may be negative.
    duration to_objective{};
    /// Time until the caller stops waiting.
    duration to_limit{};
    /// Time since the job's arrival.
    duration waited{};
    /// Lowest slowdown of all usable executors of the service, including those
    /// without free capacity.
    double fastest_slowdown = 1.0;
    /// Executor on which the task has failed or was too slow.
    std::optional<executor_id> avoided;
    run_time_factors factors{};
    /// Smallest CPU amount of the other waiting tasks, if some of them have no
    /// capacity; otherwise 0. A smaller remainder on an executor is of no use.
    std::uint32_t smallest_waiting_millicores = 0;
};

/// Longest time that a task which may exceed its time limit on the free
/// executors waits for a faster executor; short tasks on fast executors end
/// within it. It does not wait longer than the run time that it would save.
inline constexpr duration fast_executor_wait = std::chrono::milliseconds{200};

/// @brief Returns whether the slowest executors may exceed a task's time limit.
/// @param estimate the client's estimate of the run time
/// @param to_limit time until the caller stops waiting
/// @param slowest_slowdown the highest slowdown of all executors
/// @param worst_case see @ref run_time_factors
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] bool
needs_fast_executor(duration estimate, duration to_limit,
                    double slowest_slowdown,
                    double worst_case = run_time_factors{}.worst_case);

/// @brief Chooses the executor for a task.
///
/// Intended for executors of different speeds near full utilization. A task
/// that meets its objective on a slow executor leaves the fast ones to tasks
/// that need them. Among executors of equal speed, the one with the least free
/// capacity is chosen (best fit), so that large tasks still find capacity. If
/// other tasks wait without capacity, an executor is preferred on which the
/// start leaves nothing or enough for one of them. An executor on which the
/// start delays a reservation is chosen only if no other is as suitable. A
/// task that only fast executors can finish in time waits for one of them for a
/// limited time.
/// @return empty if no candidate has capacity and can finish the task in time,
/// or if the task should wait for a faster executor
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<placement_choice>
choose_executor(std::span<placement_candidate const> candidates,
                placement_request const& request);

} // namespace goldcrestgate::core
