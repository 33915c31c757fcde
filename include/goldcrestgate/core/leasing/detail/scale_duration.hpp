#pragma once

#include "goldcrestgate/core/time.hpp"

#include <cmath>

namespace goldcrestgate::core::detail
{

/// @brief Multiplies a duration by a factor and rounds to microseconds.
/// @pre the product fits into a duration
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline duration scale_duration(duration span, double factor)
{
    return duration{std::llround(static_cast<double>(span.count()) * factor)};
}

} // namespace goldcrestgate::core::detail
