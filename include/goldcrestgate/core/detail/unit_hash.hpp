#pragma once

#include "goldcrestgate/core/ids.hpp"

#include <cstdint>

namespace goldcrestgate::core::detail
{

/// @brief Returns a hash in [0, 1), evenly distributed and equal on all
/// instances.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] constexpr double unit_hash(std::uint64_t seed,
                                         std::uint64_t value)
{
    constexpr unsigned unused_bits = 11;
    constexpr double scale = 1.0 / 9007199254740992.0; // 2 to the power of -53
    return static_cast<double>(mix_hash(mix_hash(0, seed), value) >>
                               unused_bits) *
           scale;
}

} // namespace goldcrestgate::core::detail
