#include "goldcrestgate/app/memory_release.hpp"

#include <malloc.h>

#include <algorithm>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// Decrease below the peak after which memory is released.
constexpr std::size_t release_step_bytes = std::size_t{4} * 1024 * 1024;

/// A release takes up to some milliseconds.
constexpr core::duration min_release_interval = std::chrono::seconds{1};

/// Above the messages and requests of normal load, as each mapping takes
/// system calls and page faults.
constexpr int mapped_buffer_bytes = 64 * 1024;

} // namespace

void map_large_buffers()
{
    mallopt(M_MMAP_THRESHOLD, mapped_buffer_bytes);
}

memory_release::memory_release()
    : memory_release(
          []
          {
              malloc_trim(0);
          })
{
}

memory_release::memory_release(release_function release)
    : release_(std::move(release))
{
}

void memory_release::update(std::size_t bytes_in_use, core::time_point now)
{
    peak_ = std::max(peak_, bytes_in_use);
    bool const is_due =
        !released_at_ || now - *released_at_ >= min_release_interval;
    if (is_due && peak_ - bytes_in_use >= release_step_bytes)
    {
        peak_ = bytes_in_use;
        released_at_ = now;
        release_();
    }
}

} // namespace goldcrestgate::app
