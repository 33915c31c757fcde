#pragma once

// Addresses clients that send many large requests at the same time, whole or
// in small pieces, stop before the end of a request, or keep connections open
// without using them: 900 bodies of 262,144 bytes that stopped 144 bytes before
// their end took 239 MB of a process that may have 120 MB.

#include "goldcrestgate/core/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Limits for the connections of untrusted callers.
struct request_limits
{
    /// Bytes of all requests that are received and not yet answered.
    std::size_t budget_bytes = std::size_t{32} * 1024 * 1024;
    /// Headers of a request.
    std::size_t head_limit_bytes = std::size_t{16} * 1024;
    /// A complete request of at most this size is never rejected.
    std::size_t small_request_bytes = std::size_t{16} * 1024;
    /// Callers may take 3 s for their headers; the rest covers delays of this
    /// process.
    duration head_timeout = std::chrono::seconds{4};
    /// Time from the first byte of a request until it is complete.
    duration request_timeout = std::chrono::seconds{15};
    /// Time for which a response may stay unread.
    duration response_timeout = std::chrono::seconds{15};
    duration idle_timeout = std::chrono::seconds{15};
    std::size_t least_body_rate_bytes_per_s = 4'096;
};

/// @brief Why a connection is closed, or a complete request is rejected.
enum class removal_reason : std::uint8_t
{
    budget_exhausted,
    connection_limit,
    headers_too_large,
    headers_late,
    body_slow,
    request_late,
    response_unread,
    idle
};

inline constexpr std::array removal_reasons = {
    removal_reason::budget_exhausted,  removal_reason::connection_limit,
    removal_reason::headers_too_large, removal_reason::headers_late,
    removal_reason::body_slow,         removal_reason::request_late,
    removal_reason::response_unread,   removal_reason::idle};

/// @brief Returns the name of a reason in logs and metrics.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string_view to_string(removal_reason reason);

/// @brief Asks the caller of @ref request_budget to close a connection.
struct connection_removal
{
    std::uint64_t connection;
    removal_reason reason;
};

/// @brief Decides which connections of callers are closed so that their
/// requests stay within a budget of memory and arrive in time.
///
/// A removal takes effect when the caller of this class has closed the
/// connection and called @ref close for it.
///
/// @par Thread safety
/// Not safe; use an object on one thread only.
class request_budget
{
public:
    enum class phase : std::uint8_t
    {
        /// No byte of a request has been received.
        idle,
        head,
        body,
        /// The request is complete and has no response.
        complete,
        /// The response is being sent.
        answered
    };

    struct connection
    {
        std::uint64_t id;
        request_budget::phase phase;
        /// Start of the idle time or of the response, or arrival of the first
        /// byte.
        time_point since;
        std::size_t bytes = 0;
        /// Start of the present measurement of the rate.
        time_point window_start;
        std::size_t window_bytes = 0;
    };

    using handle = std::list<connection>::iterator;

    explicit request_budget(request_limits limits);

    /// @brief Adds an idle connection.
    /// @return its handle, valid until @ref close
    handle open(std::uint64_t id, time_point now);

    /// @brief Removes a connection and releases the bytes of its request.
    void close(handle closed);

    /// @brief Notes the size of an incomplete request; 0 if the connection is
    /// idle. Call @ref excess afterwards if @ref exceeded.
    void receive(handle changed, std::size_t bytes, bool head_complete,
                 time_point now);

    /// @brief Notes that a request is complete.
    void complete(handle changed, std::size_t bytes);

    /// @brief Notes that a response is being sent.
    void answer(handle changed, time_point now);

    /// @brief Returns whether the headers of a request exceed their limit.
    [[nodiscard]] bool has_large_head(handle checked) const
    {
        return checked->phase == phase::head &&
               checked->bytes > limits_.head_limit_bytes;
    }

    /// @brief Returns whether a complete request has to be rejected because the
    /// budget is exhausted. Incomplete requests are removed first.
    [[nodiscard]] bool rejects(handle completed) const;

    [[nodiscard]] bool exceeded() const
    {
        return open_bytes_ > limits_.budget_bytes;
    }

    /// @brief Appends the incomplete requests to remove so that the others are
    /// within the budget; those open longest come first.
    void excess(std::vector<connection_removal>& out) const;

    /// @brief Returns the connection to close for a new one: the one that has
    /// been idle or incomplete longest, or does not read its response.
    /// @return no value if all connections wait for their responses
    [[nodiscard]] std::optional<connection_removal>
    longest_waiting(time_point now) const;

    /// @brief Appends the connections that are idle, late or too slow. To be
    /// called several times a second. After a longer gap the process had no
    /// time to receive, so that all times start again.
    void expire(time_point now, std::vector<connection_removal>& out);

    /// @brief Returns the bytes of all requests that are not answered.
    [[nodiscard]] std::size_t open_bytes() const
    {
        return open_bytes_;
    }

private:
    using connection_list = std::list<connection>;

    connection_list& list_of(phase of);
    void move_to(handle moved, phase to);
    void set_bytes(handle changed, std::size_t bytes);
    void restart_times(time_point now);
    [[nodiscard]] std::optional<removal_reason>
    check_incomplete(connection& checked, time_point now) const;

    request_limits limits_;
    std::size_t open_bytes_ = 0;
    std::optional<time_point> last_expiry_;
    std::size_t complete_bytes_ = 0;
    // Each list is ordered by `since`.
    connection_list idle_;
    connection_list incomplete_;
    connection_list complete_;
    connection_list answered_;
};

} // namespace goldcrestgate::core
