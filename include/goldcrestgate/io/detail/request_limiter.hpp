#pragma once

#include "goldcrestgate/core/admission/request_budget.hpp"
#include "goldcrestgate/io/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

struct st_h2o_socket_t;

namespace goldcrestgate::io::detail
{

class http_connection;
class limited_input;

/// @brief Applies a @ref core::request_budget to the connections of a server.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class request_limiter
{
public:
    /// @param on_check called after each periodic check
    /// @pre @a loop outlives the limiter, which outlives its inputs
    request_limiter(event_loop& loop, core::request_limits const& limits,
                    std::function<void()> on_check);
    request_limiter(request_limiter const&) = delete;
    request_limiter& operator=(request_limiter const&) = delete;

    /// @brief Closes the connection that has waited longest.
    /// @return whether one has been closed
    bool make_room();

    [[nodiscard]] std::size_t open_bytes() const
    {
        return budget_.open_bytes();
    }

    /// Receives the reason of each removal.
    std::function<void(core::removal_reason)> on_removal;

private:
    friend class limited_input;

    void enforce();
    void check();
    void settle();
    void remove(std::vector<core::connection_removal> const& removed);
    void report(core::removal_reason reason) const;

    event_loop& loop_;
    core::request_budget budget_;
    std::uint64_t last_id_ = 0;
    std::unordered_map<std::uint64_t, limited_input*> inputs_;
    /// Connections on which h2o may have set its own read callback again.
    std::vector<limited_input*> unsettled_;
    std::shared_ptr<std::function<void()>> settle_;
    std::function<void()> on_check_;
    timer check_timer_;
};

/// @brief Reports each read of a connection to the server's limiter.
///
/// h2o has no hook for incomplete requests. This class replaces h2o's read
/// callback of the socket by one that calls h2o's and then notes the size of
/// the input buffer, which holds a request until its response has been sent.
/// h2o sets its own callback again after each response and after
/// `100 Continue`; the limiter replaces it at the end of the iteration of the
/// loop, before the socket is read again.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class limited_input
{
public:
    /// @pre h2o has accepted @a socket, and both exist until destruction
    limited_input(request_limiter& limiter, http_connection& connection,
                  st_h2o_socket_t* socket);
    ~limited_input();
    limited_input(limited_input const&) = delete;
    limited_input& operator=(limited_input const&) = delete;

    /// @brief Notes that a request is complete.
    /// @return whether it may be handled
    [[nodiscard]] bool complete();

    /// @brief Notes that a response is being sent.
    void answer();

    /// @brief Notes that the response has been sent.
    void end();

private:
    friend class request_limiter;

    static void on_read(st_h2o_socket_t* socket, char const* failure);

    [[nodiscard]] bool is_hooked() const;
    bool settle();
    void observe();
    [[nodiscard]] bool find_head_end();
    bool remove(core::removal_reason reason);

    request_limiter& limiter_;
    http_connection& connection_;
    st_h2o_socket_t* socket_;
    core::request_budget::handle state_;
    void (*h2o_read_)(st_h2o_socket_t*, char const*) = nullptr;
    /// Set to true by the destructor while @ref on_read is running.
    bool* destroyed_ = nullptr;
    std::size_t scanned_bytes_ = 0;
    bool head_complete_ = false;
    bool unsettled_ = false;
};

} // namespace goldcrestgate::io::detail
