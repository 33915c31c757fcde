#include "goldcrestgate/core/leasing/detail/group_order.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

namespace
{

/// Interval of the polls of an instance that no longer hears from an owner.
constexpr duration probe_interval = std::chrono::milliseconds{100};
constexpr duration probe_answer_timeout = std::chrono::milliseconds{160};

/// Time after which the lists of an earlier silence are out of date.
constexpr duration probe_validity = std::chrono::milliseconds{400};

/// Time for which the end of a run is kept until its job is offered. The
/// instances offer it again within one or two heartbeats.
constexpr duration done_task_retention = std::chrono::seconds{4};

/// Time for which a run of an earlier owner is kept after it is first listed,
/// until its job is offered again; instances offer it within one or two
/// heartbeats.
constexpr duration orphan_timeout = std::chrono::milliseconds{400};

/// Time for which an orphan is kept beside runs whose callers wait: their lease
/// cannot be renewed until it has ended.
constexpr duration shared_lease_orphan_timeout = std::chrono::milliseconds{150};

} // namespace

void scheduler_state::probe_owner(fencing_token silent_token,
                                  scheduler_context& context)
{
    if (probed_at && context.now - *probed_at < probe_interval)
    {
        return;
    }
    if (!probed_at || context.now - *probed_at > probe_validity)
    {
        probe.reset();
    }
    probed_at = context.now;
    std::vector<std::pair<executor_id, std::string_view>> candidates;
    candidates.reserve(executors.size());
    for (auto const& [id, executor] : executors)
    {
        auto const& labels = executor.description.labels;
        candidates.emplace_back(id, labels.empty()
                                        ? std::string_view{}
                                        : std::string_view{labels.back()});
    }
    for (auto const id : owner_probe::choose(candidates))
    {
        poll_executor order;
        order.order = next_order();
        order.executor = id;
        order.token = silent_token;
        order.timeout = probe_answer_timeout;
        context.out.emplace_back(order);
    }
}

// An earlier owner that lives stops its runs of the job as soon as for a
// resubmission, because the gateway has withdrawn the job there.
void scheduler_state::await_claims(job_record& job, time_point now) const
{
    job.inherited = true;
    job.awaits_claims = !all_runs_known();
    job.unknown_runs_end =
        now + std::max(limits.resubmission_delay, lease_expiry_time());
}

void scheduler_state::note_done_task(leased_task const& task,
                                     scheduler_context& context)
{
    done_tasks[task] = context.now + done_task_retention;
    auto const found = jobs.find(task.job);
    if (found == jobs.end())
    {
        return;
    }
    if (found->second.has_unapplied_ends)
    {
        complete_done_tasks(found->second, context);
    }
    else
    {
        complete_done_task(found->second, task, context);
    }
    if (is_complete(found->second))
    {
        end_job(task.job, job_outcome::completed, {}, "completed", context);
    }
}

void scheduler_state::complete_done_tasks(job_record& job,
                                          scheduler_context& context)
{
    job.has_unapplied_ends = false;
    auto const first = done_tasks.lower_bound(leased_task{job.job.id, 0, 0});
    for (auto noted = first;
         noted != done_tasks.end() && noted->first.job == job.job.id; ++noted)
    {
        complete_done_task(job, noted->first, context);
    }
}

void scheduler_state::complete_done_task(job_record& job,
                                         leased_task const& task,
                                         scheduler_context& context)
{
    if (!has_task(job, task))
    {
        return;
    }
    complete_preceding_groups(job, task.group);
    auto const phase = job.groups[task.group].tasks[task.index].phase;
    if (phase != task_phase::waiting)
    {
        job.has_unapplied_ends |= phase != task_phase::done;
        return;
    }
    complete_task(job, task.group, task.index);
    job.inherited = true;
    scheduler_log_event log_event{
        .event = "end_adopted", .job = job.job.id, .run = task_run{task, 0}};
    context.out.emplace_back(log_event);
}

void scheduler_state::add_listed_run(executor_record& executor,
                                     task_run const& run, time_point now,
                                     time_point orphan_deadline)
{
    auto& added = executor.runs.emplace_back();
    added.run = run;
    added.phase = run_phase::running;
    added.sent_at = now;
    added.confirmed_at = now;
    added.orphan_deadline = orphan_deadline;
}

