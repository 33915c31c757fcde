#pragma once

#include <chrono>
#include <cstdint>

namespace goldcrestgate::app::detail
{

/// @brief Returns the wall-clock time in milliseconds since the Unix epoch.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline std::uint64_t unix_milliseconds()
{
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::floor<std::chrono::milliseconds>(since).count());
}

} // namespace goldcrestgate::app::detail
