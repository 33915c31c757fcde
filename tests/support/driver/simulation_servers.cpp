// The backend servers of a run.

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

void world::start(instance& source, start_task const& order)
{
    ++counts_.starts;
    ++source.open_starts;
    checks_.start_sent(source.key, order, body_of(order.payload), now_);
    auto const id = source.key.instance.value();
    auto const& server = servers_.at(order.server.value());
    auto const timeout = std::chrono::duration_cast<sim_time>(order.timeout);
    end_attempt(id, source.life, order, task_outcome::lost, timeout);
    if (server.is_dead(now_))
    {
        end_attempt(id, source.life, order, task_outcome::not_sent,
                    draw_ms(200, 900));
        return;
    }
    if (!draw_chance(plan_.start_loss))
    {
        after(draw_ms(200, 1'500),
              [this, id, life = source.life, order,
               late = starts_too_late(server, source)]
              {
                  arrive(id, life, order, late);
              });
    }
}

void world::arrive(std::uint32_t id, std::uint64_t life,
                   start_task const& order, bool late)
{
    auto& server = servers_.at(order.server.value());
    if (server.is_dead(now_))
    {
        end_attempt(id, life, order, task_outcome::lost, draw_ms(200, 900));
        return;
    }
    if (auto const refusal = server.refuse(is_poison(order.payload), now_))
    {
        end_attempt(id, life, order, *refusal, draw_ms(200, 900));
        return;
    }
    ++counts_.runs;
    auto const run = ++runs_;
    server.running[{order.task, order.attempt}] = run;
    checks_.task_ran(order.task, late, now_);
    bool const is_long = plan_.slow || draw_chance(120);
    auto const work =
        is_long ? draw_ms(800'000, 1'900'000) : draw_ms(20'000, 400'000);
    after(work,
          [this, id, life, order, run]
          {
              finish(id, life, order, run);
          });
}

bool world::starts_too_late(fake_server const& server,
                            instance const& sender) const
{
    // An instance that cannot read the list learns it from the refusal only.
    return server.listed_leaving_at &&
           now_ > *server.listed_leaving_at + leaving_limit &&
           sender.last_list >= *server.listed_leaving_at;
}

void world::finish(std::uint32_t id, std::uint64_t life,
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
        end_attempt(id, life, order, outcome, draw_ms(200, 1'500));
    }
}

void world::cancel(instance& source, core::cancel_task const& order)
{
    after(draw_ms(200, 1'500),
          [this, id = source.key.instance.value(), life = source.life, order]
          {
              auto& server = servers_.at(order.server.value());
              if (server.running.erase({order.task, order.attempt}) != 0)
              {
                  start_task ended;
                  ended.server = order.server;
                  ended.task = order.task;
                  ended.attempt = order.attempt;
                  end_attempt(id, life, ended, task_outcome::cancelled,
                              draw_ms(200, 900));
              }
          });
}

void world::end_attempt(std::uint32_t id, std::uint64_t life,
                        start_task const& order, task_outcome outcome,
                        sim_time delay)
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
          [this, id, life, ended = std::move(ended)]
          {
              auto& owner = instances_.at(id);
              if (owner.life != life || !owner.process ||
                  !ended_.emplace(ended.task, ended.attempt).second)
              {
                  return;
              }
              --owner.open_starts;
              if (ended.outcome == task_outcome::succeeded && !owner.paused)
              {
                  checks_.result_arrived(ended.task, now_);
              }
              give(id, life, ended);
          });
}

void world::crash_server(fake_server& server, sim_time span)
{
    server.dead_until = now_ + span;
    for (auto const& [key, run] : std::exchange(server.running, {}))
    {
        start_task order;
        order.server = server.id;
        order.task = key.first;
        order.attempt = key.second;
        auto const owner = key.first.submission.owner.instance.value();
        end_attempt(owner, instances_.at(owner).life, order, task_outcome::lost,
                    draw_ms(1'000, 50'000));
    }
}

} // namespace goldcrestgate::test
