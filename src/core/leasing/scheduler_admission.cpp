#include "goldcrestgate/core/leasing/admission.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"
#include "goldcrestgate/core/leasing/detail/waiting_work.hpp"
#include "goldcrestgate/core/leasing/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace goldcrestgate::core::detail
{

namespace
{

/// Fraction of an executor's capacity that tasks of usual sizes can use.
constexpr double usable_fraction = 0.85;

} // namespace

bool scheduler_state::serves(executor_record const& executor,
                             std::string_view service, time_point now) const
{
    return accepts(executor, now) &&
           (service.empty() || executor.description.service == service);
}

double scheduler_state::usable_millicores(std::string_view service,
                                          time_point now, double slowest) const
{
    double total = 0.0;
    for (auto const& [id, executor] : executors)
    {
        if (serves(executor, service, now) && speeds.slowdown(id) <= slowest)
        {
            total += executor.description.capacity.cpu_millicores /
                     speeds.slowdown(id);
        }
    }
    return total * usable_fraction;
}

serving_position scheduler_state::serving_position_of(job_record const& job,
                                                      time_point now,
                                                      double slowest)
{
    return core::serving_position_of(
        {job.due, latest_start(job), job_needs_fast_executor(job, now, slowest),
         job.started()},
        now);
}

duration scheduler_state::expected_wait(std::string_view service,
                                        time_point now) const
{
    constexpr double longest_wait_s = 60.0;
    constexpr double microseconds = 1e6;
    double const slowest = std::numeric_limits<double>::max();
    double const usable =
        std::max(usable_millicores(service, now, slowest), 1.0);
    double work = 0.0;
    for (auto const& [id, job] : jobs)
    {
        if (service.empty() || job.job.service == service)
        {
            work += waiting_work(job);
        }
    }
    double const wait_s = work / usable;
    return duration{
        std::llround(std::min(wait_s, longest_wait_s) * microseconds)};
}

std::map<std::string_view, slowdown_range>
scheduler_state::slowdowns(time_point now) const
{
    std::map<std::string_view, slowdown_range> ranges;
    for (auto const& [id, executor] : executors)
    {
        if (!accepts(executor, now))
        {
            continue;
        }
        auto const [entry, is_first] =
            ranges.try_emplace(executor.description.service);
        entry->second.include(speeds.slowdown(id), is_first);
    }
    return ranges;
}

time_point scheduler_state::latest_start(job_record const& job)
{
    return job.due - job.critical_path_time;
}

bool scheduler_state::job_needs_fast_executor(job_record const& job,
                                              time_point now, double slowest)
{
    return needs_fast_executor(job.critical_path_time, job.deadline - now,
                               slowest, job.path_factors.worst_case);
}

admission_verdict scheduler_state::evaluate_admission(job_record const& job,
                                                      time_point now) const
{
    std::string_view const service = job.job.service;
    auto const range = slowdowns(now)[service];
    double const best_case = job.path_factors.best_case;
    // Highest slowdown at which an executor may still finish the job in time.
    double const slowest_allowed =
        job.critical_path_time > duration{}
            ? static_cast<double>((job.deadline - now).count()) /
                  (static_cast<double>(job.critical_path_time.count()) *
                   best_case)
            : range.slowest;
    admission_input input;
    input.time_to_objective = job.due - now;
    input.time_to_limit = job.deadline - now;
    input.fastest_run =
        scale_duration(job.critical_path_time, range.fastest * best_case);
    for (auto const& group : job.job.groups)
    {
        input.own_work += group.task_count * cpu_work(group);
    }
    auto const position = serving_position_of(job, now, range.slowest);
    for (auto const& [id, other] : jobs)
    {
        if (other.job.service != service)
        {
            continue;
        }
        // Every late job counts as ahead: a late job that has started takes the
        // capacity that becomes free on the executors of its other tasks.
        bool const goes_first =
            latest_start(other) < now ||
            serving_position_of(other, now, range.slowest) <= position;
        if (goes_first)
        {
            input.work_ahead += waiting_work(other);
        }
    }
    // Under contention, the order by shares decides what is served before.
    input.work_ahead =
        work_ahead_by_share(job, now, range).value_or(input.work_ahead);
    input.usable_millicores = usable_millicores(
        service, now, std::max(slowest_allowed, range.fastest));
    input.can_start_now = input.work_ahead <= 0.0;
    return admit(input);
}

} // namespace goldcrestgate::core::detail
