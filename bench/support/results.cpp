#include "support/results.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace goldcrestgate::bench
{

namespace
{

double milliseconds(core::duration time)
{
    return static_cast<double>(time.count()) / 1000.0;
}

double ratio(core::duration time, core::duration base)
{
    return static_cast<double>(time.count()) /
           static_cast<double>(base.count());
}

double quantile(std::vector<double> const& sorted, double probability)
{
    auto const last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(probability * last))];
}

bool is_measured(workload const& work, std::uint32_t job)
{
    return work.jobs[job].submitted.time_since_epoch() >=
           work.parameters.warm_up;
}

// The samples of all tasks or all jobs from which the statistics are computed.
struct samples
{
    std::vector<double> response;
    std::vector<double> to_reference;
    std::vector<double> to_work;
};

void add_tasks(workload const& work, std::uint32_t job,
               run_result const& result, run_result const& reference,
               samples& out)
{
    auto const& spec = work.jobs[job];
    for (std::uint32_t i = 0; i < spec.task_count; ++i)
    {
        std::uint32_t const index = spec.first_task + i;
        auto const response = result.task_responses[index];
        if (response <= core::duration{})
        {
            continue;
        }
        out.response.push_back(milliseconds(response));
        out.to_work.push_back(ratio(response, work.tasks[index].nominal));
        if (reference.task_responses[index] > core::duration{})
        {
            out.to_reference.push_back(
                ratio(response, reference.task_responses[index]));
        }
    }
}

void add_job(std::uint32_t job, run_result const& result,
             run_result const& reference, samples& out)
{
    auto const response = result.job_responses[job];
    out.response.push_back(milliseconds(response));
    if (reference.job_responses[job] > core::duration{})
    {
        out.to_reference.push_back(
            ratio(response, reference.job_responses[job]));
    }
}

void count_end(job_end end, policy_statistics& out)
{
    ++out.jobs_measured;
    out.jobs_done += end == job_end::done ? 1 : 0;
    out.jobs_refused += end == job_end::refused ? 1 : 0;
    out.jobs_failed +=
        end == job_end::failed || end == job_end::expired ? 1 : 0;
}

void add_team_statistics(workload const& work, run_result const& result,
                         policy_statistics& out)
{
    std::vector<double> sums(work.parameters.teams);
    std::vector<double> counts(work.parameters.teams);
    for (std::uint32_t job = 0; job < work.jobs.size(); ++job)
    {
        auto const& spec = work.jobs[job];
        if (!is_measured(work, job) || result.job_ends[job] != job_end::done)
        {
            continue;
        }
        for (std::uint32_t i = 0; i < spec.task_count; ++i)
        {
            std::uint32_t const index = spec.first_task + i;
            sums[spec.team.value()] +=
                ratio(result.task_responses[index], work.tasks[index].nominal);
            counts[spec.team.value()] += 1.0;
        }
    }
    double const all = std::accumulate(sums.begin(), sums.end(), 0.0) /
                       std::accumulate(counts.begin(), counts.end(), 1e-9);
    out.team_lowest = 1e9;
    for (std::size_t team = 0; team < sums.size(); ++team)
    {
        if (counts[team] > 0.0)
        {
            double const mean = sums[team] / counts[team] / all;
            out.team_lowest = std::min(out.team_lowest, mean);
            out.team_highest = std::max(out.team_highest, mean);
        }
    }
}

} // namespace

summary summarize(std::vector<double> values)
{
    if (values.empty())
    {
        return {};
    }
    std::sort(values.begin(), values.end());
    double const sum = std::accumulate(values.begin(), values.end(), 0.0);
    return {sum / static_cast<double>(values.size()), quantile(values, 0.5),
            quantile(values, 0.99), quantile(values, 0.999)};
}

policy_statistics compute_statistics(workload const& work,
                                     run_result const& result,
                                     run_result const& reference)
{
    policy_statistics statistics;
    samples tasks;
    samples jobs;
    for (std::uint32_t job = 0; job < work.jobs.size(); ++job)
    {
        if (!is_measured(work, job))
        {
            continue;
        }
        count_end(result.job_ends[job], statistics);
        add_tasks(work, job, result, reference, tasks);
        if (result.job_ends[job] == job_end::done)
        {
            add_job(job, result, reference, jobs);
        }
    }
    statistics.task_response = summarize(std::move(tasks.response));
    statistics.task_to_reference = summarize(std::move(tasks.to_reference));
    statistics.task_to_work = summarize(std::move(tasks.to_work));
    statistics.job_response = summarize(std::move(jobs.response));
    statistics.job_to_reference = summarize(std::move(jobs.to_reference));
    statistics.messages = result.messages;
    statistics.goodput = result.goodput;
    add_team_statistics(work, result, statistics);
    return statistics;
}

} // namespace goldcrestgate::bench
