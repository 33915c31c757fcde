#pragma once

#include "goldcrestgate/io/event_loop.hpp"

#include <functional>
#include <initializer_list>

struct st_h2o_socket_t;

namespace goldcrestgate::io
{

/// @brief Delivers signals of the process as callbacks on an event loop.
///
/// The constructor blocks the signals in the calling thread and in all threads
/// that it starts later, so create the object before any other thread.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class signal_watch
{
public:
    /// @pre @a loop outlives the watch
    signal_watch(event_loop& loop, std::initializer_list<int> signals,
                 std::function<void(int signal)> on_signal);
    ~signal_watch();
    signal_watch(signal_watch const&) = delete;
    signal_watch& operator=(signal_watch const&) = delete;

private:
    static void on_readable(st_h2o_socket_t* socket, char const* failure);

    std::function<void(int signal)> on_signal_;
    int descriptor_;
    st_h2o_socket_t* socket_;
};

} // namespace goldcrestgate::io
