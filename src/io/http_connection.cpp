#include "goldcrestgate/io/detail/http_connection.hpp"

#include <h2o.h>

#include <fcntl.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace goldcrestgate::io::detail
{

char const* reason_phrase(int status)
{
    switch (status)
    {
    case 200:
        return "OK";
    case 201:
        return "Created";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 413:
        return "Payload Too Large";
    case 422:
        return "Unprocessable Entity";
    case 431:
        return "Request Header Fields Too Large";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    default:
        return status < 500 ? "Error" : "Internal Server Error";
    }
}

namespace
{

std::uint16_t status_of(core::removal_reason reason)
{
    switch (reason)
    {
    case core::removal_reason::budget_exhausted:
    case core::removal_reason::connection_limit:
        return 503;
    case core::removal_reason::headers_too_large:
        return 431;
    default:
        return 408;
    }
}

std::string format_response(http_response const& response)
{
    std::string text;
    text.append("HTTP/1.1 ").append(std::to_string(response.status));
    text.append(" ").append(reason_phrase(response.status)).append("\r\n");
    for (auto const& [name, value] : response.headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text.append("connection: close\r\ncontent-type: ");
    text.append(response.content_type).append("\r\ncontent-length: ");
    text.append(std::to_string(response.body.size())).append("\r\n\r\n");
    return text.append(response.body);
}

/// Returns the number of bytes that the kernel received on a connection. h2o's
/// own count lacks the bytes that arrive together with the FIN.
std::size_t received_bytes(int descriptor, bool fin_received)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size);
    // The kernel counts the FIN as one byte.
    std::size_t const fin_bytes = fin_received ? 1 : 0;
    return std::max<std::size_t>(info.tcpi_bytes_received, fin_bytes) -
           fin_bytes;
}

} // namespace

http_response
connection_group::make_removal_response(core::removal_reason reason) const
{
    if (removal_response)
    {
        return removal_response(reason);
    }
    http_response response{status_of(reason)};
    response.body = make_error_body(response.status);
    if (response.status == 503)
    {
        response.headers.emplace_back("retry-after", "1");
    }
    return response;
}

http_connection::http_connection(connection_group& group, h2o_socket_t* socket)
    : group_(group)
    , socket_(socket)
{
    group_.connections.insert(this);
    group_.monitor.watch(h2o_socket_get_fd(socket), *this);
    if (group_.limiter == nullptr)
    {
        keep_descriptor();
    }
    socket_->on_close.cb = &http_connection::on_closed;
    socket_->on_close.data = this;
}

http_connection::~http_connection()
{
    group_.connections.erase(this);
    if (has_place_)
    {
        group_.lingering.release();
    }
    // The kernel has stopped watching a descriptor without a duplicate when
    // h2o closed it.
    if (descriptor_ != -1)
    {
        group_.monitor.unwatch(descriptor_);
        close_descriptor();
    }
}

void http_connection::limit_input()
{
    if (group_.limiter != nullptr)
    {
        input_ =
            std::make_unique<limited_input>(*group_.limiter, *this, socket_);
    }
}

void http_connection::keep_descriptor()
{
    int const original = h2o_socket_get_fd(socket_);
    int const duplicate =
        descriptor_ == -1 ? fcntl(original, F_DUPFD_CLOEXEC, 0) : -1;
    if (duplicate != -1)
    {
        // The registration of the original would outlast its descriptor.
        group_.monitor.unwatch(original);
        group_.monitor.watch(duplicate, *this);
        descriptor_ = duplicate;
    }
}

void http_connection::on_hangup()
{
    auto const pending = pending_.lock();
    if (pending != nullptr && pending->on_disconnect)
    {
        group_.loop.run_guarded(std::exchange(pending->on_disconnect, nullptr));
    }
}

bool http_connection::has_request() const
{
    return !pending_.expired();
}

bool http_connection::hung_up() const
{
    int const descriptor =
        descriptor_ == -1 ? h2o_socket_get_fd(socket_) : descriptor_;
    pollfd state{descriptor, POLLRDHUP, 0};
    return poll(&state, 1, 0) == 1;
}

bool http_connection::begin_request(
    std::shared_ptr<pending_reply> const& pending)
{
    bytes_read_ = socket_->bytes_read;
    pending_ = pending;
    return input_ == nullptr || input_->complete();
}

void http_connection::begin_response(bool is_persistent)
{
    if (input_ == nullptr)
    {
        return;
    }
    input_->answer();
    // The caller may still be sending when h2o closes the connection, which
    // can be after the other connections of this iteration have been read.
    bool const is_last = !is_persistent || group_.closing;
    if (is_last && !has_place_ && group_.lingering.reserve())
    {
        has_place_ = true;
        keep_descriptor();
    }
}

void http_connection::end_request()
{
    bytes_written_ = socket_->bytes_written;
    pending_.reset();
    if (input_ != nullptr)
    {
        input_->end();
    }
}

void http_connection::on_closed(void* data)
{
    auto* const connection = static_cast<http_connection*>(data);
    auto const& group = connection->group_;
    delete connection;
    group.on_connection_closed();
}

void http_connection::close_descriptor()
{
    bool const closed_by_caller = hung_up();
    bool const incomplete =
        removal_reason_ ||
        received_bytes(descriptor_, closed_by_caller) > bytes_read_;
    if (incomplete)
    {
        answer_incomplete_request(closed_by_caller);
    }
    if (incomplete && !closed_by_caller)
    {
        group_.lingering.close(descriptor_);
        return;
    }
    close(descriptor_);
}

// h2o closes a connection without a response if a request stays incomplete
// because the caller is too slow or has closed its sending side.
void http_connection::answer_incomplete_request(bool hung_up) const
{
    // `100 Continue` may have been written for a request that is removed.
    if (!removal_reason_ && socket_->bytes_written > bytes_written_)
    {
        return;
    }
    std::uint16_t const incomplete_status = hung_up ? 400 : 408;
    auto const response = format_response(
        removal_reason_
            ? group_.make_removal_response(*removal_reason_)
            : http_response{incomplete_status,
                            group_.make_error_body(incomplete_status)});
    // Sent without blocking: if the socket's buffer is full, the response is
    // dropped.
    send(descriptor_, response.data(), response.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
}

} // namespace goldcrestgate::io::detail
