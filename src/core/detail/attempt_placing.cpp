#include "goldcrestgate/core/detail/attempt_control.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

/// Tasks with excluded servers that one placement round may skip, so that they
/// do not block the tasks behind them.
constexpr std::size_t max_skipped_tasks = 16;
/// Typical number of servers excluded for a task: those that permanently
/// refused it, the avoided ones and those of open attempts.
constexpr std::size_t typical_excluded_servers = 8;
/// Interval at which placement of waiting tasks is retried without any other
/// event, as another instance may have freed a slot.
constexpr duration placement_retry_interval = std::chrono::milliseconds{10};
/// A straggler whose hedged attempt lacks budget or a server is reconsidered
/// after this fraction of its expected time.
constexpr double hedge_retry_ratio = 0.5;
constexpr duration min_hedge_delay = std::chrono::milliseconds{1};

using server_list =
    boost::container::small_vector<server_id, typical_excluded_servers>;

task_key key_of(job const& owned_job, std::size_t index)
{
    return {owned_job.id, task_index{static_cast<task_index::rep>(index)}};
}

duration scaled(duration value, double ratio)
{
    auto const ticks = static_cast<double>(value.count()) * ratio;
    return std::max(min_hedge_delay,
                    duration{static_cast<duration::rep>(ticks)});
}

