#include "goldcrestgate/core/leasing/admission.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"
#include "goldcrestgate/core/leasing/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace goldcrestgate::core::detail
{

namespace
{

/// Share of an executor that tasks of usual sizes fill.
constexpr double usable_share = 0.85;

double cpu_work(task_group const& group)
{
    return static_cast<double>(group.estimate.count()) / 1e6 *
           group.each_task.cpu_millicores;
}

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
    return total * usable_share;
}

serving_position scheduler_state::position_of(job_record const& job,
                                              time_point now, double slowest)
{
    return core::position_of({job.due, latest_start(job),
                              needs_fast(job, now, slowest), job.started},
                             now);
}

std::vector<queue_entry>
scheduler_state::waiting_queue(std::string_view service, time_point now) const
{
    double const slowest = slowdowns(service, now).slowest;
    std::vector<queue_entry> queue;
    for (auto const& [id, job] : jobs)
    {
        if (!service.empty() && job.job.service != service)
        {
            continue;
        }
        double work = 0.0;
        for (std::size_t i = 0; i < job.groups.size(); ++i)
        {
            work += job.groups[i].waiting * cpu_work(job.job.groups[i]);
        }
        if (work > 0.0)
        {
            queue.push_back(
                {position_of(job, now, slowest), latest_start(job), work});
        }
    }
    std::ranges::sort(queue, {}, &queue_entry::position);
    return queue;
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
    for (auto const& entry : waiting_queue(service, now))
    {
        work += entry.work;
    }
    double const wait_s = work / usable;
    return duration{
        std::llround(std::min(wait_s, longest_wait_s) * microseconds)};
}

slowdown_range scheduler_state::slowdowns(std::string_view service,
                                          time_point now) const
{
    slowdown_range range{std::numeric_limits<double>::max(), 0.0};
    for (auto const& [id, executor] : executors)
    {
        if (serves(executor, service, now))
        {
            range.fastest = std::min(range.fastest, speeds.slowdown(id));
            range.slowest = std::max(range.slowest, speeds.slowdown(id));
        }
    }
    return range.slowest > 0.0 ? range : slowdown_range{};
}

time_point scheduler_state::latest_start(job_record const& job)
{
    return job.due - job.chain;
}

bool scheduler_state::needs_fast(job_record const& job, time_point now,
                                 double slowest)
{
    placement_times times;
    times.estimate = job.chain;
    times.to_limit = job.limit - now;
    return needs_fast_executor(times, slowest);
}

admission_verdict scheduler_state::judge_admission(job_record const& job,
                                                   time_point now) const
{
    std::string_view const service = job.job.service;
    auto const range = slowdowns(service, now);
    // The slowest executors that may still end the job in time.
    double const slowest_allowed =
        job.chain > duration{}
            ? static_cast<double>((job.limit - now).count()) /
                  (static_cast<double>(job.chain.count()) * hopeless_margin)
            : range.slowest;
    admission_input input;
    input.time_to_objective = job.due - now;
    input.time_to_limit = job.limit - now;
    input.fastest_run =
        scale_duration(job.chain, range.fastest * hopeless_margin);
    for (auto const& group : job.job.groups)
    {
        input.own_work += group.task_count * cpu_work(group);
    }
    auto const position = position_of(job, now, range.slowest);
    for (auto const& entry : waiting_queue(service, now))
    {
        // Late jobs whose work has begun take the room that becomes free on
        // the executors of their other tasks.
        bool const is_late = entry.latest_start < now;
        if (entry.position <= position || is_late)
        {
            input.work_ahead += entry.work;
        }
    }
    input.usable_millicores = usable_millicores(
        service, now, std::max(slowest_allowed, range.fastest));
    input.room_now = input.work_ahead <= 0.0;
    return admit(input);
}

} // namespace goldcrestgate::core::detail
