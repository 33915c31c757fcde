#pragma once

#include "goldcrestgate/io/event_loop.hpp"

#include <cstddef>
#include <limits>
#include <list>
#include <memory>
#include <unordered_map>

struct st_h2o_socket_t;

namespace goldcrestgate::io::detail
{

/// @brief Closes connections whose remote side may still be sending (lingering
/// close).
///
/// Closing a socket with unread input resets the connection, and the remote
/// side loses the part of the response that it has not read yet. This class
/// shuts down the sending direction at once and discards input until the remote
/// side closes or a timeout expires.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class lingering_sockets
{
public:
    /// @pre @a loop outlives this object
    explicit lingering_sockets(event_loop& loop);
    ~lingering_sockets();
    lingering_sockets(lingering_sockets const&) = delete;
    lingering_sockets& operator=(lingering_sockets const&) = delete;

    /// @brief Takes ownership of a descriptor and closes it once the remote
    /// side has closed or the timeout has expired; at once if all places are
    /// reserved.
    void close(int descriptor);

    /// @brief Reserves a place for a descriptor that is kept until its
    /// connection is closed.
    /// @return false if all places are reserved
    [[nodiscard]] bool reserve();

    /// @brief Gives back a place that @ref reserve has returned.
    void release()
    {
        --reserved_;
    }

    /// @brief Sets how many descriptors may linger or be reserved; the one that
    /// has lingered longest is closed for another.
    void set_limit(std::size_t limit)
    {
        limit_ = limit;
    }

private:
    static void on_readable(st_h2o_socket_t* socket, char const* failure);
    [[nodiscard]] bool make_room();
    void finish(st_h2o_socket_t* socket);

    event_loop& loop_;
    std::size_t limit_ = std::numeric_limits<std::size_t>::max();
    std::size_t reserved_ = 0;
    std::unordered_map<st_h2o_socket_t*, std::unique_ptr<timer>> sockets_;
    /// The sockets, oldest first.
    std::list<st_h2o_socket_t*> order_;
};

} // namespace goldcrestgate::io::detail
