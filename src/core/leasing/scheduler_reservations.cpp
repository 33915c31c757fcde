#include "goldcrestgate/core/leasing/detail/run_time_margins.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"
#include "goldcrestgate/core/leasing/detail/start_limits.hpp"
#include "goldcrestgate/core/leasing/reservation_plan.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

namespace
{

/// Number of groups for which a reservation is tried, for each one that the
/// setting allows; it bounds the time of a placement round.
constexpr std::size_t tries_for_each_reservation = 2;

/// A group with a task for which no executor has capacity.
struct blocked_entry
{
    /// CPU amount of a task divided by the largest amount that is free on an
    /// executor of its service.
    double width = 0.0;
    std::size_t rank = 0;
    job_record const* job = nullptr;
    std::uint16_t group = 0;
};

/// The widest group comes first, and among equal ones that which is served
/// first.
bool is_reserved_first(blocked_entry const& left, blocked_entry const& right)
{
    return left.width != right.width ? left.width > right.width
                                     : left.rank < right.rank;
}

/// Returns whether the executors have capacity for all waiting tasks of a
/// group, if no other task starts.
bool has_capacity(executor_pool const& pool, job_record const& job,
                  std::uint16_t group)
{
    auto const& spec = job.job.groups[group];
    std::size_t missing = job.groups[group].waiting;
    for (auto const* const executor : pool.with_capacity)
    {
        auto free = executor->free_capacity();
        if (!spec.each_task.fits_into(free) ||
            !has_label(executor->description, spec.required_label))
        {
            continue;
        }
        auto starts = starts_left(*executor, job, group);
        for (; starts > 0 && missing > 0 && spec.each_task.fits_into(free);
             --starts, --missing)
        {
            free -= spec.each_task;
        }
        if (missing == 0)
        {
            return true;
        }
    }
    return false;
}

/// Returns the time at which a run is expected to end; empty if it has taken
/// much longer than expected, as the runs that are 7 times as long do.
std::optional<time_point> expected_end(run_record const& run,
                                       time_point stop_end, time_point now)
{
    if (run.phase == run_phase::stopping ||
        run.phase == run_phase::stop_accepted)
    {
        return stop_end;
    }
    auto const total = run.projected_end ? *run.projected_end - run.sent_at
                                         : run.expected_run_time;
    for (double const factor : {1.0, run_time_overrun_factor})
    {
        auto const end = run.sent_at + scale_duration(total, factor);
        if (end > now)
        {
            return end;
        }
    }
    return std::nullopt;
}

reservable_executor make_reservable(executor_record const& executor,
                                    time_point stop_end, time_point now)
{
    reservable_executor made{executor.id, executor.free_capacity(), {}};
    made.releases.reserve(executor.runs.size());
    for (auto const& run : executor.runs)
    {
        if (auto const end = expected_end(run, stop_end, now))
        {
            made.releases.push_back({*end, run.amounts});
        }
    }
    return made;
}

} // namespace

void scheduler_state::plan_reservations(
    std::span<std::pair<serving_position, job_record*> const> order,
    std::map<std::string_view, executor_pool> const& pools,
    scheduler_context& context)
{
    if (limits.reservations == 0)
    {
        return;
    }
    waiting_sizes sizes;
    std::vector<blocked_entry> blocked;
    for (std::size_t rank = 0; rank < order.size(); ++rank)
    {
        auto const& job = *order[rank].second;
        auto const& pool = pools.at(job.job.service);
        auto const largest = pool.largest_free_millicores;
        for (std::size_t i = 0; i < job.groups.size(); ++i)
        {
            auto const group = static_cast<std::uint16_t>(i);
            std::size_t const tasks = job.groups[i].waiting;
            auto const cpu = job.job.groups[i].each_task.cpu_millicores;
            sizes.include(job.job.id, group, cpu, tasks);
            if (tasks > 0 && (cpu > largest || !has_capacity(pool, job, group)))
            {
                blocked.push_back(
                    {static_cast<double>(cpu) / std::max(largest, 1U), rank,
                     &job, group});
            }
        }
    }
    if (blocked.empty())
    {
        return;
    }
    round.sizes = sizes;
    round.plan.emplace(limits.reservations, run_time_overrun_factor,
                       context.now);
    add_reservable_executors(pools, context.now);
    auto const tries = std::min(blocked.size(), limits.reservations *
                                                    tries_for_each_reservation);
    std::ranges::partial_sort(
        blocked, blocked.begin() + static_cast<std::ptrdiff_t>(tries),
        is_reserved_first);
    for (auto const& entry : std::span{blocked}.first(tries))
    {
        reserve_capacity(*entry.job, entry.group, entry.rank, context.now);
    }
    log_reservations(context);
}

