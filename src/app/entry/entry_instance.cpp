#include "goldcrestgate/app/entry/entry_instance.hpp"

#include "goldcrestgate/app/detail/checked_address.hpp"
#include "goldcrestgate/app/detail/new_incarnation.hpp"
#include "goldcrestgate/app/entry/entry_limits.hpp"
#include "goldcrestgate/app/server_limits.hpp"
#include "goldcrestgate/core/settings/text_list.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// An ownership ends after 450 ms without a heartbeat; four intervals fit into
/// that time.
constexpr core::duration heartbeat_interval = std::chrono::milliseconds{100};

/// Longest time between two checks of the ownership and of jobs without an
/// owner.
constexpr core::duration max_tick_interval = std::chrono::milliseconds{50};

/// The long poll is short, so that a dead connection is detected well within
/// the 2 s in which a new configuration has to be in force.
constexpr poll_timing configuration_poll_timing{std::chrono::milliseconds{800},
                                                {}};

/// Executors write their entries every 1.5 s, and a draining one may be given
/// work for at most 2 s more. Only an owner reads them; its successors get the
/// roster from it.
constexpr poll_timing executors_poll_timing{{}, std::chrono::milliseconds{300}};

/// A new instance connects to the others itself; reading the list also finds
/// instances that cannot connect.
constexpr poll_timing instances_poll_timing{{}, std::chrono::seconds{10}};

/// Readiness is checked every second, and two failed checks take an instance
/// out of rotation; until then callers may still connect.
constexpr core::duration deregistration_delay = std::chrono::milliseconds{2300};

/// Expected wait of a failure domain that is being evacuated; it makes jobs go
/// to all others first.
constexpr core::duration evacuated_domain_wait = std::chrono::minutes{1};

/// Part of the grace period that is reserved for the exit of the process.
constexpr core::duration exit_margin = std::chrono::milliseconds{400};

constexpr core::duration peer_connect_timeout = std::chrono::milliseconds{400};
constexpr core::duration max_reconnect_delay = std::chrono::milliseconds{800};

constexpr double weight_per_core = 1000.0;

std::map<std::string, core::domain_id, std::less<>>
number_domains(std::string_view names)
{
    std::map<std::string, core::domain_id, std::less<>> domains;
    for (auto const name : core::split_list(names))
    {
        domains.emplace(name, core::domain_id{});
    }
    std::uint16_t number = 0;
    for (auto& [name, id] : domains)
    {
        id = core::domain_id{++number};
    }
    return domains;
}

core::instance_key make_instance_key(
    entry_settings const& settings,
    std::map<std::string, core::domain_id, std::less<>> const& domains)
{
    auto const domain = domains.find(settings.failure_domain);
    return {domain == domains.end() ? core::domain_id{} : domain->second,
            instance_id_from_address(settings.peers_address)
                .value_or(core::instance_id{}),
            detail::new_incarnation()};
}

} // namespace

std::optional<core::instance_id>
instance_id_from_address(std::string_view peer_address)
{
    auto const parsed = io::socket_address::parse(peer_address);
    if (!parsed || parsed.value().data()->sa_family != AF_INET)
    {
        return std::nullopt;
    }
    auto const* const address =
        reinterpret_cast<sockaddr_in const*>(parsed.value().data());
    return core::instance_id{ntohl(address->sin_addr.s_addr)};
}

