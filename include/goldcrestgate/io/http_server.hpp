#pragma once

#include "goldcrestgate/core/admission/request_budget.hpp"
#include "goldcrestgate/core/result.hpp"
#include "goldcrestgate/io/address.hpp"
#include "goldcrestgate/io/event_loop.hpp"
#include "goldcrestgate/io/http_message.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace goldcrestgate::io
{

namespace detail
{
struct pending_reply;
class http_server_state;
} // namespace detail

/// @brief Sends the response to one request, immediately or later.
///
/// Copies refer to the same request. If the last copy is destroyed before
/// @ref send was called, the request is answered with status 500.
///
/// @par Thread safety
/// All members must be called on the thread of the server's event loop.
class http_reply
{
public:
    explicit http_reply(std::shared_ptr<detail::pending_reply> pending);

    /// @brief Sends the response; no effect after the first call or once the
    /// connection is closed.
    void send(http_response response) const;

    /// @brief Returns whether the caller has closed its side of the connection,
    /// also if it did so before the request was read.
    [[nodiscard]] bool caller_disconnected() const;

    /// @brief Sets a function that is called at most once, when the caller
    /// closes its side of the connection before the response is sent. It is not
    /// called if @ref caller_disconnected already returns true.
    ///
    /// The caller may have closed only its sending side, so a response may
    /// still reach it.
    void on_caller_disconnect(std::function<void()> callback) const;

private:
    std::shared_ptr<detail::pending_reply> pending_;
};

/// @brief Limits of an @ref http_server.
struct http_server_options
{
    /// Largest request body in bytes.
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
    /// Time within which a complete request must arrive; also the idle timeout
    /// of persistent connections.
    core::duration request_timeout = std::chrono::seconds{10};
    /// Maximum number of open connections; further ones wait to be accepted.
    /// With @ref limits, the one that has been idle or incomplete longest is
    /// closed instead.
    std::size_t max_connections = 10'000;
    /// Limits for untrusted callers. Their times replace @ref request_timeout.
    std::optional<core::request_limits> limits = std::nullopt;
    /// Receive buffer of a connection in the kernel, which doubles the value;
    /// 0 leaves the system's default.
    int receive_buffer_bytes = 0;
};

/// @brief Serves HTTP/1.1 on a listening socket.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class http_server
{
public:
    using handler = std::function<void(http_request const&, http_reply)>;

    /// Returns the body of an error response that the server sends without a
    /// handler, for example with status 400, 404, 408 or 413.
    using error_body = std::function<std::string(std::uint16_t status)>;

    /// @brief Creates a server that does not listen yet.
    /// @pre @a loop outlives the server
    http_server(event_loop& loop, http_server_options options);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// @brief Adds a handler for a method and all paths that begin with
    /// @a path_prefix; the longest matching prefix is used.
    void route(std::string method, std::string path_prefix, handler handle);

    /// @brief Sets the body of error responses that are sent without a handler.
    void set_error_body(error_body make_body);

    /// Returns the response to a request that was rejected without its handler,
    /// or that was not completed.
    using removal_response = std::function<http_response(core::removal_reason)>;

    /// @brief Sets the responses to requests that @ref
    /// http_server_options::limits removes. By default they have the status
    /// 408, 431 or 503 and the body of @ref set_error_body.
    void set_removal_response(removal_response make_response);

    /// @brief Starts listening.
    /// @return an error of code `address_in_use` if the address cannot be used
    core::result<void> listen(socket_address const& address);

    /// @brief Returns the port that the server listens on; 0 before @ref
    /// listen.
    [[nodiscard]] std::uint16_t port() const;

    /// @brief Calls the functions set with @ref
    /// http_reply::on_caller_disconnect for all callers that have disconnected
    /// so far.
    void notify_disconnects();

    /// @brief Stops listening and closes idle connections at once, all others
    /// after their response.
    void close_gracefully();

    /// @brief Returns the number of open connections.
    [[nodiscard]] std::size_t connection_count() const;

    /// Receives the reason for which @ref http_server_options::limits closed a
    /// connection or rejected a request.
    using removal_sink = std::function<void(core::removal_reason)>;

    /// @brief Sets the function that is told of removals; without limits it is
    /// not called.
    void on_removal(removal_sink report);

    /// @brief Returns the bytes of requests without a complete response; 0
    /// without limits.
    [[nodiscard]] std::size_t open_request_bytes() const;

private:
    std::unique_ptr<detail::http_server_state> state_;
};

} // namespace goldcrestgate::io
