#pragma once

#include "goldcrestgate/app/settings_task.hpp"
#include "goldcrestgate/core/dispatcher.hpp"
#include "goldcrestgate/io/http_server.hpp"

#include <functional>

namespace goldcrestgate::app
{

/// @brief Serves the paths under `/v1/admin/`; docs/operator-api.md describes
/// the bodies.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class operator_api
{
public:
    /// @brief Adds the routes to a server.
    /// @pre the arguments outlive the object
    /// @param file_settings the settings of this process from its file
    /// @param drain called to begin the graceful shutdown
    operator_api(io::event_loop& loop, io::http_server& server,
                 core::dispatcher const& dispatcher, settings_task& settings,
                 instance_settings const& file_settings,
                 std::function<void()> drain);

private:
    using request = io::http_request;
    using reply = io::http_reply;

    void add_settings_routes(io::http_server& server);
    void add_list_routes(io::http_server& server);
    void add_job_routes(io::http_server& server);

    [[nodiscard]] std::string servers() const;
    [[nodiscard]] std::string instances() const;
    [[nodiscard]] std::string jobs() const;
    void explain(request const& in, reply const& out) const;

    io::event_loop& loop_;
    core::dispatcher const& dispatcher_;
    settings_task& settings_;
    instance_settings const& file_settings_;
    std::function<void()> drain_;
};

} // namespace goldcrestgate::app
