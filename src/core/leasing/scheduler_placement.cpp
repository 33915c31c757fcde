#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"
#include "goldcrestgate/core/leasing/detail/start_lease.hpp"
#include "goldcrestgate/core/leasing/detail/start_limits.hpp"
#include "goldcrestgate/core/leasing/detail/waiting_work.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

namespace
{

/// At most one of this number of executors with capacity is kept free for
/// suspect tasks, so that a wave of crashes does not stop the other tasks.
constexpr std::size_t reserved_divisor = 8;

/// Learned speeds are accurate to some percent, and so is a run time that is
/// projected from progress.
constexpr run_time_factors known_work_factors{.best_case = 0.9,
                                              .objective = 1.0,
                                              .worst_case = 1.15,
                                              .slow_executor_margin = 1.15};

} // namespace

bool scheduler_state::accepts(executor_record const& executor,
                              time_point now) const
{
    bool const size_unknown =
        std::ranges::any_of(executor.runs,
                            [](run_record const& run)
                            {
                                return run.amounts == resource_amounts{};
                            });
    bool const has_suspect =
        std::ranges::any_of(executor.runs, &run_record::isolated);
    // Without runs, a start may grant the longest lease.
    bool const has_lease = executor.runs.empty() ||
                           executor.granted_until >= now + min_start_lease;
    return !suspended && !has_suspect && executor.claimed && executor.clock &&
           executor.listed && now >= executor.usable_at &&
           !executor.unresponsive && !executor.capacity_unconfirmed &&
           has_lease && !size_unknown && !executor.description.draining &&
           executor.health.accepts(now, executor.runs.size());
}

std::size_t scheduler_state::waiting_tasks() const
{
    std::size_t count = 0;
    for (auto const& [id, job] : jobs)
    {
        for (auto const& group : job.groups)
        {
            count += group.waiting;
        }
    }
    return count;
}

double scheduler_state::rack_factor(executor_description const& description,
                                    task_group const& group) const
{
    return has_label(description, group.preferred_rack)
               ? 1.0
               : limits.remote_rack_factor;
}

double scheduler_state::expected_slowdown(executor_record const& executor,
                                          task_group const& group) const
{
    return speeds.slowdown(executor.id) *
           rack_factor(executor.description, group);
}

bool scheduler_state::may_start_tasks(job_record const& job,
                                      time_point now) const
{
    return !job.awaits_claims && !job.cancellation && has_waiting(job) &&
           callers.allow_starts(caller_waiting_at(job), now);
}

void scheduler_state::place_waiting(scheduler_context& context)
{
    round = {};
    std::vector<job_record*> waiting;
    for (auto& [id, job] : jobs)
    {
        if (may_start_tasks(job, context.now))
        {
            waiting.push_back(&job);
        }
    }
    if (waiting.empty())
    {
        return;
    }
    withheld_tasks = tasks_with_late_starts();
    auto pools = executor_pools(context.now);
    std::vector<std::pair<serving_position, job_record*>> order;
    order.reserve(waiting.size());
    for (auto* const job : waiting)
    {
        auto const pool = pools.find(job->job.service);
        if (pool != pools.end() && !pool->second.with_capacity.empty())
        {
            order.emplace_back(serving_position_of(*job, context.now,
                                                   pool->second.speeds.slowest),
                               job);
        }
    }
    std::ranges::sort(order, {}, &decltype(order)::value_type::first);
    // A task of a job that cannot be completed would only use capacity.
    std::erase_if(order,
                  [this, &context](auto const& entry)
                  {
                      return is_withheld(*entry.second, context.now);
                  });
    order_by_share(order, pools, context);
    for (auto const& [position, job] : order)
    {
        place_suspects(*job, pools.at(job->job.service), context);
    }
    plan_reservations(order, pools, context);
    for (auto const& [position, job] : order)
    {
        place_by_share(*job, pools.at(job->job.service), context);
        ++round.rank;
    }
}

