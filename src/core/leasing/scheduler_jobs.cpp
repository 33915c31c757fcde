#include "goldcrestgate/core/admission/retry_delay.hpp"
#include "goldcrestgate/core/leasing/detail/group_order.hpp"
#include "goldcrestgate/core/leasing/detail/run_time_margins.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"
#include "goldcrestgate/core/leasing/placement.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

std::string_view outcome_name(job_outcome outcome)
{
    switch (outcome)
    {
    case job_outcome::completed:
        return "completed";
    case job_outcome::failed:
        return "failed";
    case job_outcome::rejected:
        return "rejected";
    case job_outcome::abandoned:
        return "abandoned";
    case job_outcome::not_owner:
        return "not_owner";
    case job_outcome::withdrawn:
        return "withdrawn";
    }
    return "abandoned";
}

namespace detail
{

namespace
{

/// Time for which a verdict is kept to be repeated. A resubmission arrives 1.3
/// s after a lost answer at the earliest, and one more attempt may follow.
constexpr duration verdict_retention = std::chrono::seconds{4};

/// Returns whether a verdict holds for a later submission of its job. A job
/// that failed may be completed with more attempts.
bool holds_for(retained_verdict const& ended, leased_job const& submitted)
{
    return ended.verdict.outcome != job_outcome::failed ||
           submitted.max_attempts <= ended.max_attempts;
}

/// Returns whether a waiting task would miss the deadline even on the fastest
/// executor at its best-case run time.
bool cannot_meet_deadline(job_record const& job, double fastest,
                          double best_case, time_point now)
{
    for (std::size_t i = 0; i < job.groups.size(); ++i)
    {
        auto const run =
            scale_duration(job.job.groups[i].estimate, fastest * best_case);
        if (job.groups[i].waiting > 0 && now + run > job.deadline)
        {
            return true;
        }
    }
    return false;
}

} // namespace

void scheduler_state::offer(instance_id origin, job_offer const& offered,
                            scheduler_context& context)
{
    auto const id = offered.job.id;
    bool const is_outdated = offered.term != 0 && offered.term != term;
    if (!owner || is_outdated)
    {
        context.out.emplace_back(report_verdict{
            origin, {id, job_outcome::not_owner, {}, offered.sequence}});
        return;
    }
    if (auto const withdrawal = withdrawn.find({id, origin});
        withdrawal != withdrawn.end() &&
        offered.sequence < withdrawal->second.sequence)
    {
        scheduler_log_event log_event{.event = "offer_withdrawn", .job = id};
        context.out.emplace_back(log_event);
        return;
    }
    if (refuse_outdated(origin, offered, context))
    {
        return;
    }
    bool const may_run_elsewhere =
        offered.resumed && !offered.only_offered_here;
    if (auto const known = jobs.find(id); known != jobs.end())
    {
        bool const is_superseded = known->second.origin == origin &&
                                   offered.sequence < known->second.sequence;
        if (is_superseded)
        {
            return;
        }
        note_offer(known->second, origin, offered.sequence);
        known->second.job.max_attempts = offered.job.max_attempts;
        known->second.cancellation.reset();
        if (may_run_elsewhere && !known->second.inherited)
        {
            await_claims(known->second, context.now);
        }
        return;
    }
    if (auto const ended = retained_verdicts.find(id);
        ended != retained_verdicts.end() &&
        holds_for(ended->second, offered.job))
    {
        auto verdict = ended->second.verdict;
        verdict.sequence = offered.sequence;
        context.out.emplace_back(report_verdict{origin, verdict});
        return;
    }
    if (reject_without_memory(origin, offered, context))
    {
        return;
    }
    job_record job;
    job.job = offered.job;
    job.memory_bytes = job_record_bytes(job.job);
    memory.add(job.memory_bytes);
    note_offer(job, origin, offered.sequence);
    job.due = context.now - offered.elapsed + offered.job.objective;
    job.deadline = context.now - offered.elapsed + offered.job.time_limit;
    job.critical_path_time = critical_path(offered.job.groups);
    job.path_factors =
        factors_of(offered.job.route, job.critical_path_time, 0.0);
    job.inherited = offered.resumed;
    if (may_run_elsewhere)
    {
        await_claims(job, context.now);
    }
    add_groups(job);
    adopt_runs(job, context);
    if (job.inherited && !job.awaits_claims)
    {
        suspect_unlisted_tasks(job, context);
    }

    auto const verdict = evaluate_admission(job, context.now);
    auto& stored = jobs.emplace(id, std::move(job)).first->second;
    if (is_complete(stored))
    {
        end_job(id, job_outcome::completed, {}, "completed", context);
        return;
    }
    end_crash_looping_job(id, context);
    if (!jobs.contains(id))
    {
        return;
    }
    if (suspended && !stored.started())
    {
        end_job(id, job_outcome::rejected, retry_delay({.job = id}),
                "evacuated", context);
        return;
    }
    if (!verdict.admitted && !stored.started())
    {
        end_job(id, job_outcome::rejected,
                retry_after(stored, verdict.rejected_for, context.now),
                "overloaded", context);
    }
}

// The tasks of a resumed job may have started, so that it cannot be rejected.
// Runs of it are stopped like those of other unknown jobs.
bool scheduler_state::reject_without_memory(instance_id origin,
                                            job_offer const& offered,
                                            scheduler_context& context) const
{
    auto const bytes = job_record_bytes(offered.job);
    if (offered.resumed ? memory.has_room_for_resumed(bytes)
                        : memory.has_room_for(bytes))
    {
        return false;
    }
    auto const id = offered.job.id;
    auto const outcome =
        offered.resumed ? job_outcome::abandoned : job_outcome::rejected;
    auto const wait = retry_delay({.job = id});
    context.out.emplace_back(
        report_verdict{origin, {id, outcome, wait, offered.sequence}});
    scheduler_log_event log_event{.event = "job_ended", .job = id};
    log_event.reason = "no_memory";
    log_event.run_time = wait;
    context.out.emplace_back(log_event);
    return true;
}

// --- ends ---

void scheduler_state::end_job(client_job_id id, job_outcome outcome,
                              duration retry_after, std::string_view reason,
                              scheduler_context& context)
{
    auto const node = jobs.extract(id);
    if (node.empty())
    {
        return;
    }
    auto& job = node.mapped();
    memory.remove(job.memory_bytes);
    if (outcome == job_outcome::rejected && job.started())
    {
        outcome = job_outcome::abandoned;
    }
    for (auto& [executor_key, executor] : executors)
    {
        for (auto& run : executor.runs)
        {
            if (run.run.task.job == id)
            {
                if (run.projected_end && !run.orphan_deadline)
                {
                    record_run_time(job, executor, run.run,
                                    *run.projected_end - run.sent_at);
                }
                run.orphan_deadline = context.now;
                request_stop(executor, run, context);
            }
        }
    }
    learn_run_times(job);
    job_verdict const verdict{id, outcome, retry_after, job.sequence};
    context.out.emplace_back(report_verdict{job.origin, verdict});
    scheduler_log_event log_event{.event = "job_ended", .job = id};
    log_event.reason = reason;
    log_event.slack = job.due - context.now;
    log_event.run_time = retry_after;
    log_event.waiting = waiting_tasks();
    context.out.emplace_back(log_event);
    if (outcome == job_outcome::completed || outcome == job_outcome::failed)
    {
        retained_verdicts[id] = {verdict, context.now + verdict_retention,
                                 job.job.max_attempts};
    }
}

// A late run of the task that has been listed meanwhile may still live; the
// task waits for its end instead of a start beside it.
void scheduler_state::requeue_task(run_record const& run,
                                   scheduler_context& context)
{
    auto const found = jobs.find(run.run.task.job);
    if (run.orphan_deadline || found == jobs.end() ||
        !has_task(found->second, run.run.task))
    {
        return;
    }
    auto& group = found->second.groups[run.run.task.group];
    auto& task = group.tasks[run.run.task.index];
    if (task.phase != task_phase::active)
    {
        return;
    }
    make_waiting(group, task);
    if (group.shown_done)
    {
        forget_shown_ends(found->second);
    }
    for (auto& [id, executor] : executors)
    {
        for (auto& listed : executor.runs)
        {
            if (listed.run.task == run.run.task)
            {
                adopt_run(found->second, executor, listed, context);
            }
        }
    }
}

void scheduler_state::revoke_start(run_record const& run)
{
    auto const found = jobs.find(run.run.task.job);
    if (!run.orphan_deadline && found != jobs.end() &&
        found->second.unrefused_starts > 0)
    {
        --found->second.unrefused_starts;
    }
}

// A task that fails on two executors is itself the cause, so the failure of the
// first executor is taken back.
void scheduler_state::attribute_failure(executor_record& executor,
                                        task_record& task, time_point now)
{
    if (!task.failed_on || executor.health.has_failures())
    {
        executor.health.record_failure(now);
        return;
    }
    auto const earlier = executors.find(*task.failed_on);
    if (earlier != executors.end())
    {
        earlier->second.health.revoke_failure();
    }
}

void scheduler_state::task_ended(executor_record& executor,
                                 run_record const& run, run_end end,
                                 scheduler_context& context)
{
    auto const spent = context.now - run.sent_at;
    if (end == run_end::done)
    {
        executor.health.record_success();
        crashes.forget(run.run.task, context.now);
    }
    auto const found = jobs.find(run.run.task.job);
    if (run.orphan_deadline || found == jobs.end() ||
        !has_task(found->second, run.run.task))
    {
        if (end == run_end::failed)
        {
            executor.health.record_failure(context.now);
        }
        if (end == run_end::done)
        {
            speeds.observe(executor.id, run.estimate, spent,
                           single_sample_weight);
            note_done_task(run.run.task, context);
        }
        return;
    }
    auto& job = found->second;
    auto& group = job.groups[run.run.task.group];
    auto& task = group.tasks[run.run.task.index];
    if (end == run_end::done && run.estimate > duration{})
    {
        record_run_time(job, executor, run.run, spent);
    }
    if (end == run_end::failed)
    {
        attribute_failure(executor, task, context.now);
    }
    if (task.phase != task_phase::active)
    {
        return;
    }
    if (end == run_end::done)
    {
        complete_task(job, run.run.task.group, run.run.task.index);
        if (is_complete(job))
        {
            end_job(run.run.task.job, job_outcome::completed, {}, "completed",
                    context);
        }
        return;
    }
    requeue_task(run, context);
    if (end != run_end::failed)
    {
        return;
    }
    scheduler_log_event log_event{.event = "task_failed",
                                  .job = run.run.task.job,
                                  .run = run.run,
                                  .executor = executor.id};
    log_event.run_time = spent;
    log_event.count = ++task.failures;
    context.out.emplace_back(log_event);
    task.failed_on = executor.id;
    task.avoided = executor.id;
    if (task.failures >= job.job.max_attempts)
    {
        end_job(run.run.task.job, job_outcome::failed, {}, "attempts_used",
                context);
    }
}

void scheduler_state::reject_unstarted(std::string_view reason,
                                       scheduler_context& context)
{
    std::vector<client_job_id> unstarted;
    for (auto const& [id, job] : jobs)
    {
        if (!job.started())
        {
            unstarted.push_back(id);
        }
    }
    for (auto const id : unstarted)
    {
        end_job(id, job_outcome::rejected, retry_delay({.job = id}), reason,
                context);
    }
}

void scheduler_state::expire_jobs(scheduler_context& context)
{
    auto const has_expired = [&context](auto const& entry)
    {
        return entry.second.expires_at <= context.now;
    };
    std::erase_if(retained_verdicts, has_expired);
    std::erase_if(withdrawn, has_expired);
    std::erase_if(done_tasks,
                  [&context](auto const& entry)
                  {
                      return entry.second <= context.now;
                  });
    auto ranges = slowdowns(context.now);
    bool const runs_known = all_runs_known();
    bool const leases_ended = claims_complete(context.now);
    std::vector<std::pair<client_job_id, std::string_view>> ended;
    for (auto& [id, job] : jobs)
    {
        bool const claims_awaited =
            !runs_known &&
            (!leases_ended || context.now < job.unknown_runs_end);
        if (job.awaits_claims && !claims_awaited)
        {
            job.awaits_claims = false;
            adopt_runs(job, context);
            suspect_unlisted_tasks(job, context);
        }
        double const fastest = ranges[job.job.service].fastest;
        double const best_case = job.path_factors.best_case;
        auto const finish = context.now + scale_duration(job.critical_path_time,
                                                         fastest * best_case);
        if (job.cancellation && job.cancellation->at <= context.now)
        {
            ended.emplace_back(id, "caller_left");
        }
        else if (callers.resubmission_at(caller_waiting_at(job)) <= context.now)
        {
            ended.emplace_back(id, "caller_unknown");
        }
        else if (context.now >= job.deadline)
        {
            ended.emplace_back(id, "time_limit");
        }
        else if (!job.started() && finish > job.due)
        {
            ended.emplace_back(id, "objective_missed");
        }
        else if (!job.awaits_claims &&
                 cannot_meet_deadline(job, fastest, best_case, context.now))
        {
            ended.emplace_back(id, "cannot_end_in_time");
        }
    }
    for (auto const& [id, reason] : ended)
    {
        auto const wait = retry_after(jobs.at(id), {}, context.now);
        end_job(id, job_outcome::rejected, wait, reason, context);
    }
}

} // namespace detail

} // namespace goldcrestgate::core
