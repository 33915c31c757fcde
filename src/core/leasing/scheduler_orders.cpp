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

/// A start or stop is answered within a few milliseconds; a pause of a
/// processor quota on either side takes up to 100 ms.
constexpr duration order_timeout = std::chrono::milliseconds{160};

/// Pause between attempts to stop a run.
constexpr duration stop_retry = std::chrono::milliseconds{60};

/// Executions of one task differ by this much after a refusal as stale, as the
/// number that an earlier owner used is not known.
constexpr std::uint32_t stale_execution_step = 8;

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

void scheduler_state::note_clock(executor_record& executor,
                                 std::optional<executor_clock> clock,
                                 time_point now) const
{
    if (clock)
    {
        executor.clock = clock;
        executor.clock_at = now;
    }
}

// The clock is estimated from its last reading, which lags by the way of the
// answer, so the executor's clock has at least this value unless it is slow.
std::optional<executor_clock>
scheduler_state::lease_end(executor_record& executor, time_point now) const
{
    if (!executor.clock)
    {
        return std::nullopt;
    }
    auto const since = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - executor.clock_at + limits.longest_lease);
    return executor_clock{executor.clock->value() +
                          static_cast<std::uint64_t>(since.count())};
}

void scheduler_state::start(job_record& job, std::uint16_t group,
                            std::uint16_t index, executor_record& executor,
                            duration expected, scheduler_turn& turn)
{
    auto& tasks = job.groups[group];
    auto& task = tasks.tasks[index];
    task.phase = task_phase::active;
    --tasks.waiting;
    job.started = true;
    auto const& wanted = job.job.groups[group];
    run_record run;
    run.run = {{job.job.id, group, index}, ++task.last_execution};
    run.amounts = wanted.each_task;
    run.estimate = scale_duration(wanted.estimate,
                                  rack_factor(executor.description, wanted));
    run.expected = expected;
    run.sent_at = turn.now;
    executor.used += run.amounts;
    executor.runs.push_back(run);
    executor.lapses_at = turn.now + lapse_time();
    turn.out.emplace_back(
        start_run{next_order(), executor.id, run.run, job.job.payload, token,
                  lease_end(executor, turn.now).value(), order_timeout});
    if (!executor.hold)
    {
        send_hold(executor, turn);
    }
}

void scheduler_state::request_stop(executor_record& executor, run_record& run,
                                   scheduler_turn& turn)
{
    if (run.stop_in_flight || run.phase == run_phase::stop_accepted)
    {
        return;
    }
    run.phase = run_phase::stopping;
    run.stop_in_flight = true;
    turn.out.emplace_back(
        stop_run{next_order(), executor.id, run.run, token, order_timeout});
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
    note_clock(executor, answer.clock, now);
    auto* const run = find_run(executor, answer.run);
    if (run == nullptr)
    {
        return std::nullopt;
    }
    return answered_order{executor, *run};
}

bool scheduler_state::lose_by_answer(executor_record& executor,
                                     order_outcome outcome,
                                     scheduler_turn& turn)
{
    if (outcome == order_outcome::fenced)
    {
        fence_executor(executor, turn);
        return true;
    }
    if (outcome == order_outcome::other_incarnation)
    {
        lose_executor(executor, "restarted", turn);
        return true;
    }
    return false;
}

void scheduler_state::start_answered(order_answer const& answer,
                                     scheduler_turn& turn)
{
    auto const answered = find_answered(answer, turn.now);
    if (!answered)
    {
        return;
    }
    auto& [executor, run] = *answered;
    if (answer.outcome == order_outcome::accepted)
    {
        executor.health.answered();
        if (run.phase == run_phase::starting)
        {
            run.phase = run_phase::running;
            run.confirmed_at = turn.now;
        }
        return;
    }
    scheduler_log_event note{.event = "start_refused",
                             .job = answer.run.task.job,
                             .run = answer.run,
                             .executor = executor.id};
    note.reason = outcome_name(answer.outcome);
    note.run_time = turn.now - run.sent_at;
    turn.out.emplace_back(note);
    if (lose_by_answer(executor, answer.outcome, turn))
    {
        return;
    }
    switch (answer.outcome)
    {
    case order_outcome::unanswered:
        // Single orders may be late on an executor that answers others.
        if (!answered_since(executor, run.sent_at))
        {
            executor.health.silent(turn.now);
        }
        request_stop(executor, run, turn);
        return;
    case order_outcome::not_sent:
        executor.health.silent(turn.now);
        break;
    case order_outcome::unhealthy:
    case order_outcome::invalid:
        executor.health.struck(turn.now);
        break;
    default:
        executor.recount = true;
        break;
    }
    auto const record = run;
    remove_run(executor, answer.run);
    return_task(record);
    if (auto const job = jobs.find(answer.run.task.job);
        job != jobs.end() && answer.outcome == order_outcome::stale_execution)
    {
        auto& task = job->second.groups[answer.run.task.group]
                         .tasks[answer.run.task.index];
        task.last_execution += stale_execution_step;
    }
    if (executor.recount)
    {
        executor.hold.reset();
        send_hold(executor, turn);
    }
}

void scheduler_state::stop_answered(order_answer const& answer,
                                    scheduler_turn& turn)
{
    auto const answered = find_answered(answer, turn.now);
    if (!answered)
    {
        return;
    }
    auto& [executor, run] = *answered;
    run.stop_in_flight = false;
    if (lose_by_answer(executor, answer.outcome, turn))
    {
        return;
    }
    switch (answer.outcome)
    {
    case order_outcome::accepted:
    case order_outcome::stale_execution:
        run.phase = run_phase::stop_accepted;
        run.stop_due = turn.now + limits.stop_time;
        return;
    default:
        run.stop_due = turn.now + stop_retry;
        return;
    }
}

void scheduler_state::fence_executor(executor_record& executor,
                                     scheduler_turn& turn)
{
    executor.fenced = true;
    fenced = true;
    lose_executor(executor, "fenced", turn);
}

// After a restart nothing runs there. After a refusal as fenced another owner
// may keep the runs alive, so they stay known until the executor is claimed
// again or the ownership is given up.
void scheduler_state::lose_executor(executor_record& executor,
                                    std::string_view reason,
                                    scheduler_turn& turn)
{
    scheduler_log_event note{.event = "executor_lost", .executor = executor.id};
    note.reason = reason;
    note.count = executor.runs.size();
    turn.out.emplace_back(note);
    executor.claimed = false;
    executor.hold.reset();
    executor.next_hold_at = turn.now;
    if (executor.fenced)
    {
        return;
    }
    auto const runs = std::exchange(executor.runs, {});
    executor.used = {};
    executor.clock.reset();
    executor.acknowledged = 0;
    executor.silent = false;
    for (auto const& run : runs)
    {
        return_task(run);
    }
}

} // namespace detail

} // namespace goldcrestgate::core
