#pragma once

#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/io/address.hpp"
#include "goldcrestgate/io/event_loop.hpp"
#include "goldcrestgate/io/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::io
{

namespace detail
{
class http_client_state;
} // namespace detail

/// @brief A request of an @ref http_client.
struct http_call
{
    std::string method = "GET";
    /// The path, including the query.
    std::string path = "/";
    std::vector<http_header> headers{};
    std::string body{};
    /// Time for the whole call, including the wait for a free connection.
    core::duration timeout = std::chrono::seconds{10};
};

/// Whether the server received the request of a call, which decides whether a
/// retry can execute it twice.
enum class call_outcome : std::uint8_t
{
    /// The complete response was received.
    answered,
    /// The server certainly did not receive the request.
    not_sent,
    /// The server may have received the request, but no complete response
    /// arrived.
    possibly_received
};

/// @brief The result of a call.
struct http_result
{
    call_outcome outcome = call_outcome::possibly_received;
    /// Why there is no response; empty if one was received.
    std::optional<core::error> failure;
    std::uint16_t status = 0;
    /// The headers of the response, with names in lower case.
    std::vector<http_header> headers;
    std::string body;

    /// @brief Finds a header of the response by its lower-case name.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] std::optional<std::string_view>
    header(std::string_view name) const;
};

/// @brief Limits of an @ref http_client.
struct http_client_options
{
    /// Connections in use at the same time; further calls are queued.
    std::size_t max_connections = 8;
    core::duration connect_timeout = std::chrono::seconds{1};
    /// An idle connection is closed after this time. It is shorter than the
    /// idle timeout of the servers, so that a server rarely closes a connection
    /// just as the client reuses it.
    core::duration idle_timeout = std::chrono::seconds{5};
    /// Largest response body in bytes.
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
};

/// @brief Sends HTTP/1.1 requests to one address over persistent connections.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class http_client
{
public:
    using callback = std::function<void(http_result)>;
    using call_id = std::uint64_t;

    /// @pre @a loop outlives the client
    http_client(event_loop& loop, socket_address const& address,
                http_client_options options = {});

    /// @brief Cancels all calls; their callbacks are not called.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// @brief Starts a call.
    /// @param done called exactly once after this function has returned, unless
    /// the call is cancelled
    call_id start(http_call call, callback done);

    /// @brief Cancels a call, whose callback is then not called; no effect on a
    /// call that has ended.
    void cancel(call_id call);

    /// @brief Returns the number of calls that have not ended.
    [[nodiscard]] std::size_t open_calls() const;

private:
    std::shared_ptr<detail::http_client_state> state_;
};

} // namespace goldcrestgate::io
