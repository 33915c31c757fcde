#pragma once

#include "goldcrestgate/core/time.hpp"

#include <cstdint>

namespace goldcrestgate::core
{

/// @brief What the admission of a job depends on.
struct admission_input
{
    /// Time until the objective.
    duration time_to_objective{};
    /// Time until the caller stops waiting.
    duration time_to_limit{};
    /// The job's longest chain on the fastest executors.
    duration fastest_run{};
    /// CPU time in millicore-seconds of waiting tasks that go first, on
    /// executors of average speed.
    double work_ahead = 0.0;
    /// CPU time of the job itself.
    double own_work = 0.0;
    /// Millicores that tasks can fill on the executors that may run the job.
    double usable_millicores = 0.0;
    /// Whether tasks of the job can start at once.
    bool room_now = false;
};

/// @brief The verdict of @ref admit.
struct admission_verdict
{
    bool admitted = false;
    /// When not admitted: time until waiting work leaves room.
    duration retry_after{};
    /// Wait that was expected for the first task.
    duration expected_wait{};
};

/// @brief Decides whether a job is accepted or rejected at once.
///
/// The load it answers: bursts beyond the capacity. A job that would wait past
/// its objective is rejected on arrival, while a caller can still go elsewhere,
/// in place of waiting until its deadline and delaying those behind it.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] admission_verdict admit(admission_input const& input);

} // namespace goldcrestgate::core
