#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"

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

/// Estimates are wrong by up to 40% either way; an executor counts as able to
/// meet an objective when it does so with this excess over the estimate.
inline constexpr double estimate_margin = 1.25;

/// @brief Chooses the executor of one task.
///
/// The load it answers: executors of unlike speed near full use. A task with
/// time to spare leaves the fast executors to tasks without; among equal
/// speeds the executor with the least remaining room is taken, so that large
/// tasks find room.
/// @param time_left until the objective; may be negative
/// @return nothing if no candidate has room
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<placement_choice>
choose_executor(std::span<placement_candidate const> candidates,
                resource_amounts const& demand, duration estimate,
                duration time_left);

} // namespace goldcrestgate::core
