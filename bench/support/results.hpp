#pragma once

#include "support/workload.hpp"

#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <vector>

namespace goldcrestgate::bench
{

/// @brief Numbers of messages by purpose; submissions, starts, results and
/// answers are useful.
struct message_counts
{
    std::uint64_t useful = 0;
    /// Starts that an executor refused because all its slots were in use, and
    /// the refusals.
    std::uint64_t refused = 0;
    /// Starts and replies of attempts that failed or could not run, whether or
    /// not the task is retried.
    std::uint64_t retried = 0;
    /// Starts and replies of attempts whose reply arrives after the job has
    /// ended or the entry instance is lost.
    std::uint64_t late = 0;
    /// Cancellations sent for attempts in flight.
    std::uint64_t cancelled = 0;

    /// Messages between entry instances that transfer slots. Each reports one
    /// change, so none is counted as wasted.
    std::uint64_t slots = 0;
    /// Messages between entry instances that report how many slots they need;
    /// control traffic.
    std::uint64_t needs = 0;

    /// @brief Returns the share of wasted messages in all messages except those
    /// counted in @ref slots and @ref needs.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] double wasted_share() const
    {
        auto const wasted =
            static_cast<double>(refused + retried + late + cancelled);
        auto const all = wasted + static_cast<double>(useful);
        return all > 0.0 ? wasted / all : 0.0;
    }
};

/// The state of a job at the end of a run.
enum class job_end : std::uint8_t
{
    open,
    done,
    failed,
    cancelled,
    refused,
    expired,
    /// The entry instance that owned the job was lost.
    lost
};

/// @brief The unaggregated results of one run of a policy.
struct run_result
{
    /// Time from submission to the answer of each task; zero without an answer.
    std::vector<core::duration> task_responses;
    /// Time from submission to the complete answer of each job; zero without
    /// one.
    std::vector<core::duration> job_responses;
    std::vector<job_end> job_ends;
    message_counts messages;
    std::uint64_t starts = 0;
    /// Nominal work per second of jobs answered within their deadline, divided
    /// by the capacity of the executors.
    double goodput = 0.0;
};

/// @brief Mean and quantiles of a set of times or ratios.
struct summary
{
    double mean = 0.0;
    double p50 = 0.0;
    double p99 = 0.0;
    double p999 = 0.0;
};

/// @brief The statistics of one policy in one scenario.
struct policy_statistics
{
    /// Milliseconds.
    summary task_response;
    /// Milliseconds.
    summary job_response;
    /// Response of each task divided by its response in the reference run.
    summary task_to_reference;
    /// Response of each job divided by its response in the reference run.
    summary job_to_reference;
    /// Response of each task divided by its nominal work time.
    summary task_to_work;
    std::uint64_t jobs_measured = 0;
    std::uint64_t jobs_done = 0;
    std::uint64_t jobs_refused = 0;
    std::uint64_t jobs_failed = 0;
    message_counts messages;
    double goodput = 0.0;
    /// Lowest and highest mean of response divided by nominal work time over
    /// the tasks of a team, relative to that mean over the tasks of all teams;
    /// only jobs that are done count.
    double team_lowest = 0.0;
    double team_highest = 0.0;
};

/// @brief Computes the mean and the quantiles of values; all are zero without
/// values.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] summary summarize(std::vector<double> values);

/// @brief Computes the statistics of a run and compares it with the reference
/// run.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] policy_statistics compute_statistics(workload const& work,
                                                   run_result const& result,
                                                   run_result const& reference);

} // namespace goldcrestgate::bench
