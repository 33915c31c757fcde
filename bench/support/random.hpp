#pragma once

#include <cmath>
#include <cstdint>

namespace goldcrestgate::bench
{

/// @brief A seeded random number generator (splitmix64) with its distributions.
///
/// It yields the same numbers on every platform, which the standard
/// distributions do not guarantee.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : state_(seed)
    {
    }

    /// @brief Returns 64 random bits.
    /// @par Thread safety
    /// Not safe.
    std::uint64_t bits()
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31);
    }

    /// @brief Returns a uniform integer from 0 to @a count - 1.
    /// @pre @a count is at least 1
    /// @par Thread safety
    /// Not safe.
    std::uint32_t below(std::uint32_t count)
    {
        return static_cast<std::uint32_t>(((bits() >> 32) * count) >> 32);
    }

    /// @brief Returns a uniform number in [@a low, @a high).
    /// @par Thread safety
    /// Not safe.
    double uniform(double low, double high)
    {
        constexpr double scale = 1.0 / 9007199254740992.0;
        return low + (high - low) * static_cast<double>(bits() >> 11) * scale;
    }

    /// @brief Returns a number in [@a low, @a high) whose logarithm is uniform.
    /// @pre 0 < @a low < @a high
    /// @par Thread safety
    /// Not safe.
    double log_uniform(double low, double high)
    {
        return low * std::exp(uniform(0.0, std::log(high / low)));
    }

private:
    std::uint64_t state_;
};

} // namespace goldcrestgate::bench
