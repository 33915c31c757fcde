#pragma once

#include <chrono>
#include <cstdint>

namespace goldcrestgate::core
{

/// @brief The clock that the core's time points refer to.
///
/// It has no `now()`, as the core never reads a clock: the caller passes the
/// current time of a monotonic clock with each event.
struct core_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

/// A span of time in microseconds.
using duration = core_clock::duration;

/// A monotonic point in time; not comparable between processes.
using time_point = core_clock::time_point;

} // namespace goldcrestgate::core
