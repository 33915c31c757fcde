#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

std::uint32_t failures_of(job_record const& job, leased_task const& task)
{
    return job.groups[task.group].tasks[task.index].failures;
}

/// Returns whether the job has the task and it is not done.
bool is_open(job_record const& job, leased_task const& task)
{
    return has_task(job, task) &&
           job.groups[task.group].tasks[task.index].phase != task_phase::done;
}

/// Returns whether the executor may have crashed after a time.
bool may_have_crashed_since(executor_record const& executor, time_point since)
{
    if (!executor.claimed || !executor.clock)
    {
        return true;
    }
    return process_start(*executor.clock, executor.clock_at) > since;
}

} // namespace

void scheduler_state::record_crash(executor_record const& executor,
                                   possible_crash const& crash,
                                   crash_state state, std::string_view event,
                                   scheduler_context& context)
{
    record_crash(executor, crash, state, event, evidence_of(executor, crash),
                 context);
}

void scheduler_state::record_crash(executor_record const& executor,
                                   possible_crash const& crash,
                                   crash_state state, std::string_view event,
                                   crash_evidence const& evidence,
                                   scheduler_context& context)
{
    auto const& task = crash.run.task;
    bool const was_withheld = crashes.is_withheld(task, context.now);
    crashes.record(task, {crash.id, state, crash.alone}, context.now);
    scheduler_log_event log_event{.event = event,
                                  .job = task.job,
                                  .run = crash.run,
                                  .executor = executor.id};
    log_event.reason = crash.alone ? "only_run" : "shared_executor";
    log_event.crash = evidence;
    log_event.count = state == crash_state::confirmed
                          ? crashes.confirmed(task).crashes
                          : crashes.suspected(task).crashes;
    context.out.emplace_back(log_event);
    if (!was_withheld && crashes.is_withheld(task, context.now))
    {
        log_event.event = "task_withheld";
        context.out.emplace_back(log_event);
    }
}

void scheduler_state::suspect_crash(executor_record& executor,
                                    possible_crash const& crash,
                                    scheduler_context& context)
{
    executor.possible_crashes.push_back(crash);
    record_crash(executor, crash, crash_state::suspected, "crash_suspected",
                 context);
}

// A run that was stopped before does not show as lost with the process.
void scheduler_state::suspect_crashes(executor_record& executor,
                                      std::span<run_record const> runs,
                                      scheduler_context& context)
{
    for (auto const& run : runs)
    {
        if (run.phase != run_phase::stop_accepted)
        {
            suspect_crash(executor,
                          make_possible_crash(executor, run, runs.size() == 1),
                          context);
        }
    }
}

bool scheduler_state::is_withheld(job_record const& job, time_point now) const
{
    return std::ranges::any_of(crashes.withheld_tasks(job.job.id, now),
                               [&job](leased_task const& task)
                               {
                                   return is_open(job, task);
                               });
}

bool scheduler_state::has_unsettled_crash(executor_id executor) const
{
    return std::ranges::find(unsettled_crashes, executor,
                             &unsettled_crash::executor) !=
           unsettled_crashes.end();
}

void scheduler_state::end_crash_looping_job(client_job_id id,
                                            scheduler_context& context)
{
    auto const found = jobs.find(id);
    if (!owner || found == jobs.end())
    {
        return;
    }
    auto const& job = found->second;
    auto tasks = crashes.crash_looping_tasks(id);
    std::erase_if(tasks,
                  [&](leased_task const& task)
                  {
                      return !is_open(job, task) ||
                             crashes.confirmed(task).crashes +
                                     failures_of(job, task) <
                                 job.job.max_attempts;
                  });
    if (tasks.empty())
    {
        return;
    }
    for (auto const& task : tasks)
    {
        scheduler_log_event log_event{
            .event = "task_given_up", .job = id, .run = task_run{task, 0}};
        log_event.reason = "crashes_executors";
        log_event.count = crashes.confirmed(task).crashes;
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
                           may_have_crashed_since(executor, since);
                });
            if (crashed == executors.end())
            {
                continue;
            }
            crashes.record(task, {term, crash_state::suspected, false},
                           context.now);
            scheduler_log_event log_event{.event = "crash_suspected",
                                          .job = job.job.id,
                                          .run = task_run{task, 0},
                                          .executor = crashed->first};
            log_event.reason = "earlier_owner";
            log_event.count = crashes.suspected(task).crashes;
            context.out.emplace_back(log_event);
        }
    }
}

} // namespace goldcrestgate::core::detail
