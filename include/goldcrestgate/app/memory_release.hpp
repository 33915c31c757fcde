#pragma once

#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <functional>
#include <optional>

namespace goldcrestgate::app
{

/// @brief Makes the allocator map each buffer of at least 64 KiB separately
/// from now on, so that it returns to the system when it is freed.
///
/// The allocator's own threshold rises with the buffers that are freed. Above
/// it, the outgrown buffers of a growing request stay between the buffers of
/// others, where no larger buffer fits.
///
/// @par Thread safety
/// Not safe; to be called before other threads are started.
void map_large_buffers();

/// @brief Returns freed memory to the system after a peak of use.
///
/// The allocator keeps the pages of buffers that were freed between others, so
/// that the process would stay at its peak.
///
/// @par Thread safety
/// Not safe; use an object on one thread only.
class memory_release
{
public:
    using release_function = std::function<void()>;

    /// @brief Creates an object that releases the memory of the allocator.
    memory_release();

    /// @param release called in place of the allocator's function
    explicit memory_release(release_function release);

    /// @brief Notes the bytes of all requests and jobs. To be called several
    /// times a second.
    void update(std::size_t bytes_in_use, core::time_point now);

private:
    release_function release_;
    /// Largest value since the last release.
    std::size_t peak_ = 0;
    std::optional<core::time_point> released_at_;
};

} // namespace goldcrestgate::app
