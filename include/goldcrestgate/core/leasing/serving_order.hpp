#pragma once

#include "goldcrestgate/core/time.hpp"

#include <compare>
#include <cstdint>

namespace goldcrestgate::core
{

/// @brief Inputs of the serving order of a waiting job.
struct serving_input
{
    /// Time of the job's objective.
    time_point due{};
    /// Latest start at which the job meets its objective.
    time_point latest_start{};
    /// Whether only fast executors can finish the job in time.
    bool needs_fast_executor = false;
    /// Whether a task may have started.
    bool started = false;
};

/// Class of a waiting job; lower enumerators are served first.
enum class serving_class : std::uint8_t
{
    /// Only fast executors can finish the job in time; jobs of the other
    /// classes can use more executors.
    needs_fast_executor,
    /// The job can still meet its objective.
    on_time,
    /// The job is late and has started tasks.
    late_started,
    late
};

/// @brief Sort key of a waiting job; the lowest is served first.
struct serving_position
{
    serving_class urgency = serving_class::late;
    /// Order within a class.
    time_point sort_time{};

    friend auto operator<=>(serving_position const&,
                            serving_position const&) = default;
};

/// @brief Returns the sort key of a waiting job.
///
/// Intended for a mix of short and long jobs near full utilization. Jobs that
/// can still be on time are served first, by their latest start; late jobs get
/// the remaining capacity.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] serving_position serving_position_of(serving_input const& job,
                                                   time_point now);

} // namespace goldcrestgate::core
