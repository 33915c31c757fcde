#pragma once

#include "goldcrestgate/core/leasing/leased_job.hpp"
#include "goldcrestgate/core/time.hpp"

namespace goldcrestgate::core
{

/// Shortest delay: `Retry-After` is given in whole seconds.
inline constexpr duration min_retry_delay = std::chrono::seconds{1};

/// Longest delay that follows from a backlog. A backlog lasts at most as long
/// as callers wait; a longer one comes from a loss of executors, which is
/// usually over within this time.
inline constexpr duration max_retry_delay = std::chrono::seconds{30};

/// @brief Inputs of @ref retry_delay.
struct retry_delay_input
{
    client_job_id job;
    /// Time in which the waiting work of the job's priority and of higher ones
    /// drains.
    duration drain{};
    /// Time for which a resubmission would still be rejected; 0 if unknown.
    duration rejected_for{};
    /// Time from now to the job's objective; the smaller, the earlier the
    /// caller may retry.
    duration time_to_objective{};
};

/// @brief Returns the time after which a rejected caller may retry, in whole
/// seconds.
///
/// Intended for bursts above capacity, in which hundreds of callers are
/// rejected within a fraction of a second and would otherwise come back in the
/// same second. The delays start when the backlog has drained and are spread
/// by the job's id over a window that grows with the backlog. The result is
/// between @ref min_retry_delay and @ref max_retry_delay, but never below
/// `rejected_for`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] duration retry_delay(retry_delay_input const& input);

} // namespace goldcrestgate::core
