#include "goldcrestgate/core/detail/attempt_control.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

/// Tasks with excluded servers that are passed over in one round, so that they
/// do not hold up the tasks behind them.
constexpr std::size_t most_set_aside = 16;
/// Servers that a task names as excluded: those that refused it for good, the
/// avoided ones and those of open attempts.
constexpr std::size_t usual_excluded = 8;
/// Time after which waiting tasks are offered to the router again without any
/// other event, as another instance may have freed a slot.
constexpr duration place_interval = std::chrono::milliseconds{10};
/// A straggler without a token or a server for its second copy is looked at
/// again after this share of its expected time.
constexpr double hedge_again_ratio = 0.5;
constexpr duration shortest_hedge_delay = std::chrono::milliseconds{1};

using server_list = boost::container::small_vector<server_id, usual_excluded>;

task_key key_of(job const& held, std::size_t index)
{
    return {held.id, task_index{static_cast<task_index::rep>(index)}};
}

duration scaled(duration value, double ratio)
{
    auto const ticks = static_cast<double>(value.count()) * ratio;
    return std::max(shortest_hedge_delay,
                    duration{static_cast<duration::rep>(ticks)});
}

task_demand demand_of(job const& held, job_task const& task,
                      server_list const& excluded, duration waiting_work)
{
    task_demand demand;
    demand.service = held.service;
    demand.declared_run_time = task.run_time;
    demand.repeatable = task.is_repeatable;
    demand.waiting_work = waiting_work;
    demand.excluded = {excluded.data(), excluded.size()};
    return demand;
}

} // namespace

attempt_control::attempt_control(dispatcher_state& state,
                                 job_completion& completion)
    : state_(state)
    , completion_(completion)
{
}

void attempt_control::enqueue(job& held, std::size_t index, turn& now)
{
    state_.queue.push(make_waiting(held, index, now));
}

void attempt_control::enqueue_again(job& held, std::size_t index, turn& now)
{
    state_.queue.push_front(make_waiting(held, index, now));
}

waiting_task attempt_control::make_waiting(job const& held, std::size_t index,
                                           turn& now) const
{
    waiting_task waiting;
    waiting.task = key_of(held, index);
    waiting.service = held.service;
    waiting.team = held.team;
    waiting.urgency = held.urgency;
    waiting.expected_run_time = state_.router.expected_run_time(
        held.service, held.tasks[index].run_time);
    waiting.deadline = held.deadline;
    waiting.since = now.now;
    waiting.open_in_job = held.open_tasks;
    return waiting;
}

void attempt_control::place_waiting(turn& now)
{
    bool is_full = false;
    while (!is_full)
    {
        std::optional<waiting_task> const waiting = state_.queue.pop(now.now);
        if (!waiting)
        {
            break;
        }
        switch (place(*waiting, state_.queue.work_before(*waiting, now.now),
                      false, now))
        {
        case placing::ended:
            break;
        case placing::better_to_wait:
            state_.queue.push_front(*waiting);
            is_full = !place_last(now);
            break;
        case placing::no_capacity:
            set_aside_.push_back(*waiting);
            is_full = !has_excluded(waiting->task) ||
                      set_aside_.size() >= most_set_aside;
            break;
        }
    }
    while (!set_aside_.empty())
    {
        state_.queue.push_front(set_aside_.back());
        set_aside_.pop_back();
    }
    if (state_.queue.size() > 0 && !state_.place_timer_is_set)
    {
        state_.place_timer_is_set = true;
        state_.timers.add({now.now + place_interval, timer_kind::place, {}, 0});
    }
}

bool attempt_control::place_last(turn& now)
{
    // A slow server that is of no use to the first task may still finish the
    // last one before the faster servers have worked through the queue.
    std::optional<waiting_task> const last = state_.queue.last(now.now);
    return last && place(*last, state_.queue.waiting_work(), true, now) ==
                       placing::ended;
}

bool attempt_control::has_excluded(task_key const& key) const
{
    job const* const held = state_.table.find(key.submission);
    job_task const& task = held->tasks[key.task.value()];
    return !task.avoided.empty() || !task.cannot_run_on.empty();
}

attempt_control::placing attempt_control::place(waiting_task const& waiting,
                                                duration waiting_work,
                                                bool is_last, turn& now)
{
    job* const held = state_.table.find(waiting.task.submission);
    std::size_t const index = waiting.task.task.value();
    bool const is_startable = held != nullptr && !held->failure &&
                              held->tasks[index].state() == task_state::waiting;
    placement_result const chosen =
        is_startable ? choose(*held, held->tasks[index], waiting_work, now)
                     : placement_result{cannot_run{}};
    auto const* const none = std::get_if<no_capacity>(&chosen);
    if (none != nullptr)
    {
        return none->better_to_wait ? placing::better_to_wait
                                    : placing::no_capacity;
    }
    // The router also says `cannot_run` when no server is live; only refusals
    // by the servers themselves are final.
    auto const* const found = std::get_if<placement>(&chosen);
    bool const is_refused = is_startable && found == nullptr;
    if (is_refused && held->tasks[index].cannot_run_on.empty())
    {
        return placing::no_capacity;
    }
    if (is_last)
    {
        state_.queue.pop_last(now.now);
    }
    if (found != nullptr)
    {
        begin_attempt(*held, index, *found, false, now);
    }
    else if (is_refused)
    {
        give_up(*held, index, error_code::cannot_run,
                "all servers refused the task for good", now);
    }
    return placing::ended;
}

