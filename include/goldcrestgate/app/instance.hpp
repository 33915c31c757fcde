#pragma once

#include "goldcrestgate/app/backend_connector.hpp"
#include "goldcrestgate/app/caller_api.hpp"
#include "goldcrestgate/app/instance_settings.hpp"
#include "goldcrestgate/app/log.hpp"
#include "goldcrestgate/app/memory_release.hpp"
#include "goldcrestgate/app/metrics.hpp"
#include "goldcrestgate/app/operator_api.hpp"
#include "goldcrestgate/app/request_removals.hpp"
#include "goldcrestgate/app/settings_task.hpp"
#include "goldcrestgate/core/dispatcher.hpp"
#include "goldcrestgate/io/event_loop.hpp"
#include "goldcrestgate/io/http_server.hpp"
#include "goldcrestgate/io/peer_network.hpp"
#include "goldcrestgate/platform/instance_list_client.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace goldcrestgate::app
{

/// How the run of an instance ended.
enum class stop_kind : std::uint8_t
{
    /// All work ended before the stop.
    graceful,
    /// Work was interrupted by a second signal or by the time limit.
    forced
};

/// @brief One entry instance: connects the dispatcher to the HTTP server, the
/// peers, the backend servers, the platform and the timers.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class instance
{
public:
    /// @pre the arguments outlive the instance
    instance(io::event_loop& loop, instance_settings const& settings,
             logger& log);
    ~instance();
    instance(instance const&) = delete;
    instance& operator=(instance const&) = delete;

    /// @brief Opens the listeners, starts to read the settings and the instance
    /// list from the platform, and serves until stopped.
    /// @return how the run ended, or an error of code `address_in_use` if an
    /// address cannot be used
    core::result<stop_kind> run();

    /// @brief Begins the graceful shutdown; a second call stops at once.
    void stop();

private:
    void deliver(core::event input);
    void handle_next();
    void schedule_tick();

    void apply(core::answer_caller&& action);
    void apply(core::start_task&& action);
    void apply(core::cancel_task&& action);
    void apply(core::send_to_peer&& action);
    void apply(core::connect_peer&& action);
    void apply(core::disconnect_peer&& action);
    void apply(core::connect_server&& action);
    void apply(core::disconnect_server&& action);
    void apply(core::record_decision&& action);
    void apply(core::set_ready&& action);
    void apply(core::settings_exchange&& action);
    void apply(core::stopped&& action);

    void add_health_routes();
    void release_memory();
    void read_instance_list();
    void on_instance_list(platform::instance_list_result const& result);
    /// Stops the loop at once; logs the running tasks as interrupted unless the
    /// run had already ended.
    void force_stop();
    /// Stops the loop once the last caller connection is closed.
    void stop_loop_when_drained();
    [[nodiscard]] process_stats collect_stats() const;

    io::event_loop& loop_;
    instance_settings const& settings_;
    logger& log_;
    app::metrics metrics_;
    core::instance_key self_;
    core::dispatcher dispatcher_;
    io::http_server server_;
    request_removals request_removals_;
    memory_release memory_release_;
    io::timer memory_timer_;
    caller_api callers_;
    backend_connector backends_;
    io::peer_network peers_;
    settings_task published_settings_;
    operator_api operators_;
    platform::instance_list_client list_client_;
    io::timer list_timer_;
    io::timer tick_timer_;
    io::timer stop_timer_;
    io::timer linger_timer_;
    std::deque<core::event> events_;
    std::vector<core::action> actions_;
    bool dispatching_ = false;
    bool ready_ = false;
    bool list_reachable_ = true;
    bool stopping_ = false;
    double decision_sample_sum_ = 0;
    std::optional<stop_kind> outcome_;
};

} // namespace goldcrestgate::app