void scheduler_state::claim_answered(executor_record& executor,
                                     poll_answer const& answer,
                                     scheduler_context& context)
{
    executor.claimed = true;
    executor.fenced = false;
    scheduler_log_event log_event{.event = "executor_claimed",
                                  .executor = executor.id};
    log_event.count = answer.running.size();
    log_event.run_time = context.now - owner_since;
    log_event.incarnation = executor.description.incarnation;
    context.out.emplace_back(log_event);
    for (auto const& listed : answer.running)
    {
        if (find_run(executor, listed.run) != nullptr)
        {
            continue;
        }
        add_listed_run(executor, listed.run, context.now,
                       context.now + orphan_timeout);
    }
    for (auto& run : executor.runs)
    {
        auto const job = jobs.find(run.run.task.job);
        if (job != jobs.end())
        {
            adopt_run(job->second, executor, run, context);
        }
    }
}

void scheduler_state::adopt_runs(job_record& job, scheduler_context& context)
{
    for (auto& [id, executor] : executors)
    {
        for (auto& run : executor.runs)
        {
            if (run.run.task.job == job.job.id)
            {
                adopt_run(job, executor, run, context);
            }
        }
    }
    complete_done_tasks(job, context);
}

void scheduler_state::adopt_run(job_record& job, executor_record& executor,
                                run_record& run, scheduler_context& context)
{
    auto const& task = run.run.task;
    if (!run.orphan_deadline || !has_task(job, task))
    {
        return;
    }
    auto& group = job.groups[task.group];
    auto& entry = group.tasks[task.index];
    if (entry.phase == task_phase::blocked)
    {
        complete_preceding_groups(job, task.group);
    }
    if (entry.phase == task_phase::active || entry.phase == task_phase::done)
    {
        // No task will wait for this run, so it is stopped at once.
        run.orphan_deadline = std::min(*run.orphan_deadline, context.now);
    }
    if (entry.phase != task_phase::waiting)
    {
        return;
    }
    auto const& group_spec = job.job.groups[task.group];
    entry.phase = task_phase::active;
    entry.last_execution = std::max(entry.last_execution, run.run.execution);
    --group.waiting;
    job.inherited = true;
    run.orphan_deadline.reset();
    run.isolated = crashes.is_suspect(task);
    if (run.amounts == resource_amounts{})
    {
        run.amounts = group_spec.each_task;
        executor.used += run.amounts;
    }
    run.estimate = duration{};
    run.expected_run_time = scale_duration(
        group_spec.estimate, expected_slowdown(executor, group_spec));
    scheduler_log_event log_event{.event = "run_adopted",
                                  .job = job.job.id,
                                  .run = run.run,
                                  .executor = executor.id};
    log_event.slack = job.due - context.now;
    context.out.emplace_back(log_event);
    if (executor.granted_until > callers.lease_end(caller_waiting_at(job)))
    {
        // It could go on when the caller submits the job again.
        request_stop(executor, run, context);
    }
}

bool scheduler_state::is_orphaned(executor_record const& executor,
                                  run_record const& run, time_point now)
{
    if (run.phase != run_phase::running || !run.orphan_deadline)
    {
        return false;
    }
    bool const others_need_lease =
        std::ranges::any_of(executor.runs,
                            [](run_record const& other)
                            {
                                return !other.orphan_deadline;
                            });
    return now >= *run.orphan_deadline ||
           (others_need_lease &&
            now >= run.confirmed_at + shared_lease_orphan_timeout);
}

// A task of which a late run is listed waits for the end of that run; it must
// not start elsewhere meanwhile.
void scheduler_state::adopt_or_stop_orphans(executor_record& executor,
                                            scheduler_context& context)
{
    for (auto& run : executor.runs)
    {
        auto const job = jobs.find(run.run.task.job);
        if (job != jobs.end())
        {
            adopt_run(job->second, executor, run, context);
        }
        if (is_orphaned(executor, run, context.now))
        {
            request_stop(executor, run, context);
        }
    }
}

} // namespace goldcrestgate::core::detail
