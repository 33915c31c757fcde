#include "goldcrestgate/io/detail/lingering_sockets.hpp"

#include <h2o.h>

#include <sys/socket.h>
#include <unistd.h>

namespace goldcrestgate::io::detail
{

namespace
{

/// Long enough for a caller on a fast network to finish sending a body that
/// exceeds the limit.
constexpr core::duration linger_timeout = std::chrono::seconds{2};

} // namespace

lingering_sockets::lingering_sockets(event_loop& loop)
    : loop_(loop)
{
}

lingering_sockets::~lingering_sockets()
{
    for (auto const& [socket, linger_timer] : sockets_)
    {
        h2o_socket_close(socket);
    }
}

/// Closes the descriptor that has lingered longest if there is no free place.
bool lingering_sockets::make_room()
{
    if (sockets_.size() + reserved_ < limit_)
    {
        return true;
    }
    if (sockets_.empty())
    {
        return false;
    }
    finish(order_.front());
    return true;
}

bool lingering_sockets::reserve()
{
    bool const has_room = make_room();
    if (has_room)
    {
        ++reserved_;
    }
    return has_room;
}

void lingering_sockets::close(int descriptor)
{
    if (!make_room())
    {
        ::close(descriptor);
        return;
    }
    shutdown(descriptor, SHUT_WR);
    auto* const socket =
        h2o_evloop_socket_create(loop_.native(), descriptor, 0);
    socket->data = this;
    auto linger_timer = std::make_unique<timer>(loop_,
                                                [this, socket]
                                                {
                                                    finish(socket);
                                                });
    linger_timer->start_after(linger_timeout);
    sockets_.emplace(socket, std::move(linger_timer));
    order_.push_back(socket);
    h2o_socket_read_start(socket, &lingering_sockets::on_readable);
}

void lingering_sockets::on_readable(st_h2o_socket_t* socket,
                                    char const* failure)
{
    // Consuming all of a buffer frees it.
    h2o_buffer_consume(&socket->input, socket->input->size);
    if (failure != nullptr)
    {
        static_cast<lingering_sockets*>(socket->data)->finish(socket);
    }
}

void lingering_sockets::finish(st_h2o_socket_t* socket)
{
    sockets_.erase(socket);
    order_.remove(socket);
    h2o_socket_close(socket);
}

} // namespace goldcrestgate::io::detail
