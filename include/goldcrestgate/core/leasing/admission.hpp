#pragma once

#include "goldcrestgate/core/time.hpp"

#include <cstdint>

namespace goldcrestgate::core
{

/// @brief Inputs of the admission decision for a job.
struct admission_input
{
    /// Time until the objective.
    duration time_to_objective{};
    /// Time until the caller stops waiting.
    duration time_to_limit{};
    /// Best-case run time of the job's critical path on the fastest executors.
    duration fastest_run{};
    /// CPU time, in millicore-seconds on executors of average speed, of the
    /// waiting tasks that are served before the job.
    double work_ahead = 0.0;
    /// CPU time of the job itself, in the same unit.
    double own_work = 0.0;
    /// Millicores that tasks can use on the executors that may run the job.
    double usable_millicores = 0.0;
    /// Whether the job's tasks can start at once; the scheduler sets it when no
    /// waiting work is served before the job.
    bool can_start_now = false;
};

/// @brief Result of @ref admit.
struct admission_verdict
{
    bool admitted = false;
    /// When not admitted: time after which the caller may retry.
    duration retry_after{};
    /// When not admitted: longest time for which the same job would be rejected
    /// if no other work arrived.
    duration rejected_for{};
    /// Expected wait for the waiting work and the job's own work.
    duration expected_wait{};
};

/// @brief Decides on arrival whether a job is accepted or rejected.
///
/// Intended for bursts above capacity: a job that would wait past its objective
/// is rejected on arrival, while the caller can still go elsewhere, instead of
/// waiting until its deadline and delaying the jobs behind it.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] admission_verdict admit(admission_input const& input);

} // namespace goldcrestgate::core
