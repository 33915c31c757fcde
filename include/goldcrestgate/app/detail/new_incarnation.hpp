#pragma once

#include "goldcrestgate/app/detail/wall_clock.hpp"
#include "goldcrestgate/core/ids.hpp"

#include <random>

namespace goldcrestgate::app::detail
{

/// @brief Returns a number that identifies this start of the process.
///
/// It consists of the wall-clock time in milliseconds and 20 random bits, so
/// that two starts within one millisecond differ with high probability.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline core::incarnation new_incarnation()
{
    constexpr unsigned random_bits = 20;
    std::random_device random;
    std::uint64_t const low = random() & ((1U << random_bits) - 1);
    return core::incarnation{(unix_milliseconds() << random_bits) | low};
}

} // namespace goldcrestgate::app::detail
