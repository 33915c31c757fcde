#pragma once

// Addresses legal jobs of many callers at the same time, whose decoded form is
// larger than their bodies: 200 jobs with 1,800 phases in 50 KB each took 196
// MB of an instance that may have 64 MB.

#include "goldcrestgate/core/leasing/leased_job.hpp"

#include <cstddef>
#include <limits>

namespace goldcrestgate::core
{

/// @brief Returns the memory of a decoded job.
/// @par Thread safety
/// Safe for concurrent readers.
[[nodiscard]] std::size_t job_bytes(leased_job const& job);

/// @brief Returns the memory that an owner needs for a job and its tasks.
/// @par Thread safety
/// Safe for concurrent readers.
[[nodiscard]] std::size_t job_record_bytes(leased_job const& job);

/// @brief Keeps the memory of all jobs within a limit. One job always fits.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class job_memory
{
public:
    explicit job_memory(
        std::size_t limit = std::numeric_limits<std::size_t>::max())
        : limit_(limit)
    {
    }

    /// @brief Returns whether a new job fits.
    [[nodiscard]] bool has_room_for(std::size_t bytes) const
    {
        return fits(bytes, limit_);
    }

    /// @brief Returns whether a job fits that another owner may have started.
    /// The jobs of a lost owner come in addition to those that its successor
    /// has.
    [[nodiscard]] bool has_room_for_resumed(std::size_t bytes) const
    {
        return fits(bytes, limit_ > max_limit / 2 ? max_limit : 2 * limit_);
    }

    void add(std::size_t bytes)
    {
        used_ += bytes;
    }

    /// @pre @a bytes were added before
    void remove(std::size_t bytes)
    {
        used_ -= bytes;
    }

    [[nodiscard]] std::size_t used() const
    {
        return used_;
    }

private:
    static constexpr std::size_t max_limit =
        std::numeric_limits<std::size_t>::max();

    [[nodiscard]] bool fits(std::size_t bytes, std::size_t limit) const
    {
        return used_ == 0 || (used_ <= limit && bytes <= limit - used_);
    }

    std::size_t limit_;
    std::size_t used_ = 0;
};

} // namespace goldcrestgate::core
