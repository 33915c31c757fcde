#pragma once

#include "goldcrestgate/app/instance_settings.hpp"
#include "goldcrestgate/app/metrics.hpp"
#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/events.hpp"
#include "goldcrestgate/io/http_server.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace goldcrestgate::app
{

/// @brief Returns the HTTP response for an error.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] io::http_response
error_response(core::error_code code, std::string_view message,
               core::task_fate fate = core::task_fate::not_run);

/// @brief Returns the body of an error response that the HTTP server generates
/// itself, without a route.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string server_error_body(std::uint16_t status);

/// @brief Serves the paths `/v1/ids` and `/v1/jobs/`.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class caller_api
{
public:
    using event_sink = std::function<void(core::event)>;

    /// @brief Adds the routes to a server.
    /// @pre the arguments outlive the object
    caller_api(io::event_loop& loop, io::http_server& server,
               instance_settings const& settings, app::metrics& metrics,
               event_sink sink);

    /// @brief Sends the response to a pending request; does nothing if the
    /// caller has disconnected.
    void apply(core::answer_caller&& answer);

private:
    struct open_request
    {
        io::http_reply reply;
        core::time_point received_at;
    };

    void mint(io::http_request const& request, io::http_reply const& reply);
    void submit(io::http_request const& request, io::http_reply const& reply);
    void query(io::http_request const& request, io::http_reply const& reply);
    void cancel(io::http_request const& request, io::http_reply const& reply);

    /// Parses the submission id in the path; sends an error response if it is
    /// malformed.
    std::optional<core::submission_id>
    read_submission(io::http_request const& request,
                    io::http_reply const& reply) const;
    /// Parses `wait_ms` and limits it to the maximum wait; sends an error
    /// response if it is not a number.
    std::optional<core::duration> read_wait(io::http_request const& request,
                                            io::http_reply const& reply) const;
    /// Stores the reply and returns the id under which it is answered.
    core::request_id register_request(io::http_reply const& reply);
    void caller_disconnected(core::request_id request);

    io::event_loop& loop_;
    instance_settings const& settings_;
    app::metrics& metrics_;
    event_sink sink_;
    std::uint64_t last_request_ = 0;
    std::unordered_map<core::request_id, open_request> open_requests_;
};

} // namespace goldcrestgate::app