std::map<std::string_view, executor_pool>
scheduler_state::executor_pools(time_point now) const
{
    std::map<std::string_view, executor_pool> pools;
    for (auto const& [id, executor] : executors)
    {
        if (!accepts(executor, now))
        {
            continue;
        }
        auto const [entry, is_first] =
            pools.try_emplace(executor.description.service);
        auto& pool = entry->second;
        auto const free = executor.free_capacity().cpu_millicores;
        auto const slowdown = speeds.slowdown(id);
        pool.speeds.include(slowdown, is_first);
        pool.members.push_back(
            {slowdown, executor.description.capacity.cpu_millicores, free});
        if (free > 0)
        {
            pool.with_capacity.push_back(&executor);
            pool.largest_free_millicores =
                std::max(pool.largest_free_millicores, free);
        }
    }
    return pools;
}

std::vector<placement_candidate>
scheduler_state::find_candidates(job_record const& job, std::uint16_t group,
                                 executor_pool const& pool,
                                 time_point now) const
{
    auto const& group_spec = job.job.groups[group];
    std::vector<placement_candidate> candidates;
    // Near full utilization, most waiting tasks fit on no executor.
    if (group_spec.each_task.cpu_millicores > pool.largest_free_millicores)
    {
        return candidates;
    }
    auto const waiting_at = caller_waiting_at(job);
    for (auto const* const executor : pool.with_capacity)
    {
        auto const free = executor->free_capacity();
        if (!group_spec.each_task.fits_into(free) ||
            !callers.allow_start(waiting_at, executor->granted_until, now) ||
            executor->would_refuse(group_spec.each_task, now))
        {
            continue;
        }
        // Earlier placements with the same pool may have made it unusable.
        auto const starts = starts_left(*executor, job, group);
        if (starts > 0 && accepts(*executor, now) &&
            has_label(executor->description, group_spec.required_label))
        {
            candidates.push_back({executor->id, free,
                                  expected_slowdown(*executor, group_spec),
                                  starts});
        }
    }
    return candidates;
}

void scheduler_state::place_job(job_record& job, executor_pool const& pool,
                                scheduler_context& context)
{
    for (std::size_t group = 0; group < job.groups.size(); ++group)
    {
        if (job.groups[group].waiting > 0)
        {
            place_group(job, static_cast<std::uint16_t>(group), pool, context);
        }
    }
}

placement_request scheduler_state::make_placement_request(
    job_record const& job, std::uint16_t group, executor_pool const& pool,
    time_point now) const
{
    auto const& group_spec = job.job.groups[group];
    placement_request request;
    request.demand = group_spec.each_task;
    request.estimate = group_spec.estimate;
    request.to_objective = job.due - now;
    request.to_limit = job.deadline - now;
    request.waited = now - (job.deadline - job.job.time_limit);
    request.fastest_slowdown = pool.speeds.fastest;
    request.factors =
        factors_of(job.job.route, group_spec.estimate, pool.fast_free_share());
    return request;
}

placement_request scheduler_state::for_task(placement_request request,
                                            task_record const& task) const
{
    if (executors.size() > 1)
    {
        request.avoided = task.avoided;
    }
    if (task.known_work > duration{})
    {
        request.estimate = task.known_work;
        request.factors = known_work_factors;
    }
    return request;
}

void scheduler_state::place_suspects(job_record& job, executor_pool& pool,
                                     scheduler_context& context)
{
    for (std::size_t group = 0; group < job.groups.size(); ++group)
    {
        if (job.groups[group].waiting > 0)
        {
            place_suspects(job, static_cast<std::uint16_t>(group), pool,
                           context);
        }
    }
}

void scheduler_state::place_suspects(job_record& job, std::uint16_t group,
                                     executor_pool& pool,
                                     scheduler_context& context)
{
    auto const& tasks = job.groups[group].tasks;
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        auto const index = static_cast<std::uint16_t>(i);
        leased_task const task{job.job.id, group, index};
        if (tasks[index].phase != task_phase::waiting ||
            !crashes.is_suspect(task) || withheld_tasks.contains(task))
        {
            continue;
        }
        auto candidates = find_candidates(job, group, pool, context.now);
        std::erase_if(candidates,
                      [this](placement_candidate const& candidate)
                      {
                          return !executors.at(candidate.executor).runs.empty();
                      });
        auto const request =
            for_task(make_placement_request(job, group, pool, context.now),
                     tasks[index]);
        auto const choice = choose_executor(candidates, request);
        if (!choice)
        {
            reserve_executor(job, group, pool);
            continue;
        }
        log_placement(job, task, *choice, context);
        start(job, group, index, executors.at(choice->executor),
              choice->expected_run, context);
    }
}

