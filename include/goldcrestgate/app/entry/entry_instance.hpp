#pragma once

#include "goldcrestgate/app/entry/entry_log.hpp"
#include "goldcrestgate/app/entry/entry_metrics.hpp"
#include "goldcrestgate/app/entry/entry_settings.hpp"
#include "goldcrestgate/app/entry/executor_directory.hpp"
#include "goldcrestgate/app/entry/executor_orders.hpp"
#include "goldcrestgate/app/entry/topic_watch.hpp"
#include "goldcrestgate/app/memory_release.hpp"
#include "goldcrestgate/app/process_resources.hpp"
#include "goldcrestgate/app/request_removals.hpp"
#include "goldcrestgate/core/events.hpp"
#include "goldcrestgate/core/leasing/configuration_exchange.hpp"
#include "goldcrestgate/core/leasing/domain_ownership.hpp"
#include "goldcrestgate/core/leasing/job_gateway.hpp"
#include "goldcrestgate/core/leasing/job_scheduler.hpp"
#include "goldcrestgate/core/leasing/roster_status.hpp"
#include "goldcrestgate/core/leasing/route_table.hpp"
#include "goldcrestgate/core/leasing/speed_report.hpp"
#include "goldcrestgate/io/http_server.hpp"
#include "goldcrestgate/io/peer_network.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestgate::app
{

/// @brief Returns the id of the instance at a peer address, which is the IPv4
/// address as a number.
/// @return nothing if @a peer_address is not an IPv4 address with a port
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<core::instance_id>
instance_id_from_address(std::string_view peer_address);

/// @brief An entry instance on a platform of leased executors.
///
/// It accepts jobs from callers and offers them to the owners of executors.
/// While it is an owner itself, it schedules the jobs that any instance offers
/// to it.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class entry_instance
{
public:
    /// @pre the arguments outlive the instance
    entry_instance(io::event_loop& loop, entry_settings const& settings,
                   logger& log);
    ~entry_instance();

    /// @brief Starts all listeners and runs the event loop until the instance
    /// has stopped.
    /// @return an error of code `address_in_use` if an address cannot be used
    core::result<void> run();

    /// @brief Begins the graceful shutdown; a second call stops the event loop
    /// at once.
    void stop();

private:
    // requests of callers
    void add_caller_routes();
    void submit(io::http_request const& request, io::http_reply const& reply);
    /// Handles the callers that have left by now.
    void check_callers();
    void query(io::http_request const& request,
               io::http_reply const& reply) const;
    void refuse_request(io::http_reply const& reply, std::uint16_t status,
                        std::string_view reason, std::string_view detail);
    [[nodiscard]] core::job_route const*
    find_route(io::http_request const& request) const;

    // actions of the gateway and the scheduler
    void apply(std::vector<core::gateway_action> const& actions);
    void apply(std::vector<core::scheduler_action> const& actions);
    void apply(core::send_offer const& action);
    void apply(core::send_withdrawal const& action);
    void apply(core::answer_job const& action);
    void apply(core::report_verdict const& action);
    void apply(core::scheduler_log_event const& action);

    // peers
    void on_peer_event(core::event&& event);
    void on_message(core::peer_received& received);
    /// Records until when the callers of an instance were known to wait.
    void note_callers(core::peer_received const& received,
                      std::optional<core::message_mark> const& mark);
    /// Returns the mark of a message that tells which callers wait.
    [[nodiscard]] std::optional<core::message_mark>
    caller_mark(core::instance_id peer) const;
    void on_connected(core::instance_key const& peer);
    /// Repeats the offers and withdrawals to an owner, as messages may be lost.
    void offer_again(core::instance_id owner);
    void connect(std::string_view peer_address);
    void send(core::instance_id peer, core::peer_message message);
    void send_heartbeats();
    /// Sends a heartbeat to each connected instance.
    void announce();
    [[nodiscard]] core::owner_heartbeat make_heartbeat() const;
    void send_addresses(core::instance_id peer);
    void answer_heartbeat(core::instance_key const& from,
                          core::owner_heartbeat const& heartbeat);
    void follow_succession();
    /// Completes the owner's list of executors after it has read all entries.
    void complete_roster();
    void send_roster();
    void send_speeds();
    void adopt_speeds(core::instance_id owner,
                      core::executor_speeds const& report);

    // the platform's store
    void watch_platform();
    void publish_address();
    void on_operator_records(adapter::topic_page const& page, bool is_snapshot);
    void adopt_evacuations(core::evacuations const& known,
                           std::string_view source);
    [[nodiscard]] topic_callbacks make_topic_callbacks(
        std::string_view name,
        std::function<void(adapter::topic_page const&)> const& changed);
    [[nodiscard]] topic_callbacks make_operator_callbacks();
    [[nodiscard]] topic_callbacks make_executor_callbacks();

    // configuration
    /// @param peer the instance that sent the document; empty if none did
    void apply_configuration(std::string const& document,
                             std::string_view source,
                             std::string_view peer = {});
    /// Handles the version that a heartbeat has.
    void configuration_heard(core::instance_id peer, std::uint64_t version);
    /// Asks another instance for the configuration if the store does not serve
    /// this one.
    void query_configuration();
    /// Logs when the configuration passes its age limit, in either direction.
    void log_configuration_age();
    void answer_configuration_query(core::instance_id peer,
                                    core::configuration_query const& query);
    void configuration_reported(core::instance_id peer,
                                core::configuration_report const& report);
    /// Whether the configuration is known to have been the newest one within
    /// the age limit.
    [[nodiscard]] bool is_configuration_current() const;

    // timers, ownership and stop
    void tick();
    void decide_ownership();
    void handle_pause(core::duration lateness);
    void continue_stop();
    /// Time at which a stopping instance ends.
    [[nodiscard]] core::time_point exit_time() const;
    [[nodiscard]] std::vector<core::owner_view> owners() const;
    [[nodiscard]] bool is_ready() const;

    io::event_loop& loop_;
    entry_settings const& settings_;
    logger& log_;
    process_resources resources_;
    entry_metrics metrics_;
    std::map<std::string, core::domain_id, std::less<>> domains_;
    core::instance_key self_;

    core::route_table routes_;
    std::string configuration_document_;
    core::evacuations evacuations_;
    core::configuration_exchange configuration_exchange_;
    bool configuration_current_logged_ = false;
    core::domain_ownership ownership_;
    core::heartbeat_plan heartbeat_plan_;
    core::clock_echoes clock_echoes_;
    /// Time at which all callers that had left were last handled.
    core::time_point callers_checked_at_{};
    /// The successors that this instance as the owner has designated so far;
    /// each of them has the roster.
    std::vector<core::instance_id> informed_successors_;
    bool owner_known_ = false;
    core::job_gateway gateway_;
    core::job_scheduler scheduler_;

    io::http_server caller_server_;
    request_removals request_removals_;
    memory_release memory_release_;
    io::http_server readiness_server_;
    io::http_server metrics_server_;
    io::peer_network peer_network_;
    executor_orders executor_orders_;
    executor_directory directory_;
    adapter::store_client store_;
    topic_watch configuration_watch_;
    topic_watch executors_watch_;
    topic_watch instances_watch_;
    io::timer tick_timer_;
    io::timer heartbeat_timer_;
    io::timer publish_retry_timer_;

    std::unordered_map<core::request_id, io::http_reply> pending_replies_;
    std::uint64_t last_request_id_ = 0;
    std::map<core::instance_id, core::instance_key> connected_peers_;
    /// The last process of each instance that was connected.
    std::map<core::instance_id, core::instance_key> last_incarnations_;
    std::map<core::instance_id, std::string> known_peers_;
    core::roster_status roster_;
    bool roster_changed_ = false;
    core::speed_report speed_report_;
    core::time_point speeds_sent_at_{};
    bool ready_logged_ = false;
    bool stopping_ = false;
    bool caller_server_closed_ = false;
    core::time_point stopping_since_{};
};

} // namespace goldcrestgate::app
