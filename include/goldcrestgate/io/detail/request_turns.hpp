#pragma once

#include "goldcrestgate/io/event_loop.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

namespace goldcrestgate::io::detail
{

/// @brief Limits of the work for callers in one iteration of the event loop.
struct turn_limits
{
    std::size_t requests = 16;
    std::size_t bytes = std::size_t{64} * 1024;
    /// Requests of at most this size are handled before larger ones.
    std::size_t small_request_bytes = std::size_t{16} * 1024;
};

/// @brief Spreads the handling of requests over the iterations of the event
/// loop, so that timers and all other connections have their turn between them.
///
/// A request is handled at once within the limits of an iteration, and in a
/// later iteration otherwise. Small requests come first, and one large request
/// in each iteration, so that large ones neither delay normal callers nor wait
/// forever.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class request_turns
{
public:
    using handler = std::function<void()>;

    /// @pre @a loop outlives this object
    explicit request_turns(event_loop& loop, turn_limits limits = {});
    request_turns(request_turns const&) = delete;
    request_turns& operator=(request_turns const&) = delete;

    /// @brief Calls @a handle now or in a later iteration.
    /// @param bytes size of the request
    void take(std::size_t bytes, handler handle);

    /// @brief Returns the number of requests that wait for their turn.
    [[nodiscard]] std::size_t waiting() const
    {
        return small_.size() + large_.size();
    }

private:
    struct waiting_request
    {
        std::size_t bytes;
        handler handle;
    };

    [[nodiscard]] bool is_small(std::size_t bytes) const;
    [[nodiscard]] bool has_room_for(std::size_t bytes) const;
    void handle_now(std::size_t bytes, handler const& handle);
    void handle_first(std::deque<waiting_request>& queue);
    void handle_waiting();
    void end_iteration();

    event_loop& loop_;
    turn_limits limits_;
    std::size_t handled_requests_ = 0;
    std::size_t handled_bytes_ = 0;
    std::deque<waiting_request> small_;
    std::deque<waiting_request> large_;
    std::shared_ptr<handler> end_iteration_;
    std::shared_ptr<handler> handle_waiting_;
};

} // namespace goldcrestgate::io::detail
