#pragma once

#include "goldcrestgate/io/event_loop.hpp"

struct st_h2o_socket_t;

namespace goldcrestgate::io::detail
{

/// @brief Receives the hangup of a watched connection.
class hangup_listener
{
public:
    virtual ~hangup_listener() = default;

    /// @brief Called on the thread of the event loop after the remote side has
    /// closed the connection or its sending side.
    virtual void on_hangup() = 0;
};

/// @brief Detects that the remote side of a connection has stopped sending.
///
/// h2o does not poll a connection while its request is being handled, so it
/// does not detect a hangup during that time. The monitor watches the
/// connections with a separate epoll instance, which h2o polls as one socket.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class hangup_monitor
{
public:
    /// @pre @a loop outlives the monitor
    explicit hangup_monitor(event_loop& loop);
    ~hangup_monitor();
    hangup_monitor(hangup_monitor const&) = delete;
    hangup_monitor& operator=(hangup_monitor const&) = delete;

    /// @brief Starts watching a socket.
    /// @pre @a listener exists until @ref unwatch
    void watch(int descriptor, hangup_listener& listener) const;

    /// @brief Stops watching a socket.
    /// @pre @a descriptor is still open
    void unwatch(int descriptor) const;

    /// @brief Calls the listeners of all hangups so far. They are also called
    /// by the loop, but after the socket events that it handles first.
    void notify_listeners() const;

private:
    static void on_readable(st_h2o_socket_t* socket, char const* failure);

    int epoll_;
    st_h2o_socket_t* socket_;
};

} // namespace goldcrestgate::io::detail
