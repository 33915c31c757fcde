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
        candidates.emplace_back(id, labels.empty() ? "" : labels.back());
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
    complete_done_tasks(found->second, context);
    if (is_complete(found->second))
    {
        end_job(task.job, job_outcome::completed, {}, "completed", context);
    }
}

void scheduler_state::complete_done_tasks(job_record& job,
                                          scheduler_context& context)
{
    auto const first = done_tasks.lower_bound(leased_task{job.job.id, 0, 0});
    for (auto noted = first;
         noted != done_tasks.end() && noted->first.job == job.job.id; ++noted)
    {
        auto const& task = noted->first;
        if (!has_task(job, task))
        {
            continue;
        }
        complete_preceding_groups(job, task.group);
        auto& group = job.groups[task.group];
        auto& entry = group.tasks[task.index];
        if (entry.phase != task_phase::waiting)
        {
            continue;
        }
        entry.phase = task_phase::done;
        --group.waiting;
        ++group.done;
        job.inherited = true;
        scheduler_log_event log_event{.event = "end_adopted",
                                      .job = job.job.id,
                                      .run = task_run{task, 0}};
        context.out.emplace_back(log_event);
    }
    unblock_groups(job);
}

// A task starts only after all groups before its own are done, so a run of an
// earlier owner shows that they are.
void scheduler_state::complete_preceding_groups(job_record& job,
                                                std::uint16_t group)
{
    for (auto const earlier : job.job.groups[group].after)
    {
        complete_preceding_groups(job, earlier);
        auto& preceding = job.groups[earlier];
        for (auto& task : preceding.tasks)
        {
            if (task.phase == task_phase::waiting)
            {
                --preceding.waiting;
            }
            else if (task.phase != task_phase::blocked)
            {
                continue;
            }
            task.phase = task_phase::done;
            ++preceding.done;
        }
    }
    unblock_groups(job);
}

} // namespace goldcrestgate::core::detail
