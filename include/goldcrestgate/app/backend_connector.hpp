#pragma once

#include "goldcrestgate/app/instance_settings.hpp"
#include "goldcrestgate/app/metrics.hpp"
#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/events.hpp"
#include "goldcrestgate/io/http_client.hpp"

#include <functional>
#include <memory>
#include <unordered_map>

namespace goldcrestgate::app
{

/// @brief Converts the result of a call to a backend server into the outcome of
/// the attempt.
/// @param started the action that began the attempt
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] core::attempt_ended
to_attempt_ended(core::start_task const& started, io::http_result&& result);

/// @brief Sends tasks and cancel requests to the backend servers over HTTP.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class backend_connector
{
public:
    using event_sink = std::function<void(core::event)>;

    /// @pre the arguments outlive the connector
    backend_connector(io::event_loop& loop, instance_settings const& settings,
                      app::metrics& metrics, event_sink sink);
    ~backend_connector();

    void apply(core::connect_server const& action);
    void apply(core::disconnect_server const& action);

    /// @brief Sends a task; an @ref core::attempt_ended follows after this
    /// function has returned.
    void apply(core::start_task&& action);

    /// @brief Sends a single cancel request, without retries; the end of the
    /// attempt is still reported by @ref core::attempt_ended.
    void apply(core::cancel_task const& action);

private:
    struct server_clients;

    io::event_loop& loop_;
    instance_settings const& settings_;
    app::metrics& metrics_;
    event_sink sink_;
    std::unordered_map<core::server_id, std::shared_ptr<server_clients>>
        clients_;
};

} // namespace goldcrestgate::app
