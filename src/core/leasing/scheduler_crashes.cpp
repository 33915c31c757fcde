#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

/// Crashes within this time of each other count as simultaneous.
constexpr duration simultaneous_crash_time = std::chrono::milliseconds{250};

scheduler_log_event make_crash_event(std::string_view event,
                                     executor_id executor,
                                     possible_crash const& crash,
                                     crash_evidence const& evidence)
{
    scheduler_log_event log_event{.event = event,
                                  .job = crash.run.task.job,
                                  .run = crash.run,
                                  .executor = executor};
    log_event.reason = crash.alone ? "only_run" : "shared_executor";
    log_event.crash = evidence;
    return log_event;
}

/// Returns whether the executor may have crashed after a time. An executor's
/// clock starts at 0 with its process.
bool may_have_crashed_since(executor_record const& executor, time_point since,
                            time_point now)
{
    if (!executor.claimed || !executor.clock)
    {
        return true;
    }
    auto const uptime = std::chrono::milliseconds{executor.clock->value()} +
                        (now - executor.clock_at);
    return uptime < now - since;
}

} // namespace

possible_crash
scheduler_state::make_possible_crash(executor_record const& executor,
                                     run_record const& run, bool alone)
{
    possible_crash crash;
    crash.run = run.run;
    crash.incarnation = executor.description.incarnation;
    crash.alone = alone;
    crash.seen_at = std::max(run.confirmed_at, run.listed_at);
    if (run.listed_at != time_point{})
    {
        crash.start = "listed";
    }
    else
    {
        crash.start =
            run.confirmed_at != time_point{} ? "accepted" : "unconfirmed";
    }
    return crash;
}

crash_evidence scheduler_state::evidence_of(executor_record const& executor,
                                            possible_crash const& crash) const
{
    crash_evidence evidence;
    evidence.start = crash.start;
    evidence.incarnation = crash.incarnation;
    if (!executor.last_process_end)
    {
        return evidence;
    }
    auto const ended = executor.last_process_end->latest();
    for (auto const& [id, other] : executors)
    {
        bool const has_job = std::ranges::any_of(other.runs,
                                                 [&crash](run_record const& run)
                                                 {
                                                     return run.run.task.job ==
                                                            crash.run.task.job;
                                                 });
        if (id == executor.id || has_job)
        {
            continue;
        }
        ++evidence.other_executors;
        bool const crashed = other.last_process_end &&
                             std::chrono::abs(other.last_process_end->latest() -
                                              ended) <= simultaneous_crash_time;
        evidence.other_crashes += crashed ? 1 : 0;
    }
    return evidence;
}

void scheduler_state::suspect_crash(executor_record& executor,
                                    std::span<run_record const> runs,
                                    scheduler_context& context)
{
    bool const alone = runs.size() == 1;
    for (auto const& run : runs)
    {
        auto const& task = run.run.task;
        crashes.suspect(task, alone, context.now);
        auto const crash = make_possible_crash(executor, run, alone);
        executor.possible_crashes.push_back(crash);
        auto log_event = make_crash_event("crash_suspected", executor.id, crash,
                                          evidence_of(executor, crash));
        log_event.count = crashes.counts(task).suspected.crashes;
        context.out.emplace_back(log_event);
        if (crashes.is_withheld(task))
        {
            log_event.event = "task_withheld";
            context.out.emplace_back(log_event);
        }
    }
}

void scheduler_state::confirm_crashes(executor_record& executor,
                                      scheduler_context& context)
{
    for (auto const& crash : std::exchange(executor.possible_crashes, {}))
    {
        confirm_crash(executor, crash, context);
    }
}

void scheduler_state::refute_crashes(executor_record& executor,
                                     scheduler_context& context)
{
    for (auto const& crash : std::exchange(executor.possible_crashes, {}))
    {
        crashes.refute(crash.run.task, crash.alone);
        auto log_event = make_crash_event("crash_refuted", executor.id, crash,
                                          evidence_of(executor, crash));
        log_event.count = crashes.counts(crash.run.task).suspected.crashes;
        context.out.emplace_back(log_event);
    }
}

void scheduler_state::count_crash(executor_record const& executor,
                                  possible_crash const& crash,
                                  scheduler_context& context)
{
    crashes.suspect(crash.run.task, crash.alone, context.now);
    confirm_crash(executor, crash, context);
}

void scheduler_state::confirm_crash(executor_record const& executor,
                                    possible_crash const& crash,
                                    scheduler_context& context)
{
    auto const& task = crash.run.task;
    crashes.confirm(task, crash.alone, context.now);
    auto log_event = make_crash_event("crash_counted", executor.id, crash,
                                      evidence_of(executor, crash));
    log_event.count = crashes.counts(task).confirmed.crashes;
    context.out.emplace_back(log_event);
    if (crashes.is_crash_looping(task))
    {
        end_crash_looping_job(task.job, context);
    }
}

void scheduler_state::end_crash_looping_job(client_job_id id,
                                            scheduler_context& context)
{
    if (!owner || !jobs.contains(id))
    {
        return;
    }
    for (auto const& task : crashes.crash_looping_tasks(id))
    {
        scheduler_log_event log_event{
            .event = "task_given_up", .job = id, .run = task_run{task, 0}};
        log_event.reason = "crashes_executors";
        log_event.count = crashes.counts(task).confirmed.crashes;
        context.out.emplace_back(log_event);
    }
    end_job(id, job_outcome::failed, {}, "crashes_executors", context);
}

void scheduler_state::suspect_unlisted_tasks(job_record const& job,
                                             scheduler_context& context)
{
    auto const arrived = job.deadline - job.job.time_limit;
    for (std::size_t i = 0; i < job.groups.size(); ++i)
    {
        auto const group = static_cast<std::uint16_t>(i);
        auto const& tasks = job.groups[group].tasks;
        for (std::size_t k = 0; k < tasks.size(); ++k)
        {
            leased_task const task{job.job.id, group,
                                   static_cast<std::uint16_t>(k)};
            if (tasks[k].phase != task_phase::waiting)
            {
                continue;
            }
            auto const since =
                std::max(arrived, crashes.changed_at(task).value_or(arrived));
            auto const crashed = std::ranges::find_if(
                executors,
                [&](auto const& entry)
                {
                    auto const& executor = entry.second;
                    return executor.listed &&
                           executor.description.service == job.job.service &&
                           may_have_crashed_since(executor, since, context.now);
                });
            if (crashed == executors.end())
            {
                continue;
            }
            crashes.suspect(task, false, context.now);
            scheduler_log_event log_event{.event = "crash_suspected",
                                          .job = job.job.id,
                                          .run = task_run{task, 0},
                                          .executor = crashed->first};
            log_event.reason = "earlier_owner";
            log_event.count = crashes.counts(task).suspected.crashes;
            context.out.emplace_back(log_event);
        }
    }
}

} // namespace goldcrestgate::core::detail
