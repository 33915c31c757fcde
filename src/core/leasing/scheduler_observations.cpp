#include "goldcrestgate/core/leasing/detail/order_timing.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>
#include <utility>

// Log events that show where the executors differ from what this owner has
// recorded. No decision depends on them.

namespace goldcrestgate::core::detail
{

namespace
{

/// An acceptance takes a few milliseconds; a CPU quota can delay it by 100 ms.
constexpr duration slow_acceptance_time = std::chrono::milliseconds{100};

/// Returns why the acceptance of a start is worth a log line; empty if it is
/// not. Answers may overtake each other, but each arrives within the order's
/// timeout, so a clock that is behind by more belongs to a process that started
/// after the recorded one.
std::string_view acceptance_anomaly(executor_record const& executor,
                                    run_record const& run,
                                    order_answer const& answer,
                                    bool sent_to_present_process,
                                    time_point now)
{
    if (!sent_to_present_process)
    {
        return "sent_to_earlier_process";
    }
    constexpr auto margin =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            order_answer_timeout)
            .count();
    bool const is_clock_behind =
        answer.clock && executor.clock &&
        answer.clock->value() + margin < executor.clock->value();
    if (is_clock_behind)
    {
        return "clock_restarted";
    }
    return now - run.sent_at > slow_acceptance_time ? "slow_answer" : "";
}

bool is_finished(poll_answer const& answer, task_run const& run)
{
    return std::ranges::find(answer.finished, run, &finished_run::run) !=
           answer.finished.end();
}

std::string_view task_state(job_record const& job, leased_task const& task)
{
    switch (job.groups[task.group].tasks[task.index].phase)
    {
    case task_phase::blocked:
        return "task_blocked";
    case task_phase::waiting:
        return "task_waiting";
    case task_phase::active:
        return "task_active";
    case task_phase::done:
        return "task_done";
    }
    return "task_active";
}

/// Returns whether the end of a given-up run shows more than that the owner
/// had not heard of it: the lease or a stop did not end the run.
bool is_unexpected_end(given_up_run const& given_up, run_end end)
{
    return given_up.reason != stop_accepted_reason &&
           (end == run_end::done || end == run_end::failed);
}

} // namespace

void scheduler_state::observe_start_answer(order_answer const& answer,
                                           scheduler_context& context)
{
    auto const found = executors.find(answer.executor);
    if (!owner || found == executors.end())
    {
        return;
    }
    auto& executor = found->second;
    auto const* const run = find_run(executor, answer.run);
    if (run == nullptr)
    {
        return;
    }
    if (answer.outcome == order_outcome::unanswered)
    {
        note_given_up(executor, *run, "start_unanswered", context.now);
    }
    if (answer.outcome != order_outcome::accepted)
    {
        return;
    }
    auto const anomaly = acceptance_anomaly(
        executor, *run, answer,
        was_sent_to_present_process(executor, answer.order), context.now);
    if (anomaly.empty())
    {
        return;
    }
    scheduler_log_event log_event{.event = "start_accepted",
                                  .job = answer.run.task.job,
                                  .run = answer.run,
                                  .executor = executor.id,
                                  .reason = anomaly};
    log_event.run_time = context.now - run->sent_at;
    log_event.incarnation = executor.description.incarnation;
    context.out.emplace_back(log_event);
}

// A run has one stop order at a time, so a silent executor causes at most five
// lines for each run before the lease counts as expired.
void scheduler_state::log_refused_stop(executor_record const& executor,
                                       run_record const& run,
                                       order_outcome outcome,
                                       scheduler_context& context)
{
    scheduler_log_event log_event{.event = "stop_refused",
                                  .job = run.run.task.job,
                                  .run = run.run,
                                  .executor = executor.id,
                                  .reason = outcome_name(outcome)};
    log_event.run_time = context.now - run.sent_at;
    context.out.emplace_back(log_event);
}

void scheduler_state::note_given_up(executor_record const& executor,
                                    run_record const& run,
                                    std::string_view reason, time_point now)
{
    given_up.add({executor.id, run.run, run.sent_at, reason, now});
}

void scheduler_state::log_late_run(executor_record const& executor,
                                   task_run const& run, std::string_view event,
                                   poll_answer const& answer,
                                   scheduler_context& context) const
{
    auto const record = given_up.find(executor.id, run, context.now);
    scheduler_log_event log_event{.event = event,
                                  .job = run.task.job,
                                  .run = run,
                                  .executor = executor.id};
    log_event.incarnation = executor.description.incarnation;
    auto& late = log_event.late.emplace();
    if (record)
    {
        late.given_up = record->reason;
        late.since_sent = context.now - record->sent_at;
    }
    auto const job = jobs.find(run.task.job);
    log_event.reason = job == jobs.end() || !has_task(job->second, run.task)
                           ? "job_unknown"
                           : task_state(job->second, run.task);
    for (auto const& [id, other] : executors)
    {
        for (auto const& recorded : other.runs)
        {
            bool const is_beside =
                recorded.run.task == run.task &&
                !(id == executor.id &&
                  (recorded.run == run || is_finished(answer, recorded.run)));
            if (is_beside)
            {
                log_event.reason = "other_run_recorded";
                late.other_executor = id;
                late.other_execution = recorded.run.execution;
            }
        }
    }
    // The runs that a claim lists are usually those of the earlier owner.
    if (executor.claimed || record || late.other_executor)
    {
        context.out.emplace_back(log_event);
    }
}

void scheduler_state::log_late_runs(executor_record& executor,
                                    poll_answer const& answer,
                                    bool list_is_latest,
                                    scheduler_context& context) const
{
    for (auto const& finished : answer.finished)
    {
        if (finished.number <= executor.acknowledged ||
            find_run(executor, finished.run) != nullptr)
        {
            continue;
        }
        auto const record =
            given_up.find(executor.id, finished.run, context.now);
        if (record && is_unexpected_end(*record, finished.end))
        {
            log_late_run(executor, finished.run, "late_end_found", answer,
                         context);
        }
    }
    if (!list_is_latest && executor.claimed)
    {
        return;
    }
    for (auto const& listed : answer.running)
    {
        if (find_run(executor, listed.run) == nullptr)
        {
            log_late_run(executor, listed.run, "late_run_found", answer,
                         context);
        }
    }
}

} // namespace goldcrestgate::core::detail
