#include "goldcrestgate/core/leasing/detail/order_timing.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::core
{

std::string_view outcome_name(order_outcome outcome)
{
    switch (outcome)
    {
    case order_outcome::accepted:
        return "accepted";
    case order_outcome::fenced:
        return "fenced";
    case order_outcome::stale_execution:
        return "stale_execution";
    case order_outcome::lease_expired:
        return "lease_expired";
    case order_outcome::no_room:
        return "no_room";
    case order_outcome::invalid:
        return "invalid";
    case order_outcome::unhealthy:
        return "unhealthy";
    case order_outcome::other_incarnation:
        return "other_incarnation";
    case order_outcome::not_sent:
        return "not_sent";
    case order_outcome::unanswered:
        return "unanswered";
    }
    return "unanswered";
}

namespace detail
{

namespace
{

/// Increment of a task's execution number after a refusal as stale, because the
/// number that an earlier owner used is unknown.
constexpr std::uint32_t stale_execution_step = 8;

/// Time after a refusal for lack of capacity in which an executor gets no start
/// of the same total. It doubles with each refusal, up to 1.6 s; the list of
/// executors is read every 300 ms.
constexpr duration first_refusal_delay = std::chrono::milliseconds{200};
constexpr std::uint32_t max_refusal_doublings = 3;

} // namespace

order_id scheduler_state::next_order()
{
    return order_id{++last_order};
}

run_record* scheduler_state::find_run(executor_record& executor,
                                      task_run const& run) const
{
    auto const found = std::ranges::find(executor.runs, run, &run_record::run);
    return found == executor.runs.end() ? nullptr : &*found;
}

void scheduler_state::remove_run(executor_record& executor, task_run const& run)
{
    auto const found = std::ranges::find(executor.runs, run, &run_record::run);
    if (found != executor.runs.end())
    {
        executor.used -= found->amounts;
        executor.runs.erase(found);
    }
}

bool scheduler_state::answered_since(executor_record const& executor,
                                     time_point sent_at)
{
    return executor.clock && executor.clock_at > sent_at;
}

void scheduler_state::record_clock(executor_record& executor,
                                   std::optional<executor_clock> clock,
                                   time_point now) const
{
    if (clock)
    {
        executor.clock = clock;
        executor.clock_at = now;
    }
}

// Estimates the executor's clock from its last reading. The reading is older
// than its arrival by the network delay of the answer, so the executor's clock
// shows at least the estimate unless it runs slow.
std::optional<executor_clock>
scheduler_state::clock_at(executor_record const& executor, time_point time)
{
    if (!executor.clock)
    {
        return std::nullopt;
    }
    auto const since = std::chrono::duration_cast<std::chrono::milliseconds>(
        time - executor.clock_at);
    return executor_clock{executor.clock->value() +
                          static_cast<std::uint64_t>(since.count())};
}

void scheduler_state::start(job_record& job, std::uint16_t group,
                            std::uint16_t index, executor_record& executor,
                            duration expected_run_time,
                            scheduler_context& context)
{
    auto& tasks = job.groups[group];
    auto& task = tasks.tasks[index];
    task.phase = task_phase::active;
    --tasks.waiting;
    ++job.unrefused_starts;
    auto const& group_spec = job.job.groups[group];
    run_record run;
    run.run = {{job.job.id, group, index}, ++task.last_execution};
    run.amounts = group_spec.each_task;
    run.estimate = scale_duration(
        group_spec.estimate, rack_factor(executor.description, group_spec));
    run.expected_run_time = expected_run_time;
    run.sent_at = context.now;
    run.isolated = crashes.is_suspect(run.run.task);
    bool const was_idle = executor.runs.empty();
    executor.used += run.amounts;
    executor.runs.push_back(run);
    auto const lease_until = start_lease_end(executor, context.now);
    grant_lease(executor, lease_until, context.now);
    context.out.emplace_back(start_run{
        next_order(), executor.id, run.run, job.job.payload, token,
        clock_at(executor, lease_until).value(), order_answer_timeout});
    if (!executor.poll)
    {
        send_poll(executor, context, was_idle ? executor.acknowledged : 0);
    }
}

void scheduler_state::request_stop(executor_record& executor, run_record& run,
                                   scheduler_context& context)
{
    if (run.stop_in_flight || run.phase == run_phase::stop_accepted)
    {
        return;
    }
    run.phase = run_phase::stopping;
    run.stop_in_flight = true;
    context.out.emplace_back(stop_run{next_order(), executor.id, run.run, token,
                                      order_answer_timeout});
}

std::optional<answered_order>
scheduler_state::find_answered(order_answer const& answer, time_point now)
{
    auto const found = executors.find(answer.executor);
    if (!owner || found == executors.end())
    {
        return std::nullopt;
    }
    auto& executor = found->second;
    if (answer.outcome != order_outcome::other_incarnation &&
        was_sent_to_present_process(executor, answer.order))
    {
        record_clock(executor, answer.clock, now);
        if (answer.outcome == order_outcome::accepted)
        {
            record_accepted_order(executor, answer.order);
        }
    }
    auto* const run = find_run(executor, answer.run);
    if (run == nullptr)
    {
        return std::nullopt;
    }
    return answered_order{executor, *run};
}

bool scheduler_state::handle_executor_loss(executor_record& executor,
                                           order_outcome outcome,
                                           scheduler_context& context)
{
    if (outcome == order_outcome::fenced)
    {
        fence_executor(executor, context);
        return true;
    }
    if (outcome == order_outcome::other_incarnation)
    {
        lose_executor(executor, "restarted", context);
        return true;
    }
    return false;
}

// The executor's capacity may have shrunk since it was listed. Starts that
// would reach the refused total wait until the smaller capacity is listed, or
// for a time that doubles with each refusal, as a run that ended late can also
// be the cause.
void scheduler_state::record_refusal(executor_record& executor,
                                     run_record const& refused,
                                     scheduler_context& context)
{
    auto const count = executor.refusal ? executor.refusal->count : 0;
    auto const doublings = std::min(count, max_refusal_doublings);
    executor.refusal = {executor.used,
                        context.now + first_refusal_delay * (1U << doublings),
                        count + 1};
    scheduler_log_event log_event{.event = "capacity_refused",
                                  .job = refused.run.task.job,
                                  .run = refused.run,
                                  .executor = executor.id};
    log_event.run_time = executor.refusal->expires_at - context.now;
    log_event.count = executor.refusal->count;
    context.out.emplace_back(log_event);
}

void scheduler_state::start_answered(order_answer const& answer,
                                     scheduler_context& context)
{
    observe_start_answer(answer, context);
    if (answer.outcome == order_outcome::unanswered)
    {
        record_unanswered_start(answer, context);
    }
    auto const answered = find_answered(answer, context.now);
    if (!answered)
    {
        return;
    }
    auto& [executor, run] = *answered;
    if (answer.outcome == order_outcome::accepted)
    {
        executor.health.record_answer();
        if (run.phase == run_phase::starting)
        {
            run.phase = run_phase::running;
            run.confirmed_at = context.now;
        }
        if (executor.refusal &&
            executor.refusal->total.fits_into(executor.used))
        {
            executor.refusal.reset();
        }
        return;
    }
    scheduler_log_event log_event{.event = "start_refused",
                                  .job = answer.run.task.job,
                                  .run = answer.run,
                                  .executor = executor.id};
    log_event.reason = outcome_name(answer.outcome);
    log_event.run_time = context.now - run.sent_at;
    context.out.emplace_back(log_event);
    if (answer.outcome == order_outcome::other_incarnation)
    {
        // The process that crashed never had this run.
        auto const refused = run;
        revoke_start(refused);
        remove_run(executor, answer.run);
        requeue_task(refused, context);
    }
    bool const superseded = is_superseded(answer.order, answer.outcome);
    if (!superseded && handle_executor_loss(executor, answer.outcome, context))
    {
        return;
    }
    switch (answer.outcome)
    {
    case order_outcome::unanswered:
        // A single order may be late on an executor that answers others.
        if (!answered_since(executor, run.sent_at))
        {
            executor.health.record_timeout(context.now);
        }
        request_stop(executor, run, context);
        return;
    case order_outcome::not_sent:
        executor.health.record_timeout(context.now);
        break;
    case order_outcome::unhealthy:
    case order_outcome::invalid:
        executor.health.record_failure(context.now);
        break;
    case order_outcome::no_room:
        record_refusal(executor, run, context);
        executor.capacity_unconfirmed = true;
        break;
    default:
        executor.capacity_unconfirmed = true;
        break;
    }
    // An executor that calls the number of a start stale has had a run of the
    // task.
    if (answer.outcome != order_outcome::stale_execution)
    {
        revoke_start(run);
    }
    auto const record = run;
    remove_run(executor, answer.run);
    requeue_task(record, context);
    if (auto const job = jobs.find(answer.run.task.job);
        job != jobs.end() && !record.orphan_deadline &&
        has_task(job->second, answer.run.task) &&
        answer.outcome == order_outcome::stale_execution)
    {
        auto& task = job->second.groups[answer.run.task.group]
                         .tasks[answer.run.task.index];
        task.last_execution += stale_execution_step;
    }
    if (executor.capacity_unconfirmed)
    {
        executor.poll.reset();
        send_poll(executor, context);
    }
}

void scheduler_state::stop_answered(order_answer const& answer,
                                    scheduler_context& context)
{
    record_repeated_stop(answer, context.now);
    auto const answered = find_answered(answer, context.now);
    if (!answered)
    {
        return;
    }
    auto& [executor, run] = *answered;
    run.stop_in_flight = false;
    bool const superseded = is_superseded(answer.order, answer.outcome);
    // Another executor at the address of one that has moved says nothing of the
    // process at its earlier address.
    bool const is_unrelated =
        answer.outcome == order_outcome::other_incarnation && !executor.claimed;
    if (!superseded && !is_unrelated &&
        handle_executor_loss(executor, answer.outcome, context))
    {
        return;
    }
    switch (answer.outcome)
    {
    case order_outcome::accepted:
    case order_outcome::stale_execution:
        if (!was_sent_to_present_process(executor, answer.order))
        {
            run.stop_due = context.now;
            return;
        }
        run.phase = run_phase::stop_accepted;
        run.stop_due = context.now + limits.stop_time;
        return;
    default:
        log_refused_stop(executor, run, answer.outcome, context);
        run.stop_due = context.now + stop_retry_delay;
        return;
    }
}

void scheduler_state::fence_executor(executor_record& executor,
                                     scheduler_context& context)
{
    executor.fenced = true;
    fenced = true;
    lose_executor(executor, "fenced", context);
}

// The new process may have accepted starts before this instance learned of the
// restart. The recorded runs therefore stay until the executor has listed what
// runs; a task that runs there must not start elsewhere.
void scheduler_state::restart_executor(executor_record& executor,
                                       executor_news const& news,
                                       scheduler_context& context)
{
    scheduler_log_event log_event{.event = "executor_lost",
                                  .executor = executor.id};
    log_event.reason = "restarted";
    log_event.count = executor.runs.size();
    log_event.change = {news.source, executor.description.incarnation,
                        news.incarnation, executor.runs.size()};
    context.out.emplace_back(log_event);
    // An executor that has left after draining has not crashed. After a second
    // restart it is not known which process had an unlisted run.
    if (!executor.description.draining)
    {
        for (auto& run : executor.runs)
        {
            if (!run.before_restart && run.phase != run_phase::stop_accepted)
            {
                run.before_restart = make_possible_crash(
                    executor, run, executor.runs.size() == 1);
            }
        }
    }
    executor.description.incarnation = news.incarnation;
    executor.claimed = false;
    executor.poll.reset();
    executor.next_poll_at = context.now;
    executor.clock.reset();
    executor.granted_until = {};
    executor.acknowledged = 0;
    executor.unresponsive = false;
    record_process_end(executor, context.now);
    executor.last_uncertain_order = order_id{last_order};
    // The new process may have carried out a start, also of an earlier owner,
    // just now. It counts the lease from then on, as the deadline of the order
    // was on another clock.
    executor.lease_expires_at = context.now + lease_expiry_time();
    if (owner)
    {
        renew_token("executor_restarted", executor, context);
    }
    repeat_stops(executor, context);
}

bool scheduler_state::was_sent_to_present_process(
    executor_record const& executor, order_id order)
{
    return order.value() > executor.last_uncertain_order.value();
}

// A lost executor has no runs. After a refusal as fenced, another
// owner may keep the runs alive, so they stay recorded until the executor is
// claimed again or ownership is released.
void scheduler_state::lose_executor(executor_record& executor,
                                    std::string_view reason,
                                    scheduler_context& context)
{
    scheduler_log_event log_event{.event = "executor_lost",
                                  .executor = executor.id};
    log_event.reason = reason;
    log_event.count = executor.runs.size();
    log_event.change = {"refused_order", executor.description.incarnation, 0,
                        executor.fenced ? executor.runs.size() : 0};
    context.out.emplace_back(log_event);
    executor.claimed = false;
    executor.poll.reset();
    executor.next_poll_at = context.now;
    if (executor.fenced)
    {
        return;
    }
    notice_process_end(executor, context.now);
    executor.last_uncertain_order = order_id{last_order};
    // Another executor refuses late orders by the name that they carry.
    executor.unanswered_starts.clear();
    auto const runs = std::exchange(executor.runs, {});
    executor.used = {};
    executor.clock.reset();
    executor.granted_until = {};
    executor.acknowledged = 0;
    executor.unresponsive = false;
    for (auto const& run : runs)
    {
        note_given_up(executor, run, "executor_lost", context.now);
        requeue_task(run, context);
    }
    if (!executor.description.draining)
    {
        suspect_crashes(executor, runs, context);
    }
    for (auto const& crash : std::exchange(executor.possible_crashes, {}))
    {
        await_other_crashes(executor, crash, context);
    }
}

} // namespace detail

} // namespace goldcrestgate::core