entry_instance::entry_instance(io::event_loop& loop,
                               entry_settings const& settings, logger& log)
    : loop_(loop)
    , settings_(settings)
    , log_(log)
    , resources_(read_resources())
    , domains_(number_domains(settings.failure_domains))
    , self_(make_instance_key(settings, domains_))
    , configuration_exchange_(self_.instance, loop.now())
    , ownership_(
          self_,
          static_cast<std::uint32_t>(settings.cpu_share * weight_per_core),
          loop.now())
    , gateway_(self_.domain, self_.incarnation.value(), self_.instance,
               core::job_memory{job_memory_limit(settings, resources_)})
    , scheduler_({settings.longest_lease, settings.stop_time,
                  settings.resubmission_delay, settings.remote_rack_factor,
                  settings.class_weight_ratio, settings.fair_shares,
                  settings.preemption, settings.reservations,
                  job_memory_limit(settings, resources_)})
    , caller_server_(loop, caller_server_options(settings, resources_))
    , request_removals_(loop, caller_server_, log)
    , readiness_server_(
          loop, monitoring_server_options(settings.monitoring_connection_limit))
    , metrics_server_(
          loop, monitoring_server_options(settings.monitoring_connection_limit))
    , peer_network_(
          loop, core::hello{self_, settings.peers_address},
          {.connect_timeout = peer_connect_timeout,
           .max_reconnect_delay = max_reconnect_delay,
           .write_limit_bytes = peer_write_limit_bytes,
           // A peer cannot send more at a time.
           .frame_limit_bytes = peer_write_limit_bytes,
           .partial_frame_limit_bytes =
               partial_frame_limit(settings, resources_)},
          [this](core::event event)
          {
              on_peer_event(std::move(event));
          },
          [this](core::error const& failure)
          {
              log_.write(
                  log_line{log_level::warning, "peer_fault"}.failure(failure));
          })
    , executor_orders_(
          loop, settings.response_limit_bytes,
          {[this](core::order_answer const& answer)
           {
               metrics_.count_order_outcome("start", answer.outcome);
               std::vector<core::scheduler_action> out;
               scheduler_.start_answered(answer, loop_.now(), out);
               apply(out);
           },
           [this](core::order_answer const& answer)
           {
               metrics_.count_order_outcome("stop", answer.outcome);
               std::vector<core::scheduler_action> out;
               scheduler_.stop_answered(answer, loop_.now(), out);
               apply(out);
           },
           [this](core::poll_answer const& answer)
           {
               metrics_.count_order_outcome("hold", answer.outcome);
               std::vector<core::scheduler_action> out;
               scheduler_.poll_answered(answer, loop_.now(), out);
               apply(out);
           }})
    , directory_(
          self_.domain,
          [this](std::string_view name) -> std::optional<core::domain_id>
          {
              auto const found = domains_.find(name);
              return found == domains_.end() ? std::nullopt
                                             : std::optional{found->second};
          },
          {[this](core::executor_id id,
                  core::executor_description const& description)
           {
               executor_orders_.set_endpoint(id, description);
               std::vector<core::scheduler_action> out;
               scheduler_.list(id, description, loop_.now(), out);
               apply(out);
               roster_changed_ = true;
               log_.write(to_log_line(description));
           },
           [this](core::executor_id id)
           {
               log_.write(log_line{log_level::info, "executor_unlisted"}.text(
                   "executor", executor_orders_.name(id)));
               scheduler_.unlist(id, loop_.now());
           },
           [this](std::string_view name)
           {
               log_.write(
                   log_line{log_level::warning, "executor_entry_refused"}.text(
                       "executor", name));
           },
           [this](core::executor_id id)
           {
               return scheduler_.is_busy(id, loop_.now());
           },
           [this](std::string_view service)
           {
               return routes_.names_service(service);
           }})
    , store_(loop, detail::checked_address(settings.store_address))
    , configuration_watch_(loop, store_, adapter::topic::configuration,
                           configuration_poll_timing, make_operator_callbacks())
    , executors_watch_(loop, store_, adapter::topic::executors,
                       executors_poll_timing, make_executor_callbacks())
    , instances_watch_(
          loop, store_, adapter::topic::instances, instances_poll_timing,
          make_topic_callbacks(
              "instances",
              [this](adapter::topic_page const& page)
              {
                  for (auto const& record : page.records)
                  {
                      connect(adapter::published_address(record).value_or(""));
                  }
              }))
    , tick_timer_(loop,
                  [this]
                  {
                      tick();
                  })
    , heartbeat_timer_(loop,
                       [this]
                       {
                           heartbeat_timer_.start_after(heartbeat_interval);
                           check_callers();
                           send_heartbeats();
                       })
    , publish_retry_timer_(loop,
                           [this]
                           {
                               publish_address();
                           })
{
}

