#pragma once

#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <functional>
#include <optional>

namespace goldcrestgate::app
{

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