placement_result attempt_control::choose(job const& held, job_task const& task,
                                         duration waiting_work, turn& now)
{
    server_list excluded(task.cannot_run_on.begin(), task.cannot_run_on.end());
    if (!task.avoided.empty() || !task.open.empty())
    {
        server_list all = excluded;
        all.insert(all.end(), task.avoided.begin(), task.avoided.end());
        for (task_attempt const& attempt : task.open)
        {
            all.push_back(attempt.server);
        }
        placement_result const chosen = state_.router.place(
            demand_of(held, task, all, waiting_work), now.now);
        bool const try_avoided =
            task.open.empty() && !std::holds_alternative<placement>(chosen);
        if (!try_avoided)
        {
            return chosen;
        }
    }
    return state_.router.place(demand_of(held, task, excluded, waiting_work),
                               now.now);
}

void attempt_control::begin_attempt(job& held, std::size_t index,
                                    placement const& chosen, bool is_hedge,
                                    turn& now)
{
    job_task& task = held.tasks[index];
    task_attempt attempt;
    attempt.number = ++task.attempts;
    attempt.server = chosen.server;
    attempt.since = now.now;
    attempt.expected = chosen.expected;
    attempt.is_hedge = is_hedge;
    task.open.push_back(attempt);
    ++held.open_attempts;
    ++state_.counts.open_attempts;
    auto const known = state_.servers.find(chosen.server);
    if (known != state_.servers.end())
    {
        ++known->second.open_attempts;
    }
    state_.router.task_started(chosen.server, held.service, task.run_time,
                               now.now);
    state_.queue.task_running(held.team, held.urgency);
    task.move_to(task_state::recording);
    if (attempt.number == 1)
    {
        ++state_.counts.first_starts;
        state_.budget.record_first_start(held.service,
                                         state_.settings->policy(held.service));
    }
    record_placement(key_of(held, index), chosen,
                     is_hedge ? decision_kind::hedge : decision_kind::place,
                     now);
    state_.chain.record(task_starting_record{key_of(held, index),
                                             attempt.number, attempt.server});
    if (state_.options.broken.starts_before_copies)
    {
        send_attempt(held, index, task.open.back(), now);
    }
}

void attempt_control::released(attempt_released const& released, turn& now)
{
    job* const held = state_.table.find(released.task.submission);
    if (held == nullptr)
    {
        return;
    }
    std::size_t const index = released.task.task.value();
    job_task& task = held->tasks[index];
    task_attempt* const attempt = task.find_attempt(released.attempt);
    if (attempt == nullptr || attempt->is_sent || is_final(task.state()))
    {
        return;
    }
    auto const known = state_.servers.find(attempt->server);
    bool const accepts_starts = known != state_.servers.end() &&
                                (!known->second.listed.leaving ||
                                 state_.options.broken.ignores_leaving);
    if (accepts_starts)
    {
        send_attempt(*held, index, *attempt, now);
        return;
    }
    // The server began to leave while the start record went to the copies.
    attempt->is_sent = true;
    ++task.starts;
    core::attempt_ended ended;
    ended.task = released.task;
    ended.attempt = released.attempt;
    ended.server = attempt->server;
    ended.outcome = task_outcome::not_sent;
    attempt_ended(std::move(ended), now);
}

void attempt_control::send_attempt(job& held, std::size_t index,
                                   task_attempt& attempt, turn& now)
{
    job_task& task = held.tasks[index];
    attempt.is_sent = true;
    attempt.since = now.now;
    ++task.starts;
    task.move_to(task_state::running);
    service_policy const& policy = state_.settings->policy(held.service);
    now.out.emplace_back(start_task{attempt.server, key_of(held, index),
                                    attempt.number, held.service_path,
                                    task.payload, policy.attempt_timeout});
    bool const may_hedge = task.is_repeatable && !attempt.is_hedge &&
                           policy.hedge_budget_ratio > 0;
    if (may_hedge)
    {
        arm_hedge(held, index, attempt,
                  scaled(attempt.expected, policy.hedge_after_ratio));
    }
}

void attempt_control::record_placement(task_key const& key,
                                       placement const& chosen,
                                       decision_kind kind, turn& now)
{
    record_decision decision;
    decision.kind = kind;
    decision.task = key;
    decision.server = chosen.server;
    decision.score = chosen.expected;
    decision.runner_up = chosen.runner_up;
    decision.runner_up_score = chosen.runner_up_expected;
    decision.reason = chosen.reason;
    state_.record(decision, now);
}

void attempt_control::arm_hedge(job const& held, std::size_t index,
                                task_attempt const& attempt, duration delay)
{
    state_.timers.add({attempt.since + delay, timer_kind::hedge,
                       key_of(held, index), attempt.number});
}

void attempt_control::hedge_due(timer const& entry, turn& now)
{
    job* const held = state_.table.find(entry.task.submission);
    bool const is_over = held == nullptr || held->failure ||
                         held->starts_barred || now.now >= held->deadline;
    if (is_over)
    {
        return;
    }
    std::size_t const index = entry.task.task.value();
    job_task& task = held->tasks[index];
    task_attempt* const attempt = task.find_attempt(entry.attempt);
    service_policy const& policy = state_.settings->policy(held->service);
    bool const is_straggler = attempt != nullptr && task.open.size() == 1 &&
                              task.state() == task_state::running &&
                              task.starts < policy.max_attempts;
    if (!is_straggler)
    {
        return;
    }
    if (state_.budget.has_hedge(held->service))
    {
        placement_result const chosen =
            choose(*held, task, duration::zero(), now);
        if (auto const* const found = std::get_if<placement>(&chosen))
        {
            state_.budget.take_hedge(held->service);
            ++state_.counts.hedges;
            begin_attempt(*held, index, *found, true, now);
            return;
        }
    }
    state_.timers.add({now.now + scaled(attempt->expected, hedge_again_ratio),
                       timer_kind::hedge, entry.task, entry.attempt});
}

} // namespace goldcrestgate::core::detail
