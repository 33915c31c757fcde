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
    /// The path with the query.
    std::string path = "/";
    std::vector<http_header> headers{};
    std::string body{};
    /// Time for the whole call, the wait for a free connection included.
    core::duration timeout = std::chrono::seconds{10};
};

/// Whether a call's request reached the other side.
enum class call_outcome : std::uint8_t
{
    /// The whole response was received.
    answered,
    /// The request surely never arrived.
    not_sent,
    /// The request may have arrived; no whole response came.
    possibly_received
};

/// @brief The end of a call.
struct http_result
{
    call_outcome outcome = call_outcome::possibly_received;
    /// Why there is no response; empty if there is one.
    std::optional<core::error> failure;
    std::uint16_t status = 0;
    /// The response's headers, names in lower case.
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
    /// Connections in use at once; further calls wait.
    std::size_t max_connections = 8;
    core::duration connect_timeout = std::chrono::seconds{1};
    /// An idle connection is closed after this time. It is shorter than the
    /// servers' own limit, so that a server seldom closes a connection at the
    /// moment of its next use.
    core::duration idle_timeout = std::chrono::seconds{5};
    /// Largest response body in bytes.
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;
};

/// @brief Sends HTTP/1.1 requests to one address over kept-alive connections.
///
/// @par Thread safety
/// All members are for the thread of the loop.
class http_client
{
public:
    using callback = std::function<void(http_result)>;
    using call_id = std::uint64_t;

    /// @pre @a loop outlives the client
    http_client(event_loop& loop, socket_address const& address,
                http_client_options options = {});

    /// @brief Ends all calls without calling back.
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// @brief Begins a call.
    /// @param done called exactly once, never before this function returns,
    /// unless the call is cancelled
    call_id start(http_call call, callback done);

    /// @brief Ends a call without calling back; no effect on an ended one.
    void cancel(call_id call);

    /// @brief Returns the number of calls that have not ended.
    [[nodiscard]] std::size_t open_calls() const;

private:
    std::shared_ptr<detail::http_client_state> state_;
};

} // namespace goldcrestgate::io
