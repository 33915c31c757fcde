#include "goldcrestgate/core/leasing/detail/run_time_margins.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

namespace
{

/// Probability with which a task ends within its worst case where the executor
/// is chosen among scarce fast ones. Without observations it gives a factor of
/// 1.8.
constexpr double worst_case_probability = 0.93;

/// Probabilities with which a task has to end in time on a slow executor that
/// is preferred, by the free share of the fast executors. While they are mostly
/// free, a task gains nothing by leaving them to others.
constexpr double margin_probability_mostly_free = 0.995;
constexpr double margin_probability_partly_free = 0.97;
constexpr double mostly_free = 0.5;
constexpr double partly_free = 0.25;

/// A task is not started where it ends in time with a lower probability: most
/// such starts only use capacity. Without observations it gives a factor of
/// 0.65.
constexpr double best_case_probability = 0.14;

/// Weight of a speed sample of a job with two tasks. The run times of three or
/// more tasks show the error of their common estimate.
constexpr double pair_sample_weight = 0.5;

double relative_run_time(run_time_sample const& sample, duration estimate)
{
    return static_cast<double>(sample.run_time.count()) /
           (static_cast<double>(estimate.count()) * sample.expected_slowdown *
            sample.rack_factor);
}

/// @pre @a values is not empty
double median(std::vector<double> values)
{
    auto const middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::ranges::nth_element(values, middle);
    if (values.size() % 2 == 1)
    {
        return *middle;
    }
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

} // namespace

void scheduler_state::record_run_time(job_record& job,
                                      executor_record const& executor,
                                      task_run const& run,
                                      duration run_time) const
{
    if (!has_task(job, run.task))
    {
        return;
    }
    auto const& group_spec = job.job.groups[run.task.group];
    job.groups[run.task.group].run_times.push_back(
        {executor.id, run_time, speeds.slowdown(executor.id),
         rack_factor(executor.description, group_spec)});
}

void scheduler_state::learn_run_times(job_record const& job)
{
    for (std::size_t i = 0; i < job.groups.size(); ++i)
    {
        learn_group_run_times(job, job.groups[i], job.job.groups[i]);
    }
}

// The tasks of a group have one estimate, so its error is common to their run
// times. Divided by their median, the run times show the speeds of executors
// with the spread among the tasks only.
void scheduler_state::learn_group_run_times(job_record const& job,
                                            group_record const& group,
                                            task_group const& group_spec)
{
    auto const& samples = group.run_times;
    if (samples.empty() || group_spec.estimate <= duration{})
    {
        return;
    }
    std::vector<double> ratios;
    ratios.reserve(samples.size());
    for (auto const& sample : samples)
    {
        ratios.push_back(relative_run_time(sample, group_spec.estimate));
    }
    double const common = samples.size() > 1 ? median(ratios) : 1.0;
    double const weight = samples.size() == 1   ? single_sample_weight
                          : samples.size() == 2 ? pair_sample_weight
                                                : 1.0;
    for (std::size_t i = 0; i < samples.size(); ++i)
    {
        auto const& sample = samples[i];
        speeds.observe(
            sample.executor,
            scale_duration(group_spec.estimate, common * sample.rack_factor),
            sample.run_time, weight);
        run_times.observe(job.job.route, group_spec.estimate, ratios[i],
                          1.0 / static_cast<double>(samples.size()));
    }
}

run_time_factors scheduler_state::factors_of(std::string_view route,
                                             duration estimate,
                                             double free_share) const
{
    auto const margin_probability =
        free_share >= mostly_free   ? margin_probability_mostly_free
        : free_share >= partly_free ? margin_probability_partly_free
                                    : worst_case_probability;
    run_time_factors factors;
    // Where run times scatter little, the quantile is close to 1. Jobs that
    // miss their objective by a small part of their run time are served late
    // rather than rejected after a wait, so the assumed factor is the bound.
    factors.best_case =
        std::min(factors.best_case,
                 run_times.quantile(route, estimate, best_case_probability));
    factors.worst_case =
        run_times.quantile(route, estimate, worst_case_probability);
    factors.slow_executor_margin =
        run_times.quantile(route, estimate, margin_probability);
    return factors;
}

double executor_pool::fast_free_share() const
{
    double total = 0.0;
    double free = 0.0;
    for (auto const& member : members)
    {
        if (member.slowdown <= speeds.fastest * different_speed_factor)
        {
            total += member.millicores;
            free += member.free_millicores;
        }
    }
    return total > 0.0 ? free / total : 0.0;
}

} // namespace goldcrestgate::core::detail