entry_instance::~entry_instance() = default;

core::result<void> entry_instance::run()
{
    add_caller_routes();
    BOOST_LEAF_CHECK(caller_server_.listen(
        detail::checked_address(settings_.callers_address)));
    BOOST_LEAF_CHECK(readiness_server_.listen(
        detail::checked_address(settings_.readiness_address)));
    BOOST_LEAF_CHECK(metrics_server_.listen(
        detail::checked_address(settings_.metrics_address)));
    BOOST_LEAF_CHECK(
        peer_network_.listen(detail::checked_address(settings_.peers_address)));
    log_.write(log_line{log_level::info, "started"}
                   .text("instance", settings_.name)
                   .text("failure_domain", settings_.failure_domain)
                   .text("peers_address", settings_.peers_address)
                   .number("open_request_budget_bytes",
                           static_cast<std::int64_t>(
                               caller_server_options(settings_, resources_)
                                   .limits->budget_bytes)));
    loop_.on_stall(core::pause_limit,
                   [this](core::duration lateness)
                   {
                       handle_pause(lateness);
                   });
    watch_platform();
    tick();
    send_heartbeats();
    heartbeat_timer_.start_after(heartbeat_interval);
    loop_.run();
    return {};
}

// --- actions of the gateway and the scheduler ---

void entry_instance::apply(std::vector<core::gateway_action> const& actions)
{
    for (auto const& action : actions)
    {
        std::visit(
            [this](auto const& specific)
            {
                apply(specific);
            },
            action);
    }
}

void entry_instance::apply(std::vector<core::scheduler_action> const& actions)
{
    for (auto const& action : actions)
    {
        std::visit(
            [this](auto const& specific)
            {
                if constexpr (requires { executor_orders_.send(specific); })
                {
                    executor_orders_.send(specific);
                }
                else
                {
                    apply(specific);
                }
            },
            action);
    }
}

void entry_instance::apply(core::send_offer const& action)
{
    metrics_.count_offer(action);
    log_.write(to_log_line(action));
    if (action.owner != self_.instance)
    {
        auto offer = action.offer;
        offer.mark = caller_mark(action.owner);
        send(action.owner, std::move(offer));
        return;
    }
    std::vector<core::scheduler_action> out;
    scheduler_.offer(self_.instance, action.offer, loop_.now(), out);
    apply(out);
}

void entry_instance::apply(core::send_withdrawal const& action)
{
    log_.write(to_log_line(action));
    if (action.owner != self_.instance)
    {
        auto withdrawal = action.withdrawal;
        withdrawal.mark = caller_mark(action.owner);
        send(action.owner, withdrawal);
        return;
    }
    std::vector<core::scheduler_action> out;
    scheduler_.withdraw(self_.instance, action.withdrawal, loop_.now(), out);
    apply(out);
}

void entry_instance::apply(core::report_verdict const& action)
{
    if (action.origin != self_.instance)
    {
        send(action.origin, action.verdict);
        return;
    }
    std::vector<core::gateway_action> out;
    gateway_.verdict(self_.instance, action.verdict, owners(), loop_.now(),
                     out);
    apply(out);
}

void entry_instance::apply(core::scheduler_log_event const& action)
{
    metrics_.count_decision(action);
    log_.write(to_log_line(action,
                           [this](core::executor_id id)
                           {
                               return executor_orders_.name(id);
                           }));
}

// --- timers, ownership and stop ---

std::vector<core::owner_view> entry_instance::owners() const
{
    auto views = ownership_.owners(loop_.now());
    for (auto& view : views)
    {
        if (evacuations_.contains(view.domain))
        {
            view.free_millicores = 0;
            view.expected_wait = evacuated_domain_wait;
        }
        else if (view.instance == self_.instance)
        {
            auto const load = scheduler_.load(loop_.now());
            view.free_millicores = load.free_millicores;
            view.expected_wait = load.expected_wait;
        }
    }
    return views;
}

