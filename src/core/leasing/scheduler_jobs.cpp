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
    }
    return "abandoned";
}

namespace detail
{

namespace
{

/// A verdict is repeated for this long. Resubmissions come 1.3 s after a lost
/// answer at the earliest, and one more attempt may follow.
constexpr duration verdict_memory = std::chrono::seconds{4};

void make_waiting(group_record& group, task_record& task)
{
    task.phase = task_phase::waiting;
    ++group.waiting;
}

/// Opens the groups whose earlier groups are done.
void open_groups(job_record& job)
{
    for (std::size_t i = 0; i < job.groups.size(); ++i)
    {
        auto const& needed = job.job.groups[i].after;
        bool const open =
            std::ranges::all_of(needed,
                                [&job](std::uint16_t earlier)
                                {
                                    return job.groups[earlier].done ==
                                           job.groups[earlier].tasks.size();
                                });
        if (!open)
        {
            continue;
        }
        for (auto& task : job.groups[i].tasks)
        {
            if (task.phase == task_phase::blocked)
            {
                make_waiting(job.groups[i], task);
            }
        }
    }
}

bool is_complete(job_record const& job)
{
    return std::ranges::all_of(job.groups,
                               [](group_record const& group)
                               {
                                   return group.done == group.tasks.size();
                               });
}

/// Returns whether a waiting task is too late even for the fastest executor.
bool waits_in_vain(job_record const& job, double fastest, time_point now)
{
    for (std::size_t i = 0; i < job.groups.size(); ++i)
    {
        auto const run = scale_duration(job.job.groups[i].estimate,
                                        fastest * hopeless_margin);
        if (job.groups[i].waiting > 0 && now + run > job.limit)
        {
            return true;
        }
    }
    return false;
}

} // namespace

void scheduler_state::offer(instance_id origin, job_offer const& offered,
                            scheduler_turn& turn)
{
    auto const id = offered.job.id;
    if (!owner)
    {
        turn.out.emplace_back(
            report_verdict{origin, {id, job_outcome::not_owner, {}}});
        return;
    }
    if (auto const known = jobs.find(id); known != jobs.end())
    {
        known->second.origin = origin;
        known->second.unwanted_at.reset();
        return;
    }
    if (auto const ended = past.find(id); ended != past.end())
    {
        turn.out.emplace_back(report_verdict{origin, ended->second.verdict});
        return;
    }
    job_record job;
    job.job = offered.job;
    job.origin = origin;
    job.due = turn.now - offered.elapsed + offered.job.objective;
    job.limit = turn.now - offered.elapsed + offered.job.time_limit;
    job.chain = critical_path(offered.job.groups);
    job.started = offered.resumed;
    job.awaits_claims = offered.resumed && !claims_settled(turn.now);
    for (auto const& group : offered.job.groups)
    {
        job.groups.emplace_back().tasks.resize(group.task_count);
    }
    open_groups(job);
    adopt_runs(job, turn);

    auto const verdict = judge_admission(job, turn.now);
    auto& stored = jobs.emplace(id, std::move(job)).first->second;
    if (!verdict.admitted && !stored.started)
    {
        close(id, job_outcome::rejected, verdict.retry_after, "overloaded",
              turn);
    }
}

// --- ends ---

void scheduler_state::close(client_job_id id, job_outcome outcome,
                            duration retry_after, std::string_view reason,
                            scheduler_turn& turn)
{
    auto const node = jobs.extract(id);
    if (node.empty())
    {
        return;
    }
    auto const& job = node.mapped();
    if (outcome == job_outcome::rejected && job.started)
    {
        outcome = job_outcome::abandoned;
    }
    for (auto& [executor_key, executor] : executors)
    {
        for (auto& run : executor.runs)
        {
            if (run.run.task.job == id)
            {
                run.orphan_until = turn.now;
                request_stop(executor, run, turn);
            }
        }
    }
    job_verdict const verdict{id, outcome, retry_after};
    turn.out.emplace_back(report_verdict{job.origin, verdict});
    scheduler_log_event note{.event = "job_ended", .job = id};
    note.reason = reason;
    note.slack = job.due - turn.now;
    note.run_time = retry_after;
    note.waiting = waiting_tasks();
    turn.out.emplace_back(note);
    if (outcome == job_outcome::completed || outcome == job_outcome::failed)
    {
        past[id] = {verdict, turn.now + verdict_memory};
    }
}

void scheduler_state::return_task(run_record const& run)
{
    auto const found = jobs.find(run.run.task.job);
    if (run.orphan_until || found == jobs.end())
    {
        return;
    }
    auto& group = found->second.groups[run.run.task.group];
    auto& task = group.tasks[run.run.task.index];
    if (task.phase == task_phase::active)
    {
        make_waiting(group, task);
    }
}

// A task that fails on two executors is at fault itself; the executors then
// keep their good name.
void scheduler_state::blame(executor_record& executor, task_record& task,
                            time_point now)
{
    if (!task.failed_on || executor.health.suspect())
    {
        executor.health.struck(now);
        return;
    }
    auto const earlier = executors.find(*task.failed_on);
    if (earlier != executors.end())
    {
        earlier->second.health.forgive();
    }
}

void scheduler_state::task_ended(executor_record& executor,
                                 run_record const& run, run_end end,
                                 scheduler_turn& turn)
{
    auto const spent = turn.now - run.sent_at;
    if (end == run_end::done)
    {
        executor.health.succeeded();
        speeds.observe(executor.id, run.estimate, spent);
    }
    auto const found = jobs.find(run.run.task.job);
    if (run.orphan_until || found == jobs.end())
    {
        if (end == run_end::failed)
        {
            executor.health.struck(turn.now);
        }
        return;
    }
    auto& job = found->second;
    auto& group = job.groups[run.run.task.group];
    auto& task = group.tasks[run.run.task.index];
    if (end == run_end::failed)
    {
        blame(executor, task, turn.now);
    }
    if (task.phase != task_phase::active)
    {
        return;
    }
    if (end == run_end::done)
    {
        task.phase = task_phase::done;
        ++group.done;
        open_groups(job);
        if (is_complete(job))
        {
            close(run.run.task.job, job_outcome::completed, {}, "completed",
                  turn);
        }
        return;
    }
    make_waiting(group, task);
    if (end != run_end::failed)
    {
        return;
    }
    scheduler_log_event note{.event = "task_failed",
                             .job = run.run.task.job,
                             .run = run.run,
                             .executor = executor.id};
    note.run_time = spent;
    note.count = ++task.failures;
    turn.out.emplace_back(note);
    task.failed_on = executor.id;
    task.avoided = executor.id;
    if (task.failures >= job.job.max_attempts)
    {
        close(run.run.task.job, job_outcome::failed, {}, "attempts_used", turn);
    }
}

void scheduler_state::expire_jobs(scheduler_turn& turn)
{
    std::erase_if(past,
                  [&turn](auto const& entry)
                  {
                      return entry.second.forget_at <= turn.now;
                  });
    auto ranges = slowdowns(turn.now);
    std::vector<std::pair<client_job_id, std::string_view>> ended;
    for (auto& [id, job] : jobs)
    {
        if (job.awaits_claims && claims_settled(turn.now))
        {
            job.awaits_claims = false;
            adopt_runs(job, turn);
        }
        double const fastest = ranges[job.job.service].fastest;
        auto const finish =
            turn.now + scale_duration(job.chain, fastest * hopeless_margin);
        if (job.unwanted_at && *job.unwanted_at <= turn.now)
        {
            ended.emplace_back(id, "caller_left");
        }
        else if (turn.now >= job.limit)
        {
            ended.emplace_back(id, "time_limit");
        }
        else if (!job.started && finish > job.due)
        {
            ended.emplace_back(id, "objective_missed");
        }
        else if (!job.awaits_claims && waits_in_vain(job, fastest, turn.now))
        {
            ended.emplace_back(id, "cannot_end_in_time");
        }
    }
    for (auto const& [id, reason] : ended)
    {
        auto const wait = std::max<duration>(
            std::chrono::seconds{1},
            expected_wait(jobs.at(id).job.service, turn.now));
        close(id, job_outcome::rejected, wait, reason, turn);
    }
}

} // namespace detail

} // namespace goldcrestgate::core
