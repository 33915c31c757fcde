#include "support/driver/simulation.hpp"

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace goldcrestgate::test
{

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

// Cuts and message faults between instances end at faults_end_at. The rest of
// the run leaves time for open work to finish and for a query of every fate.
constexpr sim_time faults_end_at = 10s;
constexpr sim_time final_query_at = 20s;
constexpr sim_time run_end = 36s;

constexpr duration cancel_limit = 3s;

// Stops a run that never becomes idle; a typical run has about 10,000 events.
constexpr std::uint64_t max_events = 1'000'000;

settings_ptr make_run_settings()
{
    auto view = std::make_shared<settings_view>();
    service_policy policy;
    policy.attempt_timeout = 2s;
    policy.default_deadline = 5s;
    policy.max_attempts = guarantee_checks::max_attempts;
    policy.retry_budget_ratio = 0.5;
    policy.hedge_budget_ratio = 0.2;
    view->service_ids.emplace("desk", service_id{0});
    view->services.push_back(policy);
    view->team_ids.emplace("inspection", team_id{0});
    view->teams.emplace_back();
    return view;
}

time_point local_time(sim_time now, sim_time started_at, double rate)
{
    // The clock of each process has its own origin.
    auto const passed = static_cast<double>((now - started_at).count()) * rate;
    return time_point{duration{1'000'000 + started_at.count() / 3 +
                               static_cast<duration::rep>(passed)}};
}

} // namespace

simulation::simulation(schedule const& plan, detail::injected_defects defects)
    : plan_(plan)
    , defects_(defects)
    , random_(plan.seed ^ 0x5eedULL)
    , settings_(make_run_settings())
{
    constexpr std::uint32_t servers_per_domain = 2;
    std::uint32_t id = 0;
    for (std::uint16_t domain = 1; domain <= 2; ++domain)
    {
        for (std::uint32_t i = 0; i < plan_.instances[domain - 1]; ++i)
        {
            auto& added = instances_[++id];
            added.key = {domain_id{domain}, instance_id{id}, incarnation{0}};
            added.rack = "rack" + std::to_string(i % 3);
        }
    }
    for (std::uint32_t i = 0; i < 2 * servers_per_domain; ++i)
    {
        fake_server server;
        server.id = server_id{i + 1};
        server.slots = plan_.long_tasks ? 1 : server.slots;
        server.domain =
            domain_id{static_cast<std::uint16_t>(1 + i / servers_per_domain)};
        servers_.emplace(i + 1, server);
    }
}