// An executor that is kept for a suspect task is in no pool, although it has
// unused capacity.
void scheduler_state::add_reservable_executors(
    std::map<std::string_view, executor_pool> const& pools, time_point now)
{
    auto const stop_end = now + limits.stop_time;
    for (auto const& [service, pool] : pools)
    {
        for (auto const* const executor : pool.with_capacity)
        {
            if (accepts(*executor, now))
            {
                round.plan->add(make_reservable(*executor, stop_end, now));
            }
        }
    }
    for (auto const& [id, executor] : executors)
    {
        if (executor.free_capacity().cpu_millicores == 0 &&
            accepts(executor, now))
        {
            round.plan->add(make_reservable(executor, stop_end, now));
        }
    }
}

void scheduler_state::reserve_capacity(job_record const& job,
                                       std::uint16_t group, std::size_t rank,
                                       time_point now)
{
    auto const& tasks = job.groups[group].tasks;
    std::size_t index = 0;
    for (; index < tasks.size(); ++index)
    {
        leased_task const task{job.job.id, group,
                               static_cast<std::uint16_t>(index)};
        if (tasks[index].phase == task_phase::waiting &&
            !crashes.is_suspect(task) && !withheld_tasks.contains(task))
        {
            break;
        }
    }
    if (index == tasks.size())
    {
        return;
    }
    auto const& spec = job.job.groups[group];
    auto const avoided =
        executors.size() > 1 ? tasks[index].avoided : std::nullopt;
    auto const slowdown = [&](executor_id id) -> std::optional<double>
    {
        auto const& executor = executors.at(id);
        bool const has_refused =
            executor.refusal && now < executor.refusal->expires_at;
        if (id == avoided || has_refused ||
            executor.description.service != job.job.service ||
            !has_label(executor.description, spec.required_label) ||
            starts_left(executor, job, group) == 0)
        {
            return std::nullopt;
        }
        return expected_slowdown(executor, spec);
    };
    round.plan->reserve(
        {job.job.id, group, rank, spec.each_task, spec.estimate, job.deadline},
        slowdown);
}

bool scheduler_state::allows_start(job_record const& job, std::uint16_t group,
                                   placement_candidate& candidate) const
{
    auto const& spec = job.job.groups[group];
    auto const effect = round.plan->effect_of(
        {candidate.executor, round.rank, spec.each_task,
         scale_duration(spec.estimate, candidate.slowdown)});
    candidate.delays_reservation =
        effect == reservation_effect::delays_later_job;
    return effect != reservation_effect::delays_earlier_job;
}

void scheduler_state::exclude_reserved(
    job_record const& job, std::uint16_t group,
    std::vector<placement_candidate>& candidates) const
{
    if (round.plan)
    {
        std::erase_if(candidates,
                      [&](placement_candidate& candidate)
                      {
                          return !allows_start(job, group, candidate);
                      });
    }
}

bool scheduler_state::record_start_beside_reservations(
    job_record const& job, std::uint16_t group, placement_candidate& candidate)
{
    if (!round.plan)
    {
        return true;
    }
    auto const& spec = job.job.groups[group];
    round.plan->record_start(
        {candidate.executor, round.rank, spec.each_task,
         scale_duration(spec.estimate, candidate.slowdown)});
    return allows_start(job, group, candidate);
}

void scheduler_state::log_reservations(scheduler_context& context)
{
    for (auto const& [executor, reserved] : round.plan->reservations())
    {
        auto& logged = jobs.at(reserved.job).reserved_on;
        if (std::ranges::find(logged, executor) != logged.end())
        {
            continue;
        }
        logged.push_back(executor);
        scheduler_log_event log_event{.event = "capacity_reserved",
                                      .job = reserved.job,
                                      .executor = executor};
        log_event.slack = reserved.at - context.now;
        log_event.run_time = reserved.expected_run;
        log_event.count = reserved.amounts.cpu_millicores;
        context.out.emplace_back(log_event);
    }
}

} // namespace goldcrestgate::core::detail