void scheduler_state::reserve_executor(job_record const& job,
                                       std::uint16_t group, executor_pool& pool)
{
    auto& executors_left = pool.with_capacity;
    auto const size = executors_left.size() + pool.reserved;
    if (pool.reserved >= std::max<std::size_t>(1, size / reserved_divisor))
    {
        return;
    }
    auto const& group_spec = job.job.groups[group];
    auto chosen = executors_left.end();
    for (auto entry = executors_left.begin(); entry != executors_left.end();
         ++entry)
    {
        auto const& description = (*entry)->description;
        bool const suits =
            group_spec.each_task.fits_into(description.capacity) &&
            has_label(description, group_spec.required_label) &&
            !(*entry)->runs.empty();
        if (suits && (chosen == executors_left.end() ||
                      (*entry)->runs.size() < (*chosen)->runs.size()))
        {
            chosen = entry;
        }
    }
    if (chosen != executors_left.end())
    {
        executors_left.erase(chosen);
        ++pool.reserved;
    }
}

void scheduler_state::place_group(job_record& job, std::uint16_t group,
                                  executor_pool const& pool,
                                  scheduler_context& context)
{
    auto const& group_spec = job.job.groups[group];
    auto const& tasks = job.groups[group].tasks;
    auto candidates = find_candidates(job, group, pool, context.now);
    exclude_reserved(job, group, candidates);
    if (candidates.empty())
    {
        return;
    }
    auto group_request = make_placement_request(job, group, pool, context.now);
    group_request.smallest_waiting_millicores =
        round.sizes.smallest_beside(job.job.id, group);
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        auto const index = static_cast<std::uint16_t>(i);
        leased_task const task{job.job.id, group, index};
        if (tasks[index].phase != task_phase::waiting ||
            crashes.is_suspect(task) || withheld_tasks.contains(task))
        {
            continue;
        }
        auto const request = for_task(group_request, tasks[index]);
        auto const choice = choose_executor(candidates, request);
        if (!choice)
        {
            if (request.avoided)
            {
                continue;
            }
            // The tasks of a group are equal, so the other tasks have no
            // suitable executor either.
            return;
        }
        log_placement(job, task, *choice, context);
        auto& executor = executors.at(choice->executor);
        start(job, group, index, executor, choice->expected_run, context);
        auto const used = std::ranges::find(candidates, choice->executor,
                                            &placement_candidate::executor);
        used->free -= group_spec.each_task;
        --used->starts_left;
        // An executor that is being probed gets no second task.
        if (!record_start_beside_reservations(job, group, *used) ||
            !accepts(executor, context.now) ||
            executor.would_refuse(group_spec.each_task, context.now))
        {
            candidates.erase(used);
        }
    }
}

void scheduler_state::log_placement(job_record const& job,
                                    leased_task const& task,
                                    placement_choice const& choice,
                                    scheduler_context& context) const
{
    auto const& record = job.groups[task.group].tasks[task.index];
    scheduler_log_event log_event{.event = "task_placed",
                                  .job = task.job,
                                  .run =
                                      task_run{task, record.last_execution + 1},
                                  .executor = choice.executor};
    log_event.reason = choice.reason == placement_reason::meets_objective
                           ? "meets_objective"
                           : "earliest_finish";
    log_event.slack = job.due - context.now;
    log_event.run_time = choice.expected_run;
    log_event.count = choice.candidates;
    log_event.caller_age =
        context.now - std::min(context.now, caller_waiting_at(job));
    context.out.emplace_back(log_event);
}

} // namespace goldcrestgate::core::detail