bool entry_instance::is_ready() const
{
    return !stopping_ && routes_.version != 0 &&
           !ownership_.owners(loop_.now()).empty();
}

void entry_instance::check_callers()
{
    auto const now = loop_.now();
    caller_server_.notify_disconnects();
    callers_checked_at_ = now;
    scheduler_.origin_heard(self_.instance, now);
}

void entry_instance::tick()
{
    auto const now = loop_.now();
    // No job is offered whose caller has left.
    check_callers();
    for (auto const unresponsive : ownership_.take_unresponsive(now))
    {
        log_.write(log_line{log_level::warning, "peer_silent"}.text(
            "peer", format_instance(unresponsive)));
        scheduler_.origin_lost(unresponsive, now);
        configuration_exchange_.lost(unresponsive);
        // Reconnects, as the connection may be dead without being closed.
        if (connected_peers_.erase(unresponsive) > 0)
        {
            peer_network_.apply(core::disconnect_peer{unresponsive});
            peer_network_.apply(core::connect_peer{
                {}, unresponsive, known_peers_[unresponsive]});
        }
    }
    memory_release_.update(caller_server_.open_request_bytes() +
                               gateway_.open_job_bytes() +
                               scheduler_.job_bytes(),
                           now);
    query_configuration();
    log_configuration_age();
    directory_.expire(now);
    decide_ownership();
    follow_succession();
    complete_roster();
    send_roster();
    send_speeds();
    std::vector<core::scheduler_action> orders;
    scheduler_.tick(now, orders);
    apply(orders);
    std::vector<core::gateway_action> out;
    auto const in_own_domain =
        std::ranges::count_if(connected_peers_,
                              [this](auto const& peer)
                              {
                                  return peer.second.domain == self_.domain;
                              });
    gateway_.set_domain_instances(
        static_cast<std::uint32_t>(in_own_domain + 1));
    gateway_.tick(owners(), now, out);
    apply(out);
    if (is_ready() != ready_logged_)
    {
        ready_logged_ = !ready_logged_;
        log_.write(log_line{log_level::info, "readiness"}.flag("ready",
                                                               ready_logged_));
    }
    if (stopping_)
    {
        continue_stop();
    }
    tick_timer_.start_at(
        std::min(scheduler_.next_tick(now), now + max_tick_interval));
}

void entry_instance::stop()
{
    if (stopping_)
    {
        log_.write(log_line{log_level::warning, "stop_forced"}.number(
            "open_jobs", static_cast<std::int64_t>(gateway_.open_jobs())));
        loop_.stop();
        return;
    }
    stopping_ = true;
    stopping_since_ = loop_.now();
    log_.write(log_line{log_level::info, "stopping"}
                   .number("open_jobs",
                           static_cast<std::int64_t>(gateway_.open_jobs()))
                   .flag("owner", scheduler_.owns()));
    ownership_.leave();
    announce();
}

core::time_point entry_instance::exit_time() const
{
    return stopping_since_ + settings_.stop_grace - exit_margin;
}

void entry_instance::continue_stop()
{
    auto const since = loop_.now() - stopping_since_;
    if (since >= deregistration_delay && !caller_server_closed_)
    {
        caller_server_closed_ = true;
        caller_server_.close_gracefully();
    }
    bool const idle =
        gateway_.open_jobs() == 0 && scheduler_.load(loop_.now()).jobs == 0;
    bool const drained = idle && caller_server_.connection_count() == 0;
    bool const grace_expired = loop_.now() >= exit_time();
    if ((caller_server_closed_ && drained) || grace_expired)
    {
        std::vector<core::gateway_action> out;
        gateway_.abandon_all(loop_.now(), out);
        apply(out);
        log_.write(log_line{log_level::info, "stopped"}
                       .flag("graceful", idle)
                       .number("open_jobs", static_cast<std::int64_t>(
                                                gateway_.open_jobs())));
        loop_.stop();
    }
}

} // namespace goldcrestgate::app
