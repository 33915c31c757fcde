#include "support/workload.hpp"

#include "support/random.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace goldcrestgate::bench
{

namespace
{

constexpr double mean_speed = 2.5;
constexpr double lowest_speed = 1.0;
constexpr double highest_speed = 4.0;
constexpr double largest_job = 1800.0;
constexpr double long_task_share = 0.05;
constexpr double burst_time_share = 0.1;
constexpr double impossible_share = 0.02;

// The load balancer distributes the jobs unevenly over the entry instances.
constexpr std::array<double, 8> instance_weights = {1.0, 2.0, 1.0, 3.0,
                                                    1.5, 2.0, 1.0, 1.5};

core::duration from_seconds(double seconds)
{
    return core::duration{static_cast<std::int64_t>(seconds * 1e6)};
}

double server_service_factor(std::uint32_t server, core::service_id service)
{
    random_source random{(std::uint64_t{server} << 32) + service.value() + 1};
    return random.uniform(0.9, 1.1);
}

std::vector<double> make_speeds(scenario const& parameters,
                                random_source& random)
{
    std::vector<double> speeds(parameters.servers);
    double const step = (highest_speed - lowest_speed) /
                        std::max(1.0, parameters.servers - 1.0);
    for (std::uint32_t i = 0; i < parameters.servers; ++i)
    {
        speeds[i] = lowest_speed + step * i;
    }
    for (std::uint32_t i = parameters.servers; i > 1; --i)
    {
        std::swap(speeds[i - 1], speeds[random.below(i)]);
    }
    return speeds;
}

core::settings_ptr make_settings(scenario const& parameters)
{
    auto view = std::make_shared<core::settings_view>();
    for (std::uint32_t i = 0; i < parameters.services; ++i)
    {
        view->service_ids["service" + std::to_string(i)] = core::service_id{i};
        view->services.emplace_back();
    }
    for (std::uint32_t i = 0; i < parameters.teams; ++i)
    {
        view->team_ids["team" + std::to_string(i)] = core::team_id{i};
        view->teams.emplace_back();
    }
    return view;
}

std::uint32_t draw_instance(scenario const& parameters, random_source& random)
{
    auto const* const end = instance_weights.data() + parameters.instances;
    double const total = std::accumulate(instance_weights.data(), end, 0.0);
    double remaining = random.uniform(0.0, total);
    for (std::uint32_t i = 0; i + 1 < parameters.instances; ++i)
    {
        remaining -= instance_weights[i];
        if (remaining < 0.0)
        {
            return i;
        }
    }
    return parameters.instances - 1;
}

// Draws from a Pareto distribution, P(size > n) = 1 / n, cut off at the largest
// job, so that jobs of every order of magnitude make up equal shares of the
// work.
std::uint32_t draw_job_size(random_source& random)
{
    double const size = 1.0 / random.uniform(1.0 / largest_job, 1.0);
    return static_cast<std::uint32_t>(
        std::clamp(std::floor(size), 1.0, largest_job));
}

// A declared run time deviates from the nominal one by a factor of the service
// (1/3 to 3) and a factor of the task (0.6 to 1.67); their product ranges from
// 0.2 to 5.
task_spec make_task(double service_bias, random_source& random)
{
    bool const is_long = random.uniform(0.0, 1.0) < long_task_share;
    double const seconds =
        is_long ? random.log_uniform(1.0, 5.0) : random.log_uniform(0.05, 1.0);
    double const bias = service_bias * random.log_uniform(0.6, 1.0 / 0.6);
    return {from_seconds(seconds), from_seconds(seconds * bias)};
}

// Draws a submission time in seconds. With a burst, the rate in the first of
// every ten seconds is the mean rate times the burst factor.
double draw_submission_second(scenario const& parameters, random_source& random)
{
    double const length =
        std::chrono::duration<double>(parameters.length).count();
    double const submitted_at = random.uniform(0.0, length);
    double const burst_probability = burst_time_share * parameters.burst;
    if (parameters.burst <= 1.0)
    {
        return submitted_at;
    }
    double const period = std::floor(submitted_at / 10.0) * 10.0;
    bool const in_burst = random.uniform(0.0, 1.0) < burst_probability;
    return period +
           (in_burst ? random.uniform(0.0, 1.0) : random.uniform(1.0, 10.0));
}

job_spec make_job(scenario const& parameters, random_source& random)
{
    job_spec job;
    job.submitted = core::time_point{
        from_seconds(draw_submission_second(parameters, random))};
    job.instance = draw_instance(parameters, random);
    double const team = random.uniform(0.0, 1.0) * random.uniform(0.0, 1.0);
    job.team =
        core::team_id{static_cast<std::uint32_t>(team * parameters.teams)};
    job.service = core::service_id{random.below(parameters.services)};
    job.urgent = random.uniform(0.0, 1.0) < 0.05;
    job.repeatable = random.uniform(0.0, 1.0) < 0.5;
    job.impossible = parameters.fault == fault_kind::impossible_jobs &&
                     random.uniform(0.0, 1.0) < impossible_share;
    job.task_count = job.impossible ? 1 : draw_job_size(random);
    return job;
}

} // namespace

core::duration workload::work_time(std::uint32_t job, std::uint32_t task,
                                   std::uint32_t server) const
{
    double const factor = mean_speed / speeds[server] *
                          server_service_factor(server, jobs[job].service);
    auto const nominal = tasks[jobs[job].first_task + task].nominal;
    return core::duration{static_cast<std::int64_t>(
        static_cast<double>(nominal.count()) * factor)};
}

double workload::capacity() const
{
    double const speed = std::accumulate(speeds.begin(), speeds.end(), 0.0);
    return speed / mean_speed * parameters.slots;
}

workload make_workload(scenario const& parameters)
{
    random_source random{parameters.seed};
    workload result;
    result.parameters = parameters;
    result.speeds = make_speeds(parameters, random);
    result.settings = make_settings(parameters);
    std::vector<double> biases(parameters.services);
    for (double& bias : biases)
    {
        bias = random.log_uniform(1.0 / 3.0, 3.0);
    }
    double const length =
        std::chrono::duration<double>(parameters.length).count();
    double remaining = parameters.load * result.capacity() * length;
    while (remaining > 0.0)
    {
        job_spec job = make_job(parameters, random);
        job.first_task = static_cast<std::uint32_t>(result.tasks.size());
        for (std::uint32_t i = 0; i < job.task_count; ++i)
        {
            result.tasks.push_back(
                make_task(biases[job.service.value()], random));
            remaining -=
                std::chrono::duration<double>(result.tasks.back().nominal)
                    .count();
        }
        result.jobs.push_back(job);
    }
    std::stable_sort(result.jobs.begin(), result.jobs.end(),
                     [](job_spec const& left, job_spec const& right)
                     {
                         return left.submitted < right.submitted;
                     });
    return result;
}

} // namespace goldcrestgate::bench