task_demand demand_of(job const& owned_job, job_task const& task,
                      server_list const& excluded, duration waiting_work)
{
    task_demand demand;
    demand.service = owned_job.service;
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

void attempt_control::enqueue(job& owned_job, std::size_t index,
                              event_context& context)
{
    state_.queue.push(make_waiting(owned_job, index, context));
}

void attempt_control::requeue(job& owned_job, std::size_t index,
                              event_context& context)
{
    state_.queue.push_front(make_waiting(owned_job, index, context));
}

waiting_task attempt_control::make_waiting(job const& owned_job,
                                           std::size_t index,
                                           event_context& context) const
{
    waiting_task waiting;
    waiting.task = key_of(owned_job, index);
    waiting.service = owned_job.service;
    waiting.team = owned_job.team;
    waiting.urgency = owned_job.urgency;
    waiting.expected_run_time = state_.router.expected_run_time(
        owned_job.service, owned_job.tasks[index].run_time);
    waiting.deadline = owned_job.deadline;
    waiting.since = context.now;
    waiting.open_in_job = owned_job.open_tasks;
    return waiting;
}

void attempt_control::place_waiting(event_context& context)
{
    bool is_full = false;
    while (!is_full)
    {
        std::optional<waiting_task> const waiting =
            state_.queue.pop(context.now);
        if (!waiting)
        {
            break;
        }
        switch (place(*waiting, state_.queue.work_before(*waiting, context.now),
                      false, context))
        {
        case queue_outcome::dequeued:
            break;
        case queue_outcome::better_to_wait:
            state_.queue.push_front(*waiting);
            is_full = !place_last(context);
            break;
        case queue_outcome::no_capacity:
            skipped_.push_back(*waiting);
            is_full = !has_excluded_servers(waiting->task) ||
                      skipped_.size() >= max_skipped_tasks;
            break;
        }
    }
    while (!skipped_.empty())
    {
        state_.queue.push_front(skipped_.back());
        skipped_.pop_back();
    }
    if (state_.queue.size() > 0 && !state_.is_place_timer_set)
    {
        state_.is_place_timer_set = true;
        state_.timers.add(
            {context.now + placement_retry_interval, timer_kind::place, {}, 0});
    }
}

bool attempt_control::place_last(event_context& context)
{
    // A slow server that would finish the first task too late may still finish
    // the last one before the faster servers have worked through the queue.
    std::optional<waiting_task> const last = state_.queue.last(context.now);
    return last && place(*last, state_.queue.waiting_work(), true, context) ==
                       queue_outcome::dequeued;
}

bool attempt_control::has_excluded_servers(task_key const& key) const
{
    job const* const owned_job = state_.table.find(key.submission);
    job_task const& task = owned_job->tasks[key.task.value()];
    return !task.avoided_servers.empty() || !task.cannot_run_on.empty();
}

attempt_control::queue_outcome
attempt_control::place(waiting_task const& waiting, duration waiting_work,
                       bool is_last, event_context& context)
{
    job* const owned_job = state_.table.find(waiting.task.submission);
    std::size_t const index = waiting.task.task.value();
    bool const is_startable =
        owned_job != nullptr && !owned_job->failure &&
        owned_job->tasks[index].state() == task_state::waiting;
    placement_result const chosen =
        is_startable
            ? choose(*owned_job, owned_job->tasks[index], waiting_work, context)
            : placement_result{cannot_run{}};
    auto const* const none = std::get_if<no_capacity>(&chosen);
    if (none != nullptr)
    {
        return none->better_to_wait ? queue_outcome::better_to_wait
                                    : queue_outcome::no_capacity;
    }
    // The router also returns `cannot_run` when no server is live; only
    // refusals by the servers themselves are permanent.
    auto const* const found = std::get_if<placement>(&chosen);
    bool const is_refused = is_startable && found == nullptr;
    if (is_refused && owned_job->tasks[index].cannot_run_on.empty())
    {
        return queue_outcome::no_capacity;
    }
    if (is_last)
    {
        state_.queue.pop_last(context.now);
    }
    if (found != nullptr)
    {
        begin_attempt(*owned_job, index, *found, false, context);
    }
    else if (is_refused)
    {
        end_without_retry(*owned_job, index, error_code::cannot_run,
                          "all servers permanently refused the task", context);
    }
    return queue_outcome::dequeued;
}

placement_result attempt_control::choose(job const& owned_job,
                                         job_task const& task,
                                         duration waiting_work,
                                         event_context& context)
{
    server_list excluded(task.cannot_run_on.begin(), task.cannot_run_on.end());
    if (!task.avoided_servers.empty() || !task.open.empty())
    {
        server_list all = excluded;
        all.insert(all.end(), task.avoided_servers.begin(),
                   task.avoided_servers.end());
        for (task_attempt const& attempt : task.open)
        {
            all.push_back(attempt.server);
        }
        placement_result const chosen = state_.router.place(
            demand_of(owned_job, task, all, waiting_work), context.now);
        bool const try_avoided =
            task.open.empty() && !std::holds_alternative<placement>(chosen);
        if (!try_avoided)
        {
            return chosen;
        }
    }
    return state_.router.place(
        demand_of(owned_job, task, excluded, waiting_work), context.now);
}

void attempt_control::begin_attempt(job& owned_job, std::size_t index,
                                    placement const& chosen, bool is_hedge,
                                    event_context& context)
{
    job_task& task = owned_job.tasks[index];
    task_attempt attempt;
    attempt.number = ++task.attempts;
    attempt.server = chosen.server;
    attempt.since = context.now;
    attempt.expected = chosen.expected;
    attempt.is_hedge = is_hedge;
    task.open.push_back(attempt);
    ++owned_job.open_attempts;
    ++state_.counts.open_attempts;
    auto const known = state_.servers.find(chosen.server);
    if (known != state_.servers.end())
    {
        ++known->second.open_attempts;
    }
    state_.router.task_started(chosen.server, owned_job.service, task.run_time,
                               context.now);
    state_.queue.task_running(owned_job.team, owned_job.urgency);
    task.move_to(task_state::recording);
    if (attempt.number == 1)
    {
        ++state_.counts.first_starts;
        state_.budget.record_first_start(
            owned_job.service, state_.settings->policy(owned_job.service));
    }
    record_placement(key_of(owned_job, index), chosen,
                     is_hedge ? decision_kind::hedge : decision_kind::place,
                     context);
    state_.chain.record(task_starting_record{key_of(owned_job, index),
                                             attempt.number, attempt.server});
    if (state_.options.defects.starts_before_copies)
    {
        send_attempt(owned_job, index, task.open.back(), context);
    }
}

void attempt_control::send_released(attempt_released const& released,
                                    event_context& context)
{
    job* const owned_job = state_.table.find(released.task.submission);
    if (owned_job == nullptr)
    {
        return;
    }
    std::size_t const index = released.task.task.value();
    job_task& task = owned_job->tasks[index];
    task_attempt* const attempt = task.find_attempt(released.attempt);
    if (attempt == nullptr || attempt->is_sent || is_final(task.state()))
    {
        return;
    }
    auto const known = state_.servers.find(attempt->server);
    bool const accepts_starts = known != state_.servers.end() &&
                                (!known->second.listed.leaving ||
                                 state_.options.defects.ignores_leaving);
    if (accepts_starts)
    {
        send_attempt(*owned_job, index, *attempt, context);
        return;
    }
    // The server was marked as leaving or removed while the start record was on
    // its way to the copies.
    attempt->is_sent = true;
    ++task.starts;
    core::attempt_ended ended;
    ended.task = released.task;
    ended.attempt = released.attempt;
    ended.server = attempt->server;
    ended.outcome = task_outcome::not_sent;
    handle_attempt_end(std::move(ended), context);
}

void attempt_control::send_attempt(job& owned_job, std::size_t index,
                                   task_attempt& attempt,
                                   event_context& context)
{
    job_task& task = owned_job.tasks[index];
    attempt.is_sent = true;
    attempt.since = context.now;
    ++task.starts;
    task.move_to(task_state::running);
    service_policy const& policy = state_.settings->policy(owned_job.service);
    context.out.emplace_back(start_task{
        attempt.server, key_of(owned_job, index), attempt.number,
        owned_job.service_path, task.payload, policy.attempt_timeout});
    bool const may_hedge = task.is_repeatable && !attempt.is_hedge &&
                           policy.hedge_budget_ratio > 0;
    if (may_hedge)
    {
        arm_hedge(owned_job, index, attempt,
                  scaled(attempt.expected, policy.hedge_after_ratio));
    }
}

void attempt_control::record_placement(task_key const& key,
                                       placement const& chosen,
                                       decision_kind kind,
                                       event_context& context)
{
    record_decision decision;
    decision.kind = kind;
    decision.task = key;
    decision.server = chosen.server;
    decision.score = chosen.expected;
    decision.runner_up = chosen.runner_up;
    decision.runner_up_score = chosen.runner_up_expected;
    decision.reason = chosen.reason;
    state_.record(decision, context);
}

void attempt_control::arm_hedge(job const& owned_job, std::size_t index,
                                task_attempt const& attempt, duration delay)
{
    state_.timers.add({attempt.since + delay, timer_kind::hedge,
                       key_of(owned_job, index), attempt.number});
}

void attempt_control::hedge_due(timer const& entry, event_context& context)
{
    job* const owned_job = state_.table.find(entry.task.submission);
    bool const is_over = owned_job == nullptr || owned_job->failure ||
                         owned_job->starts_forbidden ||
                         context.now >= owned_job->deadline;
    if (is_over)
    {
        return;
    }
    std::size_t const index = entry.task.task.value();
    job_task& task = owned_job->tasks[index];
    task_attempt* const attempt = task.find_attempt(entry.attempt);
    service_policy const& policy = state_.settings->policy(owned_job->service);
    bool const is_straggler = attempt != nullptr && task.open.size() == 1 &&
                              task.state() == task_state::running &&
                              task.starts < policy.max_attempts;
    if (!is_straggler)
    {
        return;
    }
    if (state_.budget.has_hedge(owned_job->service))
    {
        placement_result const chosen =
            choose(*owned_job, task, duration::zero(), context);
        if (auto const* const found = std::get_if<placement>(&chosen))
        {
            state_.budget.take_hedge(owned_job->service);
            ++state_.counts.hedges;
            begin_attempt(*owned_job, index, *found, true, context);
            return;
        }
    }
    state_.timers.add(
        {context.now + scaled(attempt->expected, hedge_retry_ratio),
         timer_kind::hedge, entry.task, entry.attempt});
}

} // namespace goldcrestgate::core::detail
