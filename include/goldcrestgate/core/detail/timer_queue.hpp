#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

namespace goldcrestgate::core::detail
{

/// What a timer triggers.
enum class timer_kind : std::uint8_t
{
    /// A held response times out.
    waiter,
    /// A job's deadline passes.
    deadline,
    /// A refused task is retried.
    retry,
    /// A running attempt counts as a straggler.
    hedge,
    /// The retention time of a final job ends.
    retention,
    /// Placement of waiting tasks is attempted again.
    place,
    /// A step of a forwarded request times out.
    forward,
    /// The peers of a stopping instance have had time to replace the copies
    /// that it holds.
    handover
};

/// @brief One entry of a @ref timer_queue.
///
/// Entries are never removed early; when one is due, its handler checks whether
/// it still applies.
struct timer
{
    time_point due;
    timer_kind kind = timer_kind::waiter;
    task_key task;
    std::uint32_t attempt = 0;
    /// Identifies a forwarded request.
    std::uint64_t nonce = 0;
};

/// @brief Timers ordered by due time.
class timer_queue
{
public:
    /// @brief Adds a timer.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void add(timer entry);

    /// @brief Removes and returns the next timer that is due.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<timer> pop_due(time_point now);

    /// @brief Returns when the next timer is due.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point> next() const;

    /// @brief Returns the number of timers.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::size_t size() const;

private:
    struct later
    {
        bool operator()(timer const& left, timer const& right) const
        {
            return left.due > right.due;
        }
    };

    std::priority_queue<timer, std::vector<timer>, later> timers_;
};

} // namespace goldcrestgate::core::detail
