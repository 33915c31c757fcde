#pragma once

#include "goldcrestgate/io/detail/hangup_monitor.hpp"
#include "goldcrestgate/io/detail/lingering_sockets.hpp"
#include "goldcrestgate/io/detail/request_limiter.hpp"
#include "goldcrestgate/io/event_loop.hpp"
#include "goldcrestgate/io/http_server.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

struct st_h2o_req_t;
struct st_h2o_socket_t;

namespace goldcrestgate::io::detail
{

class http_connection;

/// @brief A request whose response has not been sent yet.
struct pending_reply
{
    /// Null once the response has been sent or the connection is closed.
    st_h2o_req_t* request = nullptr;
    std::string body;
    std::function<void()> on_disconnect;
};

/// @brief The open connections of a server and the state that they share.
struct connection_group
{
    explicit connection_group(event_loop& event_loop)
        : loop(event_loop)
        , monitor(event_loop)
        , lingering(event_loop)
    {
    }

    /// @brief Returns the body of an error response sent without a handler.
    [[nodiscard]] std::string make_error_body(std::uint16_t status) const
    {
        return error_body ? error_body(status) : std::string{};
    }

    /// @brief Returns the response to a request that is removed.
    [[nodiscard]] http_response
    make_removal_response(core::removal_reason reason) const;

    event_loop& loop;
    hangup_monitor monitor;
    lingering_sockets lingering;
    http_server::error_body error_body;
    http_server::removal_response removal_response;
    /// Null without limits for untrusted callers.
    std::unique_ptr<request_limiter> limiter;
    /// Set once the server closes connections after their responses.
    bool closing = false;
    std::unordered_set<http_connection*> connections;
    /// Called after a connection has been closed.
    std::function<void()> on_connection_closed;
};

/// @brief A connection of a caller, from its acceptance until it is closed.
class http_connection final : public hangup_listener
{
public:
    http_connection(connection_group& group, st_h2o_socket_t* socket);
    ~http_connection() override;

    void on_hangup() override;
    [[nodiscard]] bool has_request() const;
    /// Whether the remote side has closed the connection or its sending side.
    [[nodiscard]] bool hung_up() const;
    /// Starts to apply the server's limits, once h2o has accepted the socket.
    void limit_input();
    /// Null without limits.
    [[nodiscard]] limited_input* input() const
    {
        return input_.get();
    }

    /// @return whether the request may be handled
    [[nodiscard]] bool
    begin_request(std::shared_ptr<pending_reply> const& pending);
    void begin_response(bool is_persistent);
    void end_request();

    /// Duplicates the descriptor, so that the request can still be answered
    /// after h2o has closed its own.
    void keep_descriptor();
    /// Sets why a request is never completed.
    void set_removal_reason(core::removal_reason reason)
    {
        removal_reason_ = reason;
    }

    static void on_closed(void* data);

private:
    void close_descriptor();
    void answer_incomplete_request(bool hung_up) const;

    connection_group& group_;
    st_h2o_socket_t* socket_;
    /// The duplicate, or -1. With limits, it is made only for a connection that
    /// is about to be closed, so that others use one descriptor.
    int descriptor_ = -1;
    /// Whether the duplicate has a reserved place among the lingering sockets.
    bool has_place_ = false;
    std::optional<core::removal_reason> removal_reason_;
    std::size_t bytes_read_ = 0;
    std::size_t bytes_written_ = 0;
    std::weak_ptr<pending_reply> pending_;
    std::unique_ptr<limited_input> input_;
};

/// @brief Returns the reason phrase of a status.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] char const* reason_phrase(int status);

} // namespace goldcrestgate::io::detail
