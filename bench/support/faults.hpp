#pragma once

#include "support/random.hpp"
#include "support/workload.hpp"

#include <cstdint>

namespace goldcrestgate::bench
{

/// One-way network delays: caller to entry instance, entry instance to
/// executor or to a copy peer.
constexpr core::duration caller_delay = std::chrono::milliseconds{1};
constexpr core::duration server_delay = std::chrono::microseconds{300};

/// Time in which an executor with the fault `executors_failing` fails a task.
/// No task of a workload is as short, and the simulation recognizes failed
/// attempts by this value.
constexpr core::duration failing_work_time = std::chrono::milliseconds{2};

/// @brief Returns the time at which the fault of a scenario begins.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline core::time_point fault_start(scenario const& parameters)
{
    return core::time_point{parameters.length * 2 / 5};
}

/// @brief Returns whether the fault affects an executor; it affects one in ten.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline bool is_faulty(scenario const& parameters,
                                    std::uint32_t server)
{
    return (server + parameters.seed) % 10 == 0;
}

/// @brief Returns whether an executor fails every task that starts at @a now.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline bool fails_everything(scenario const& parameters,
                                           std::uint32_t server,
                                           core::time_point now)
{
    return parameters.fault == fault_kind::executors_failing &&
           now >= fault_start(parameters) && is_faulty(parameters, server);
}

/// @brief Returns the factor by which the work time of a task that starts at
/// @a now is multiplied.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline int slowdown(scenario const& parameters,
                                  std::uint32_t server, core::time_point now)
{
    bool const is_slow = parameters.fault == fault_kind::executors_slow &&
                         now >= fault_start(parameters) &&
                         is_faulty(parameters, server);
    return is_slow ? 4 : 1;
}

/// @brief Returns whether the mass cancellation selects a job: one in two of
/// those submitted before it.
///
/// The caller checks that the job is still open at that time.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline bool is_cancelled(workload const& work, std::uint32_t job)
{
    return work.parameters.fault == fault_kind::mass_cancellation &&
           work.jobs[job].submitted < fault_start(work.parameters) &&
           (random_source{job}.bits() & 1U) == 0;
}

} // namespace goldcrestgate::bench
