#include "goldcrestgate/app/instance.hpp"

#include "goldcrestgate/app/detail/checked_address.hpp"
#include "goldcrestgate/app/detail/new_incarnation.hpp"
#include "goldcrestgate/app/server_limits.hpp"

#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// Time limit for sending the last responses to the callers after the
/// dispatcher has stopped.
constexpr core::duration linger_limit = std::chrono::milliseconds{500};
constexpr core::duration linger_poll_interval = std::chrono::milliseconds{10};

constexpr core::duration memory_check_interval = std::chrono::milliseconds{500};

/// Responses with the results of large jobs take long on slow networks.
constexpr core::duration response_timeout = std::chrono::minutes{1};

io::http_server_options caller_options(instance_settings const& settings)
{
    core::request_limits times;
    times.head_timeout = settings.request_read_timeout;
    times.request_timeout = settings.request_read_timeout;
    times.idle_timeout = settings.request_read_timeout;
    times.response_timeout = response_timeout;
    times.least_body_rate_bytes_per_s = 0;
    return caller_server_options(
        {.memory_mb = settings.memory_mb,
         .body_limit_bytes = settings.body_limit_bytes,
         .connection_limit = settings.caller_connection_limit,
         .open_request_budget_bytes = settings.open_request_budget_bytes,
         .times = times},
        read_resources());
}

core::dispatcher build_dispatcher(instance_settings const& settings,
                                  core::instance_key const& self)
{
    return core::dispatcher_builder{}
        .self(self)
        .rack(settings.rack)
        .id_lifetime(settings.id_lifetime)
        .answer_retention(settings.answer_retention)
        .copies(settings.copy_peers)
        .copy_wait(settings.copy_wait)
        .build();
}

