#include "goldcrestgate/io/detail/peer_connection.hpp"

#include "goldcrestgate/wire/frame_codec.hpp"

#include <h2o.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace goldcrestgate::io::detail
{

namespace
{

/// Smaller parts do not count against the limit of all connections.
constexpr std::size_t large_part_bytes = std::size_t{64} * 1024;

std::string remote_address(h2o_socket_t* socket)
{
    sockaddr_storage address{};
    auto* const generic_address = reinterpret_cast<sockaddr*>(&address);
    auto const size = h2o_socket_getpeername(socket, generic_address);
    char host[NI_MAXHOST];
    auto const length = h2o_socket_getnumerichost(generic_address, size, host);
    if (size == 0 || length == SIZE_MAX)
    {
        return "unknown";
    }
    return std::string{host, length} + ":" +
           std::to_string(h2o_socket_getport(generic_address));
}

template <typename Value>
void set_tcp_option(int descriptor, int level, int option, Value value)
{
    // A kernel without the option keeps its default.
    ::setsockopt(descriptor, level, option, &value, sizeof value);
}

// Disables Nagle's algorithm: it holds back a small frame until the previous
// one is acknowledged, which adds 40 ms to the start of a task, as the start
// waits for the acknowledgement of its record. Most pairs of instances exchange
// no heartbeats, so the kernel detects connections that have gone silent.
void configure_socket(int descriptor)
{
    constexpr int keepalive_idle_s = 2;
    constexpr int keepalive_interval_s = 1;
    constexpr int keepalive_probes = 3;
    constexpr unsigned unacknowledged_timeout_ms = 5000;
    set_tcp_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_tcp_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_tcp_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set_tcp_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL,
                   keepalive_interval_s);
    set_tcp_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set_tcp_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
                   unacknowledged_timeout_ms);
}

int socket_error(h2o_socket_t* socket)
{
    int failure = 0;
    socklen_t size = sizeof failure;
    getsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_ERROR, &failure,
               &size);
    return failure;
}

} // namespace

peer_connection::peer_connection(event_loop& loop,
                                 peer_connection_listener& listener,
                                 st_h2o_socket_t* accepted)
    : loop_(loop)
    , listener_(listener)
    , address_(remote_address(accepted))
    , socket_(accepted)
    , connected_(true)
    , connect_timer_(loop, {})
{
    socket_->data = this;
    configure_socket(h2o_socket_get_fd(socket_));
    begin_reading();
}

peer_connection::peer_connection(event_loop& loop,
                                 peer_connection_listener& listener,
                                 socket_address const& address,
                                 core::duration timeout)
    : loop_(loop)
    , listener_(listener)
    , address_(address.text())
    , connect_timer_(loop,
                     [this]
                     {
                         end({core::error_code::io_timeout, "connect to a peer",
                              address_, "no connection within the timeout"});
                     })
{
    connect(address, timeout);
}

peer_connection::~peer_connection()
{
    *alive_ = false;
    if (socket_ != nullptr)
    {
        h2o_socket_close(socket_);
    }
}

// Connects without h2o's own function, which hides the cause of a failure: a
// refused connection must be distinguished from other failures, because it
// shows that the process of the peer has ended.
void peer_connection::connect(socket_address const& address,
                              core::duration timeout)
{
    int const descriptor =
        ::socket(address.data()->sa_family,
                 SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
    {
        finish_connect_later(errno);
        return;
    }
    configure_socket(descriptor);
    int const outcome = ::connect(descriptor, address.data(), address.size());
    int const failure = outcome == 0 ? 0 : errno;
    socket_ = h2o_evloop_socket_create(loop_.native(), descriptor, 0);
    socket_->data = this;
    if (failure == EINPROGRESS)
    {
        connect_timer_.start_after(timeout);
        h2o_socket_notify_write(socket_, &peer_connection::on_connected);
        return;
    }
    finish_connect_later(failure);
}

void peer_connection::finish_connect_later(int failure)
{
    loop_.post(
        [this, alive = alive_, failure]
        {
            if (*alive)
            {
                finish_connect(failure);
            }
        });
}

void peer_connection::on_connected(st_h2o_socket_t* socket, char const*)
{
    auto& connection = *static_cast<peer_connection*>(socket->data);
    connection.finish_connect(socket_error(socket));
}

void peer_connection::finish_connect(int failure)
{
    connect_timer_.cancel();
    if (ended_)
    {
        return;
    }
    if (failure != 0)
    {
        end({core::error_code::peer_unreachable, "connect to a peer", address_,
             std::strerror(failure)},
            failure == ECONNREFUSED);
        return;
    }
    connected_ = true;
    begin_reading();
    schedule_flush();
}

void peer_connection::begin_reading()
{
    h2o_socket_read_start(socket_, &peer_connection::on_readable);
}

void peer_connection::on_readable(st_h2o_socket_t* socket, char const* failure)
{
    auto& connection = *static_cast<peer_connection*>(socket->data);
    connection.read_frames();
    if (failure != nullptr)
    {
        connection.end({core::error_code::connection_lost, "read a frame",
                        connection.address_, failure});
    }
}

void peer_connection::read_frames()
{
    auto*& input = socket_->input;
    std::size_t consumed = 0;
    while (!ended_)
    {
        auto result = wire::read_frame(
            {input->bytes + consumed, input->size - consumed}, frame_limit_);
        if (auto* const failure = std::get_if<core::error>(&result))
        {
            failure->peer = address_;
            end(*failure);
            return;
        }
        auto* const frame = std::get_if<wire::frame_decoded>(&result);
        if (frame == nullptr)
        {
            break;
        }
        consumed += frame->consumed;
        listener_.on_message(*this, std::move(frame->message));
    }
    h2o_buffer_consume(&input, consumed);
    if (unread_bytes() >= large_part_bytes)
    {
        listener_.on_partial_frame();
    }
}

std::size_t peer_connection::unread_bytes() const
{
    return ended_ || socket_ == nullptr ? 0 : socket_->input->size;
}

std::optional<core::error>
peer_connection::send(core::peer_message const& message)
{
    auto const result = wire::append_frame(queued_, message);
    if (auto const* const failure = std::get_if<core::error>(&result))
    {
        return *failure;
    }
    schedule_flush();
    return std::nullopt;
}

void peer_connection::schedule_flush()
{
    if (flush_scheduled_ || !connected_ || ended_ || queued_.empty() ||
        !writing_.empty())
    {
        return;
    }
    flush_scheduled_ = true;
    loop_.post(
        [this, alive = alive_]
        {
            if (*alive)
            {
                flush();
            }
        });
}

void peer_connection::flush()
{
    flush_scheduled_ = false;
    if (ended_ || !writing_.empty())
    {
        return;
    }
    writing_.swap(queued_);
    auto buffer = h2o_iovec_init(writing_.data(), writing_.size());
    h2o_socket_write(socket_, &buffer, 1, &peer_connection::on_written);
}

void peer_connection::on_written(st_h2o_socket_t* socket, char const* failure)
{
    auto& connection = *static_cast<peer_connection*>(socket->data);
    connection.writing_.clear();
    if (failure != nullptr)
    {
        connection.end({core::error_code::connection_lost, "write a frame",
                        connection.address_, failure});
        return;
    }
    connection.schedule_flush();
}

void peer_connection::end(core::error const& cause, bool refused)
{
    if (ended_)
    {
        return;
    }
    ended_ = true;
    connect_timer_.cancel();
    if (connected_)
    {
        h2o_socket_read_stop(socket_);
    }
    listener_.on_end(*this, cause, refused);
}

} // namespace goldcrestgate::io::detail
