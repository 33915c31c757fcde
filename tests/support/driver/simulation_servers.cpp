// Backend servers of the simulation.

#include "support/driver/simulation.hpp"

#include <chrono>
#include <utility>

namespace goldcrestgate::test
{

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

constexpr sim_time leaving_limit = 3s;

std::uint32_t body_of(std::string const& payload)
{
    return payload.find("other") == std::string::npos ? 0 : 1;
}

bool is_poison(std::string const& payload)
{
    return payload.find("poison") != std::string::npos;
}

} // namespace

void simulation::send_start(instance& source, start_task const& order)
{
    ++counts_.starts;
    ++source.open_starts;
    checks_.start_sent(source.key, order, body_of(order.payload), now_);
    auto const id = source.key.instance.value();
    auto const& server = servers_.at(order.server.value());
    auto const timeout = std::chrono::duration_cast<sim_time>(order.timeout);
    report_attempt_end(id, source.generation, order, task_outcome::lost,
                       timeout);
    if (server.is_down(now_))
    {
        report_attempt_end(id, source.generation, order, task_outcome::not_sent,
                           draw_duration(200, 900));
        return;
    }
    if (!draw_chance(plan_.start_loss))
    {
        after(draw_duration(200, 1'500),
              [this, id, generation = source.generation, order,
               past_leaving_limit = is_past_leaving_limit(server, source)]
              {
                  receive_start(id, generation, order, past_leaving_limit);
              });
    }
}

void simulation::receive_start(std::uint32_t id, std::uint64_t generation,
                               start_task const& order, bool past_leaving_limit)
{
    auto& server = servers_.at(order.server.value());
    if (server.is_down(now_))
    {
        report_attempt_end(id, generation, order, task_outcome::lost,
                           draw_duration(200, 900));
        return;
    }
    if (auto const refusal = server.refuse(is_poison(order.payload), now_))
    {
        report_attempt_end(id, generation, order, *refusal,
                           draw_duration(200, 900));
        return;
    }
    ++counts_.runs;
    auto const run = ++last_run_;
    server.running[{order.task, order.attempt}] = run;
    checks_.run_started(order.task, past_leaving_limit, now_);
    bool const is_long = plan_.long_tasks || draw_chance(120);
    auto const work = is_long ? draw_duration(800'000, 1'900'000)
                              : draw_duration(20'000, 400'000);
    after(work,
          [this, id, generation, order, run]
          {
              finish_run(id, generation, order, run);
          });
}

bool simulation::is_past_leaving_limit(fake_server const& server,
                                       instance const& sender) const
{
    // An instance that cannot read the list learns that a server is leaving
    // only from its refusal.
    return server.listed_leaving_at &&
           now_ > *server.listed_leaving_at + leaving_limit &&
           sender.last_list >= *server.listed_leaving_at;
}

void simulation::finish_run(std::uint32_t id, std::uint64_t generation,
                            start_task const& order, std::uint64_t run)
{
    auto& server = servers_.at(order.server.value());
    auto const found = server.running.find({order.task, order.attempt});
    if (found == server.running.end() || found->second != run)
    {
        return;
    }
    server.running.erase(found);
    auto const outcome = now_ < server.failing_until ? task_outcome::failed
                                                     : task_outcome::succeeded;
    checks_.run_ended(order.task, outcome);
    if (!draw_chance(plan_.start_loss))
    {
        report_attempt_end(id, generation, order, outcome,
                           draw_duration(200, 1'500));
    }
}

void simulation::send_cancel(instance& source, core::cancel_task const& order)
{
    after(draw_duration(200, 1'500),
          [this, id = source.key.instance.value(),
           generation = source.generation, order]
          {
              auto& server = servers_.at(order.server.value());
              if (server.running.erase({order.task, order.attempt}) != 0)
              {
                  start_task ended;
                  ended.server = order.server;
                  ended.task = order.task;
                  ended.attempt = order.attempt;
                  report_attempt_end(id, generation, ended,
                                     task_outcome::cancelled,
                                     draw_duration(200, 900));
              }
          });
}

void simulation::report_attempt_end(std::uint32_t id, std::uint64_t generation,
                                    start_task const& order,
                                    task_outcome outcome, sim_time delay)
{
    attempt_ended ended;
    ended.task = order.task;
    ended.attempt = order.attempt;
    ended.server = order.server;
    ended.outcome = outcome;
    if (outcome == task_outcome::succeeded)
    {
        ended.body = guarantee_checks::result_of(order.task);
        ended.work_time = 100ms;
    }
    after(delay,
          [this, id, generation, ended = std::move(ended)]
          {
              auto& owner = instances_.at(id);
              if (owner.generation != generation || !owner.process ||
                  !reported_ends_.emplace(ended.task, ended.attempt).second)
              {
                  return;
              }
              --owner.open_starts;
              if (ended.outcome == task_outcome::succeeded && !owner.paused)
              {
                  checks_.result_received(ended.task, now_);
              }
              deliver(id, generation, ended);
          });
}

void simulation::crash_server(fake_server& server, sim_time span)
{
    server.down_until = now_ + span;
    for (auto const& [key, run] : std::exchange(server.running, {}))
    {
        start_task order;
        order.server = server.id;
        order.task = key.first;
        order.attempt = key.second;
        auto const owner = key.first.submission.owner.instance.value();
        report_attempt_end(owner, instances_.at(owner).generation, order,
                           task_outcome::lost, draw_duration(1'000, 50'000));
    }
}

} // namespace goldcrestgate::test
