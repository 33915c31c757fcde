#pragma once

#include <cstdint>
#include <string_view>

namespace goldcrestgate::core::detail
{

/// @brief Returns the 64-bit FNV-1a hash of a text; equal on all instances.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] constexpr std::uint64_t hash_bytes(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (auto const character : text)
    {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return hash;
}

} // namespace goldcrestgate::core::detail