void simulation::run()
{
    for (auto& [id, unused] : instances_)
    {
        at(draw_duration(0, 200'000),
           [this, id = id]
           {
               start_process(id);
           });
    }
    for (auto const& step : plan_.steps)
    {
        at(step.at,
           [this, step]
           {
               run_step(step);
           });
    }
    at(faults_end_at,
       [this]
       {
           for (auto& [pair, connection] : links_)
           {
               connection.cut_until = now_;
           }
           plan_.loss = plan_.delay = plan_.duplication = 0;
       });
    at(final_query_at,
       [this]
       {
           query_fates(std::nullopt);
       });
    while (!queue_.empty() && queue_.top().at <= run_end)
    {
        auto next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.run();
        if (++counts_.events > max_events)
        {
            checks_.fail("progress", "the run does not become idle", now_);
            return;
        }
    }
}

void simulation::at(sim_time when, callback run)
{
    queue_.push({std::max(when, now_), ++last_sequence_, std::move(run)});
}

void simulation::after(sim_time delay, callback run)
{
    at(now_ + delay, std::move(run));
}

std::int64_t simulation::draw(std::int64_t low, std::int64_t high)
{
    return random_.between(low, high);
}

bool simulation::draw_chance(std::uint32_t per_mille)
{
    return per_mille != 0 && random_.chance(per_mille);
}

sim_time simulation::draw_duration(std::int64_t low_us, std::int64_t high_us)
{
    return sim_time{draw(low_us, high_us)};
}

void simulation::start_process(std::uint32_t id)
{
    auto& target = instances_.at(id);
    if (target.process)
    {
        return;
    }
    // A clock that was set back yields a smaller incarnation.
    bool const clock_set_back = target.generation > 0 && draw_chance(30);
    auto const before = target.key.incarnation.value();
    auto const wall = static_cast<std::uint64_t>(now_.count() + 1'000'000);
    target.key.incarnation = incarnation{
        clock_set_back ? before - 4096 : wall * 1024 + (random_.next() & 1023)};
    ++target.generation;
    target.started_at = now_;
    target.clock_rate = 1.0 + static_cast<double>(draw(-20, 20)) / 1000.0;
    target.paused = false;
    target.listed = true;
    target.stopping_since.reset();
    target.wanted_peers.clear();
    target.input.clear();
    target.tick_at.reset();
    target.open_starts = 0;
    dispatcher_builder builder;
    builder.self(target.key).rack(target.rack).cancel_wait(cancel_limit);
    if (plan_.short_retention)
    {
        builder.id_lifetime(3s).answer_retention(1s);
    }
    random_source own{plan_.seed * 64 + std::uint64_t{id} * 8 +
                      target.generation};
    if (own.chance(300))
    {
        // A small batch limit makes catch-ups take several batches.
        builder.copy_batch_records(static_cast<std::size_t>(own.between(1, 6)));
    }
    detail::inject_defects(builder, defects_);
    target.process = std::make_unique<dispatcher>(builder.build());
    deliver(id, target.generation, settings_changed{settings_});
    after(draw_duration(0, 300'000),
          [this]
          {
              publish_list();
          });
    after(draw_duration(1'000, 50'000),
          [this, id, generation = target.generation]
          {
              read_list(id, generation);
          });
}

void simulation::kill(std::uint32_t id)
{
    auto& target = instances_.at(id);
    if (!target.process)
    {
        return;
    }
    target.process.reset();
    target.paused = false;
    for (auto const& [other, unused] : instances_)
    {
        if (other != id)
        {
            break_link(id, other);
        }
    }
    after(draw_duration(1'000'000, 4'000'000),
          [this, id]
          {
              auto& killed = instances_.at(id);
              killed.listed = killed.process != nullptr;
              publish_list();
          });
}

void simulation::deliver(std::uint32_t id, std::uint64_t generation,
                         event input)
{
    auto& target = instances_.at(id);
    if (target.generation != generation || !target.process)
    {
        return;
    }
    if (target.paused)
    {
        target.input.push_back(std::move(input));
        return;
    }
    handle(target, std::move(input));
}

void simulation::handle(instance& target, event&& input)
{
    std::vector<action> actions;
    target.process->handle(
        std::move(input),
        local_time(now_, target.started_at, target.clock_rate), actions);
    for (auto& order : actions)
    {
        perform(target, order);
    }
    arm_tick(target);
}

void simulation::arm_tick(instance& target)
{
    if (!target.process)
    {
        return;
    }
    auto const deadline = target.process->next_deadline();
    if (!deadline)
    {
        return;
    }
    auto const left =
        *deadline - local_time(now_, target.started_at, target.clock_rate);
    auto const wait = static_cast<sim_time::rep>(
        static_cast<double>(left.count()) / target.clock_rate);
    auto const due = now_ + std::max(sim_time{1}, sim_time{wait + 1});
    if (target.tick_at && *target.tick_at <= due)
    {
        return;
    }
    target.tick_at = due;
    at(due,
       [this, id = target.key.instance.value(), generation = target.generation,
        due]
       {
           auto& ticked = instances_.at(id);
           if (ticked.generation == generation && ticked.tick_at == due)
           {
               ticked.tick_at.reset();
               deliver(id, generation, tick{});
           }
       });
}

void simulation::resume(std::uint32_t id)
{
    auto& target = instances_.at(id);
    if (!target.paused || now_ < target.paused_until)
    {
        return;
    }
    target.paused = false;
    target.last_paused = now_;
    auto const pending = std::exchange(target.input, {});
    for (auto const& input : pending)
    {
        deliver(id, target.generation, input);
    }
}

void simulation::perform(instance& source, action& order)
{
    if (auto* answer = std::get_if<answer_caller>(&order))
    {
        on_answer(source, *answer);
    }
    else if (auto* started = std::get_if<start_task>(&order))
    {
        send_start(source, *started);
    }
    else if (auto* cancelled = std::get_if<core::cancel_task>(&order))
    {
        send_cancel(source, *cancelled);
    }
    else if (auto* sent = std::get_if<send_to_peer>(&order))
    {
        send(source, *sent);
    }
    else if (auto* wanted = std::get_if<connect_peer>(&order))
    {
        source.wanted_peers.insert(wanted->peer.value());
        dial(source.key.instance.value(), wanted->peer.value(),
             draw_duration(500, 5'000));
    }
    else if (auto* unwanted = std::get_if<disconnect_peer>(&order))
    {
        source.wanted_peers.erase(unwanted->peer.value());
    }
    else if (std::holds_alternative<core::stopped>(order))
    {
        on_stopped(source);
    }
}

void simulation::on_stopped(instance& source)
{
    auto const id = source.key.instance.value();
    if (source.open_starts != 0)
    {
        checks_.fail("graceful_stop", "a stop interrupted running attempts",
                     now_);
    }
    for (auto const& [number, request] : requests_)
    {
        bool const waits = request.instance == id &&
                           request.generation == source.generation &&
                           !request.answered && !request.disconnected &&
                           request.sent_at < source.stopping_since;
        if (waits)
        {
            checks_.fail("graceful_stop", "a stop left a caller unanswered",
                         now_);
        }
    }
    after(sim_time{0},
          [this, id, generation = source.generation]
          {
              if (instances_.at(id).generation == generation)
              {
                  kill(id);
              }
          });
}

void simulation::publish_list()
{
    if (now_ < list_stale_until_)
    {
        at(list_stale_until_,
           [this]
           {
               publish_list();
           });
        return;
    }
    list_.entries.clear();
    for (auto const& [id, known] : instances_)
    {
        if (known.listed)
        {
            auto const address = "10.0.0." + std::to_string(id);
            list_.entries.push_back(
                {listed_kind::entry_instance, id, known.key.domain, known.rack,
                 address, address, 0, known.stopping_since.has_value()});
        }
    }
    for (auto& [id, server] : servers_)
    {
        bool const is_leaving = server.refuses_starts_at.has_value();
        if (is_leaving && !server.listed_leaving_at)
        {
            server.listed_leaving_at = now_;
        }
        list_.entries.push_back({listed_kind::backend_server, id, server.domain,
                                 "", "10.0.1." + std::to_string(id), "",
                                 server.slots, is_leaving});
    }
}

void simulation::read_list(std::uint32_t id, std::uint64_t generation)
{
    auto& reader = instances_.at(id);
    if (reader.generation != generation || !reader.process)
    {
        return;
    }
    if (now_ >= reader.list_unreadable_until && !reader.paused &&
        !list_.entries.empty())
    {
        reader.last_list = now_;
        deliver(id, generation, list_);
    }
    after(draw_duration(400'000, 900'000),
          [this, id, generation]
          {
              read_list(id, generation);
          });
}

} // namespace goldcrestgate::test
