#pragma once

#include "goldcrestgate/core/time.hpp"

#include <compare>
#include <cstdint>

namespace goldcrestgate::core
{

/// @brief What the place of a waiting job depends on.
struct waiting_job
{
    /// The job's objective.
    time_point due{};
    /// The moment at which the job must begin to meet its objective.
    time_point latest_start{};
    /// Whether only fast executors can end the job in time.
    bool needs_fast_executor = false;
    /// Whether a task may have started.
    bool started = false;
};

/// How urgent a waiting job is; the first enumerator is served first.
enum class serving_class : std::uint8_t
{
    /// Only fast executors can end it in time; the others have more executors
    /// to choose from.
    needs_fast_executor,
    /// It can still meet its objective.
    on_time,
    /// It is late, and work has been spent on it.
    late_started,
    late
};

/// @brief The place of a job among the waiting ones; the least is first.
struct serving_position
{
    serving_class urgency = serving_class::late;
    /// Decides within a class.
    time_point moment{};

    friend auto operator<=>(serving_position const&,
                            serving_position const&) = default;
};

/// @brief Returns the place of a waiting job.
///
/// The load it answers: a mix of short and long jobs near full use. Jobs that
/// can be on time go first, those that must begin first before the others; a
/// late job gets what they leave.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] serving_position position_of(waiting_job const& job,
                                           time_point now);

} // namespace goldcrestgate::core
