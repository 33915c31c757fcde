#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"
#include "goldcrestgate/core/leasing/detail/start_limits.hpp"
#include "goldcrestgate/core/leasing/detail/waiting_work.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

namespace
{

/// Maximum number of runs that are being stopped for urgent work at a time, so
/// that wrong estimates of a burst cost little.
constexpr std::size_t max_preemptions = 4;

bool is_stopping(run_record const& run)
{
    return run.phase == run_phase::stopping ||
           run.phase == run_phase::stop_accepted;
}

time_point expected_end(run_record const& run)
{
    return run.projected_end.value_or(run.sent_at + run.expected_run_time);
}

} // namespace

bool scheduler_state::was_preempted(leased_task const& task) const
{
    auto const job = jobs.find(task.job);
    return job != jobs.end() && has_task(job->second, task) &&
           job->second.groups[task.group].tasks[task.index].preempted;
}

void scheduler_state::preempt_for_urgent_work(scheduler_context& context)
{
    if (!limits.preemption || !limits.fair_shares || suspended)
    {
        return;
    }
    std::size_t in_progress = 0;
    for (auto const& [id, executor] : executors)
    {
        for (auto const& run : executor.runs)
        {
            in_progress +=
                is_stopping(run) && was_preempted(run.run.task) ? 1 : 0;
        }
    }
    for (auto const& [service, range] : slowdowns(context.now))
    {
        preempt_in_service(service, range, in_progress, context);
    }
}

// Only the tasks that the order by shares serves next are considered; the
// capacity of a stopped run would otherwise go to another class.
void scheduler_state::preempt_in_service(std::string_view service,
                                         slowdown_range range,
                                         std::size_t& in_progress,
                                         scheduler_context& context)
{
    std::vector<fair_job> flows;
    std::vector<job_record*> waiting;
    for (auto& [id, job] : jobs)
    {
        if (job.job.service == service && may_start_tasks(job, context.now))
        {
            waiting.push_back(&job);
            flows.push_back(
                {job.job.route, job.job.origin_domain, job.job.priority,
                 waiting_work(job),
                 serving_position_of(job, context.now, range.slowest)});
        }
    }
    if (waiting.empty() || in_progress >= max_preemptions)
    {
        return;
    }
    std::vector<expected_capacity> capacities;
    std::vector<time_point> ends;
    for (auto& [id, executor] : executors)
    {
        if (!serves(executor, service, context.now))
        {
            continue;
        }
        auto& capacity = capacities.emplace_back(
            expected_capacity{&executor, executor.free_capacity()});
        for (auto const& run : executor.runs)
        {
            if (is_stopping(run))
            {
                capacity.unused += run.amounts;
            }
            else
            {
                ends.push_back(std::max(expected_end(run), context.now));
            }
        }
    }
    std::ranges::sort(ends);
    auto const share = shares.find(service);
    auto const order = share != shares.end()
                           ? share->second.order.order(flows)
                           : fair_order{limits.class_weight_ratio}.order(flows);
    std::size_t next_end = 0;
    for (auto const index : order)
    {
        auto const& job = *waiting[index];
        if (flows[index].priority != flows[order.front()].priority ||
            flows[index].position.urgency >= serving_class::late_started)
        {
            return;
        }
        for (std::size_t group = 0; group < job.groups.size(); ++group)
        {
            auto const& spec = job.job.groups[group];
            for (std::size_t i = 0; i < job.groups[group].waiting; ++i)
            {
                auto const unused = std::ranges::find_if(
                    capacities,
                    [&spec](expected_capacity const& capacity)
                    {
                        return spec.each_task.fits_into(capacity.unused);
                    });
                if (unused != capacities.end())
                {
                    unused->unused -= spec.each_task;
                    continue;
                }
                if (next_end == ends.size())
                {
                    return;
                }
                preemption_request request;
                request.priority = job.job.priority;
                request.demand = spec.each_task;
                request.estimate = spec.estimate;
                request.to_objective = job.due - context.now;
                request.to_next_end = ends[next_end++] - context.now;
                request.stop_time = limits.stop_time;
                request.fastest_slowdown = range.fastest;
                if (!needs_preemption(request))
                {
                    continue;
                }
                // The other waiting tasks would find no run either.
                if (!preempt_for_task(request, spec, capacities, context) ||
                    ++in_progress == max_preemptions)
                {
                    return;
                }
            }
        }
    }
}

// The task waits again once the stop is confirmed, as after a move; it may
// start on the same executor.
bool scheduler_state::preempt_for_task(preemption_request const& request,
                                       task_group const& group,
                                       std::span<expected_capacity> capacities,
                                       scheduler_context& context)
{
    std::vector<preemption_candidate> candidates;
    std::vector<std::pair<expected_capacity*, run_record*>> runs;
    for (auto& capacity : capacities)
    {
        auto& executor = *capacity.executor;
        for (auto& run : executor.runs)
        {
            auto const owner_job = jobs.find(run.run.task.job);
            if (run.phase != run_phase::running || run.orphan_deadline ||
                run.isolated || run.before_restart || owner_job == jobs.end() ||
                owner_job->second.cancellation ||
                !has_label(executor.description, group.required_label))
            {
                continue;
            }
            auto freed = capacity.unused;
            freed += run.amounts;
            candidates.push_back({owner_job->second.job.priority,
                                  context.now - run.sent_at,
                                  expected_end(run) - run.sent_at,
                                  owner_job->second.deadline - context.now,
                                  run.amounts.cpu_millicores, freed,
                                  expected_slowdown(executor, group),
                                  was_preempted(run.run.task)});
            runs.emplace_back(&capacity, &run);
        }
    }
    auto const choice = choose_preemption(candidates, request);
    if (!choice)
    {
        return false;
    }
    auto& [capacity, run] = runs[*choice];
    auto const task = run->run.task;
    auto& victim = jobs.at(task.job);
    victim.groups[task.group].tasks[task.index].preempted = true;
    // The repeated run counts against the share of its flow, not both.
    if (auto const share = shares.find(victim.job.service);
        share != shares.end())
    {
        share->second.order.add_started(
            {victim.job.route,
             victim.job.origin_domain,
             victim.job.priority,
             0.0,
             {}},
            -cpu_work(victim.job.groups[task.group]));
    }
    capacity->unused = candidates[*choice].freed;
    capacity->unused -= group.each_task;
    scheduler_log_event log_event{.event = "run_preempted",
                                  .job = task.job,
                                  .run = run->run,
                                  .executor = capacity->executor->id,
                                  .reason = "urgent_task"};
    log_event.slack = victim.deadline - context.now;
    log_event.run_time = candidates[*choice].spent;
    context.out.emplace_back(log_event);
    request_stop(*capacity->executor, *run, context);
    return true;
}

} // namespace goldcrestgate::core::detail
