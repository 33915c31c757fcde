#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"

#include <cstddef>
#include <limits>
#include <optional>
#include <span>

namespace goldcrestgate::core
{

/// @brief What the choice of an executor needs to know of one.
struct placement_candidate
{
    executor_id executor;
    resource_amounts free;
    /// Run time here divided by the estimated run time.
    double slowdown = 1.0;
    /// Tasks of the group that may still be started here.
    std::size_t places_left = std::numeric_limits<std::size_t>::max();
};

/// @brief Why an executor was chosen.
enum class placement_reason : std::uint8_t
{
    /// The slowest executor that still meets the objective.
    meets_objective,
    /// None meets the objective; the fastest one.
    earliest_finish
};

/// @brief The chosen executor and the run time expected there.
struct placement_choice
{
    executor_id executor;
    duration expected_run{};
    placement_reason reason = placement_reason::meets_objective;
    /// Executors with room for the task.
    std::uint32_t candidates = 0;
};

/// @brief A task that is to be placed.
struct placement_request
{
    resource_amounts demand;
    /// The client's estimate of the run time.
    duration estimate{};
    /// Until the objective; may be negative.
    duration to_objective{};
    /// Until the caller stops waiting.
    duration to_limit{};
    /// Since the job's arrival.
    duration waited{};
    /// The least slowdown of all executors that may run the task, those
    /// without room included.
    double fastest_slowdown = 1.0;
    /// An executor on which the task has failed or was too slow before.
    std::optional<executor_id> avoided;
};

/// The objective is a multiple of the run time, so that a wrong estimate moves
/// both; only the spread among the tasks of a job is left.
inline constexpr double objective_margin = 1.06;

/// The time limit is fixed, and run times exceed estimates by up to this
/// factor, as estimates are wrong by 40% and tasks of a job differ.
inline constexpr double limit_margin = 1.8;

/// A task that may be too long for the executors with room waits this long for
/// a faster one; short tasks on fast executors end within it.
inline constexpr duration fast_executor_patience =
    std::chrono::milliseconds{200};

/// An executor that would exceed the time limit even if the estimate is this
/// much too high is not used: the work would be lost. A start that turns out
/// to be hopeless costs little, as its progress shows that early.
inline constexpr double hopeless_margin = 0.65;

/// @brief Returns whether some executors are too slow for a task.
/// @param estimate the client's estimate of the run time
/// @param to_limit until the caller stops waiting
/// @param slowest_slowdown the greatest slowdown of all executors
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] bool needs_fast_executor(duration estimate, duration to_limit,
                                       double slowest_slowdown);

/// @brief Chooses the executor of one task.
///
/// The load it answers: executors of unlike speed near full use. A task with
/// time to spare leaves the fast executors to tasks without; among equal
/// speeds the executor with the least remaining room is taken, so that large
/// tasks find room. A task that only fast executors can end in time waits for
/// one of them.
/// @return nothing if no candidate has room and can end the task in time
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<placement_choice>
choose_executor(std::span<placement_candidate const> candidates,
                placement_request const& request);

} // namespace goldcrestgate::core
