#include "support/executor_fleet.hpp"

#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"

#include <algorithm>
#include <iterator>
#include <memory>

namespace goldcrestgate::tests
{

namespace
{

using namespace core;
using std::chrono::milliseconds;

constexpr duration longest_lease = milliseconds{1000};
constexpr duration stop_time = milliseconds{30};

/// Time from the start of a task that crashes its executor to the crash.
constexpr duration crash_delay = milliseconds{5};

} // namespace

void executor_fleet::renew_lease(simulated_executor& target,
                                 executor_clock lease_until)
{
    auto const longest = detail::scale_duration(
        longest_lease, 1.0 / target.behaviour.clock_rate);
    target.lease_until =
        std::max(target.lease_until,
                 std::min(to_time(target, lease_until), now_ + longest));
}

std::optional<duration> executor_fleet::late_delay(std::optional<duration> set,
                                                   order_kind kind) const
{
    return !set && late_order ? late_order(kind) : set;
}

void executor_fleet::count_start(start_run const& order, bool late)
{
    for (auto const& [id, other] : executors_)
    {
        for (auto const& run : other.runs)
        {
            if (run.run.task != order.run.task)
            {
                continue;
            }
            ++duplicate_runs;
            duplicate_runs_of_late_starts += late || run.started_late ? 1 : 0;
        }
    }
    starts_after_end += acknowledged_as_done_.count(order.run.task);
    starts_after_leased_end += acknowledged_with_lease_.count(order.run.task);
    ++starts_[order.run.task.job];
}

order_outcome executor_fleet::start(simulated_executor& target,
                                    start_run const& order, bool late)
{
    if (order.token.value() < target.token)
    {
        return order_outcome::fenced;
    }
    target.token = order.token.value();
    if (to_time(target, order.lease_until) <= now_)
    {
        return order_outcome::lease_expired;
    }
    renew_lease(target, order.lease_until);
    bool const is_there = std::ranges::any_of(target.runs,
                                              [&order](simulated_run const& run)
                                              {
                                                  return run.run == order.run;
                                              });
    if (is_there)
    {
        return order_outcome::accepted;
    }
    auto const ended = target.highest_ended.find(order.run.task);
    if (ended != target.highest_ended.end() &&
        ended->second >= order.run.execution)
    {
        return order_outcome::stale_execution;
    }
    auto used = millicores(order.run.task.job);
    for (auto const& run : target.runs)
    {
        used += millicores(run.run.task.job);
    }
    if (used > target.description.capacity.cpu_millicores)
    {
        if (!target.behaviour.ignores_capacity)
        {
            ++capacity_refusals;
            return order_outcome::no_room;
        }
        ++starts_over_capacity;
    }
    count_start(order, late);
    auto const total = run_time(target, order.run.task);
    auto const ends = target.behaviour.hangs ? time_point::max() : now_ + total;
    target.runs.push_back({order.run, now_, ends, total, late});
    auto& history = histories_[order.run.task];
    constexpr std::size_t crash_limit = 3;
    history.starts_after_third_crash += history.crashes >= crash_limit ? 1 : 0;
    if (crashing_tasks_.contains(order.run.task))
    {
        schedule(crash_delay,
                 [this, id = order.executor]
                 {
                     crash(id);
                 });
    }
    return order_outcome::accepted;
}

void executor_fleet::order(start_run const& order, order_callback const& answer)
{
    auto& target = target_of(order.executor);
    auto const answer_with_timeout = [this, order, answer]
    {
        schedule(order.timeout,
                 [order, answer]
                 {
                     answer({order.order, order.executor, order.run,
                             order_outcome::unanswered, std::nullopt});
                 });
    };
    if (auto const delay =
            late_delay(target.behaviour.start_delay, order_kind::start))
    {
        schedule(*delay,
                 [this, order, late = *delay > order.timeout, &target]
                 {
                     if (!target.down)
                     {
                         static_cast<void>(start(target, order, late));
                     }
                 });
        answer_with_timeout();
        return;
    }
    if (drops_order() || target.behaviour.unreachable || target.down)
    {
        answer_with_timeout();
        return;
    }
    schedule(one_way_latency,
             [this, order, answer, answer_with_timeout, &target]
             {
                 if (target.behaviour.unreachable || target.down)
                 {
                     answer_with_timeout();
                     return;
                 }
                 auto const outcome = is_replaced(target, order.executor)
                                          ? order_outcome::other_incarnation
                                          : start(target, order, false);
                 auto const read = clock(target);
                 schedule(one_way_latency,
                          [order, answer, outcome, read]
                          {
                              answer({order.order, order.executor, order.run,
                                      outcome, read});
                          });
             });
}

order_outcome executor_fleet::stop(simulated_executor& target,
                                   stop_run const& order)
{
    if (order.token.value() < target.token)
    {
        return order_outcome::fenced;
    }
    target.token = order.token.value();
    auto& highest = target.highest_ended[order.run.task];
    highest = std::max(highest, order.run.execution);
    auto const process = target.description.incarnation;
    schedule(stop_time,
             [this, order, process, &target]
             {
                 if (target.description.incarnation == process)
                 {
                     end_run(target, order.run, run_end::stopped);
                 }
             });
    return order_outcome::accepted;
}

void executor_fleet::order(stop_run const& order, order_callback const& answer)
{
    auto& target = target_of(order.executor);
    auto const answer_with_timeout = [this, order, answer]
    {
        schedule(order.timeout,
                 [order, answer]
                 {
                     answer({order.order, order.executor, order.run,
                             order_outcome::unanswered, std::nullopt});
                 });
    };
    if (auto const delay =
            late_delay(target.behaviour.stop_delay, order_kind::stop))
    {
        schedule(*delay,
                 [this, order, &target]
                 {
                     if (!target.down)
                     {
                         static_cast<void>(stop(target, order));
                     }
                 });
        answer_with_timeout();
        return;
    }
    if (drops_order() || target.behaviour.unreachable || target.down)
    {
        answer_with_timeout();
        return;
    }
    schedule(one_way_latency,
             [this, order, answer, answer_with_timeout, &target]
             {
                 if (target.down)
                 {
                     answer_with_timeout();
                     return;
                 }
                 auto const outcome = superseded_.contains(order.executor)
                                          ? order_outcome::other_incarnation
                                          : stop(target, order);
                 answer({order.order, order.executor, order.run, outcome,
                         clock(target)});
             });
}

bool executor_fleet::drops_order()
{
    ++orders_sent;
    return drop_every_nth_order > 0 && orders_sent % drop_every_nth_order == 0;
}

bool executor_fleet::is_replaced(simulated_executor const& target,
                                 executor_id id) const
{
    return target.behaviour.replaced || superseded_.contains(id);
}

void executor_fleet::receive_poll(simulated_executor& target,
                                  poll_executor const& order)
{
    if (is_replaced(target, order.executor) ||
        order.token.value() < target.token)
    {
        return;
    }
    if (order.lease_until)
    {
        renew_lease(target, *order.lease_until);
    }
    std::erase_if(target.finished,
                  [this, &order, &target](finished_run const& run)
                  {
                      bool const forgotten = run.number <= order.acknowledged;
                      if (forgotten && run.end == run_end::done)
                      {
                          acknowledged_as_done_.insert(run.run.task);
                          if (target.lease_expired_at <
                              target.ended_at.at(run.number))
                          {
                              acknowledged_with_lease_.insert(run.run.task);
                          }
                      }
                      return forgotten;
                  });
}

poll_answer executor_fleet::handle_poll(simulated_executor& target,
                                        poll_executor const& order)
{
    poll_answer answer;
    answer.order = order.order;
    answer.executor = order.executor;
    if (is_replaced(target, order.executor))
    {
        answer.outcome = order_outcome::other_incarnation;
        return answer;
    }
    answer.clock = clock(target);
    answer.incarnation = target.description.incarnation;
    if (order.token.value() < target.token)
    {
        answer.outcome = order_outcome::fenced;
        return answer;
    }
    target.token = order.token.value();
    answer.outcome = order_outcome::accepted;
    for (auto const& run : target.runs)
    {
        double const percent =
            target.behaviour.hangs
                ? 0.0
                : 100.0 * static_cast<double>((now_ - run.started).count()) /
                      static_cast<double>(run.total.count());
        answer.running.push_back(
            {run.run, static_cast<std::uint32_t>(std::min(percent, 99.0))});
    }
    if (target.behaviour.rows_unreadable)
    {
        answer.complete = answer.running.empty();
        answer.running.clear();
    }
    std::ranges::copy_if(target.finished, std::back_inserter(answer.finished),
                         [&order](finished_run const& run)
                         {
                             return run.number > order.acknowledged;
                         });
    return answer;
}

void executor_fleet::order(poll_executor const& order,
                           poll_callback const& answer)
{
    auto& target = target_of(order.executor);
    auto const done = std::make_shared<bool>(false);
    schedule(order.timeout,
             [order, answer, done]
             {
                 if (!std::exchange(*done, true))
                 {
                     poll_answer timeout_answer;
                     timeout_answer.order = order.order;
                     timeout_answer.executor = order.executor;
                     timeout_answer.outcome = order_outcome::unanswered;
                     answer(timeout_answer);
                 }
             });
    if (auto const delay =
            late_delay(target.behaviour.poll_delay, order_kind::poll))
    {
        schedule(*delay,
                 [this, order, &target]
                 {
                     if (!target.down)
                     {
                         receive_poll(target, order);
                         static_cast<void>(handle_poll(target, order));
                     }
                 });
        return;
    }
    if (drops_order() || target.behaviour.unreachable || target.down)
    {
        return;
    }
    auto const reply = [this, order, answer, done, &target]
    {
        auto const found = handle_poll(target, order);
        schedule(one_way_latency + target.behaviour.poll_answer_delay,
                 [answer, done, found, &target]
                 {
                     if (!target.behaviour.unreachable &&
                         !std::exchange(*done, true))
                     {
                         answer(found);
                     }
                 });
    };
    schedule(one_way_latency,
             [this, order, reply, &target]
             {
                 if (target.down)
                 {
                     return;
                 }
                 receive_poll(target, order);
                 auto const found = handle_poll(target, order);
                 if (order.wait <= duration{} || !found.finished.empty() ||
                     found.outcome != order_outcome::accepted)
                 {
                     reply();
                     return;
                 }
                 target.waiting_polls.emplace_back(reply);
                 auto const process = target.description.incarnation;
                 schedule(order.wait,
                          [reply, process, &target]
                          {
                              if (target.description.incarnation == process &&
                                  !target.down)
                              {
                                  reply();
                              }
                          });
             });
}

} // namespace goldcrestgate::tests