std::string_view kind_name(core::decision_kind kind)
{
    constexpr std::array<std::string_view, 8> names = {
        "place", "hedge",   "retry",   "refuse",
        "eject", "restore", "forward", "cancel"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace

instance::instance(io::event_loop& loop, instance_settings const& settings,
                   logger& log)
    : loop_(loop)
    , settings_(settings)
    , log_(log)
    , self_{settings.failure_domain, settings.id, detail::new_incarnation()}
    , dispatcher_(build_dispatcher(settings, self_))
    , server_(loop, caller_options(settings))
    , request_removals_(loop, server_, log)
    , memory_timer_(loop,
                    [this]
                    {
                        release_memory();
                    })
    , callers_(loop, server_, settings, metrics_,
               [this](core::event input)
               {
                   deliver(std::move(input));
               })
    , backends_(loop, settings, metrics_,
                [this](core::event input)
                {
                    deliver(std::move(input));
                })
    , peers_(
          loop, {self_, settings.peers_address},
          {.connect_timeout = settings.peer_connect_timeout},
          [this](core::event input)
          {
              deliver(std::move(input));
          },
          [this](core::error const& failure)
          {
              log_.write(
                  log_line{log_level::warning, "peer_fault"}.failure(failure));
          })
    , published_settings_(
          loop, settings, detail::checked_address(settings.platform_address),
          log,
          [this](core::settings_ptr view)
          {
              deliver(core::settings_changed{std::move(view)});
          },
          [this](core::send_to_peer message)
          {
              apply(std::move(message));
          })
    , operators_(loop, server_, dispatcher_, published_settings_, settings,
                 [this]
                 {
                     if (!stopping_)
                     {
                         stop();
                     }
                 })
    , list_client_(loop, detail::checked_address(settings.platform_address),
                   settings.failure_domain, settings.platform_timeout)
    , list_timer_(loop,
                  [this]
                  {
                      read_instance_list();
                  })
    , tick_timer_(loop,
                  [this]
                  {
                      deliver(core::tick{});
                  })
    , stop_timer_(loop,
                  [this]
                  {
                      force_stop();
                  })
    , linger_timer_(loop,
                    [this]
                    {
                        stop_loop_when_drained();
                    })
{
    server_.set_error_body(server_error_body);
    add_health_routes();
}

instance::~instance() = default;

core::result<stop_kind> instance::run()
{
    BOOST_LEAF_CHECK(
        server_.listen(detail::checked_address(settings_.callers_address)));
    BOOST_LEAF_CHECK(
        peers_.listen(detail::checked_address(settings_.peers_address)));
    log_.write(log_line{log_level::info, "listening"}
                   .text("address", settings_.callers_address)
                   .number("instance", settings_.id.value())
                   .number("failure_domain", settings_.failure_domain.value()));
    published_settings_.start();
    release_memory();
    read_instance_list();
    schedule_tick();
    loop_.run();
    return *outcome_;
}

void instance::stop()
{
    if (stopping_)
    {
        force_stop();
        return;
    }
    stopping_ = true;
    log_.write(log_line{log_level::info, "stop_begun"}.number(
        "open_tasks",
        static_cast<std::int64_t>(dispatcher_.counts().open_attempts)));
    stop_timer_.start_after(settings_.stop_limit);
    deliver(core::begin_stop{});
}

// --- events and actions ---

void instance::deliver(core::event input)
{
    events_.push_back(std::move(input));
    if (dispatching_)
    {
        return;
    }
    dispatching_ = true;
    while (!events_.empty())
    {
        handle_next();
    }
    dispatching_ = false;
    schedule_tick();
}

void instance::handle_next()
{
    auto input = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    dispatcher_.handle(std::move(input), loop_.now(), actions_);
    for (auto& action : actions_)
    {
        std::visit(
            [this](auto& specific)
            {
                apply(std::move(specific));
            },
            action);
    }
}

void instance::schedule_tick()
{
    if (auto const due = dispatcher_.next_deadline())
    {
        tick_timer_.start_at(*due);
    }
    else
    {
        tick_timer_.cancel();
    }
}

void instance::apply(core::answer_caller&& action)
{
    callers_.apply(std::move(action));
}

void instance::apply(core::start_task&& action)
{
    backends_.apply(std::move(action));
}

void instance::apply(core::cancel_task&& action)
{
    backends_.apply(action);
}

void instance::apply(core::send_to_peer&& action)
{
    peers_.apply(action);
}

void instance::apply(core::connect_peer&& action)
{
    peers_.apply(action);
}

void instance::apply(core::disconnect_peer&& action)
{
    peers_.apply(action);
}

void instance::apply(core::connect_server&& action)
{
    backends_.apply(action);
}

void instance::apply(core::disconnect_server&& action)
{
    backends_.apply(action);
}

void instance::apply(core::record_decision&& action)
{
    // Samples deterministically: at a ratio of 1/n, every n-th decision is
    // logged.
    decision_sample_sum_ += settings_.decision_sample_ratio;
    if (decision_sample_sum_ < 1)
    {
        return;
    }
    decision_sample_sum_ -= 1;
    log_line line{log_level::info, "decision"};
    line.text("kind", kind_name(action.kind)).text("reason", action.reason);
    if (action.task)
    {
        line.text("submission", core::to_string(action.task->submission))
            .number("task", action.task->task.value());
    }
    if (action.server)
    {
        line.number("server", action.server->value())
            .number("score_us", action.score.count());
    }
    if (action.runner_up)
    {
        line.number("runner_up", action.runner_up->value())
            .number("runner_up_score_us", action.runner_up_score.count());
    }
    log_.write(line);
}

void instance::apply(core::set_ready&& action)
{
    ready_ = action.ready;
    log_.write(
        log_line{log_level::info, "readiness"}.flag("ready", action.ready));
}

void instance::apply(core::settings_exchange&& action)
{
    published_settings_.exchange(action);
}

void instance::apply(core::stopped&& /*action*/)
{
    outcome_ = outcome_.value_or(stop_kind::graceful);
    server_.close_gracefully();
    stop_timer_.start_after(linger_limit);
    stop_loop_when_drained();
}

// --- stop ---

void instance::stop_loop_when_drained()
{
    if (server_.connection_count() == 0)
    {
        loop_.stop();
        return;
    }
    linger_timer_.start_after(linger_poll_interval);
}

void instance::force_stop()
{
    if (!outcome_)
    {
        outcome_ = stop_kind::forced;
        for (auto const& task : dispatcher_.running_tasks())
        {
            log_.write(log_line{log_level::warning, "task_interrupted"}
                           .text("submission", core::to_string(task.submission))
                           .number("task", task.task.value()));
        }
    }
    loop_.stop();
}

// --- platform and health ---

void instance::read_instance_list()
{
    list_client_.read(
        [this](platform::instance_list_result const& result)
        {
            on_instance_list(result);
            list_timer_.start_after(settings_.instance_list_interval);
        });
}

void instance::release_memory()
{
    memory_release_.update(server_.open_request_bytes(), loop_.now());
    memory_timer_.start_after(memory_check_interval);
}

void instance::on_instance_list(platform::instance_list_result const& result)
{
    auto const* const failure = std::get_if<core::error>(&result);
    bool const reachable = failure == nullptr;
    if (reachable != list_reachable_)
    {
        list_reachable_ = reachable;
        log_line line{reachable ? log_level::info : log_level::warning,
                      reachable ? "instance_list_reachable"
                                : "instance_list_unreachable"};
        if (failure != nullptr)
        {
            line.failure(*failure);
        }
        log_.write(line);
    }
    if (reachable)
    {
        deliver(std::get<core::instance_list>(result));
    }
}

void instance::add_health_routes()
{
    using request = io::http_request;
    using reply = io::http_reply;
    server_.route("GET", "/healthz",
                  [](request const&, reply const& out)
                  {
                      out.send({200, R"({"healthy":true})"});
                  });
    server_.route("GET", "/readyz",
                  [this](request const&, reply const& out)
                  {
                      std::uint16_t const status = ready_ ? 200 : 503;
                      out.send({status, ready_ ? R"({"ready":true})"
                                               : R"({"ready":false})"});
                  });
    server_.route(
        "GET", "/metrics",
        [this](request const&, reply const& out)
        {
            out.send({200,
                      metrics_.render(dispatcher_.counts(), collect_stats()),
                      "text/plain; version=0.0.4"});
        });
}

process_stats instance::collect_stats() const
{
    process_stats values;
    values.ready = ready_;
    values.caller_connections = server_.connection_count();
    values.open_request_bytes = server_.open_request_bytes();
    values.request_removals = request_removals_.totals();
    values.peer_connections = peers_.connected_peers();
    values.log_lines_dropped = log_.dropped();
    values.settings_version = published_settings_.state().version().value();
    return values;
}

} // namespace goldcrestgate::app
