#include "goldcrestgate/core/leasing/detail/run_time_margins.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

namespace
{

/// A run that shows no progress for its expected time multiplied by the factor,
/// plus the margin, counts as stalled. Run times vary by 40%, and estimates are
/// wrong by as much.
constexpr double stall_factor = 3.0;
constexpr duration stall_margin = std::chrono::milliseconds{120};

/// Runs that are expected to take at least this long are polled early for their
/// progress, after the delay below.
constexpr duration long_run_threshold = std::chrono::milliseconds{250};
constexpr duration progress_poll_delay = std::chrono::milliseconds{100};

/// Below this progress, its rounding to whole percents makes the projected end
/// unreliable.
constexpr std::uint32_t reliable_progress_percent = 4;

/// From this progress on, the projected end is accurate to about 3%.
constexpr std::uint32_t accurate_progress_percent = 30;

/// Normalized run times of the tasks of a group differ by up to this factor:
/// the tasks differ by 15%, and learned speeds by a few percent.
constexpr double sibling_spread_factor = 1.3;

} // namespace

void scheduler_state::record_progress(executor_record& executor,
                                      listed_run const& listed,
                                      scheduler_context& context)
{
    auto* const run = find_run(executor, listed.run);
    if (run == nullptr || !listed.progress_percent)
    {
        return;
    }
    auto const progress = *listed.progress_percent;
    if (progress <= run->progress_percent)
    {
        return;
    }
    run->progress_percent = progress;
    run->progress_at = context.now;
    if (progress >= reliable_progress_percent && run->estimate > duration{})
    {
        // The listed progress is rounded down, so the true progress is up to 1
        // percentage point higher.
        auto const total = scale_duration(context.now - run->sent_at,
                                          100.0 / (progress + 1.0));
        run->projected_end = run->sent_at + total;
    }
}

// An extra poll, beside the long poll, is sent for a long run whose progress is
// not yet known well, to detect early whether the run can finish in time, and
// for an overdue run, as the answer to the long poll may be lost.
bool scheduler_state::needs_extra_poll(executor_record const& executor,
                                       time_point now) const
{
    if (!executor.claimed || executor.unresponsive ||
        now - executor.poll_sent_at < progress_poll_delay)
    {
        return false;
    }
    return std::ranges::any_of(
        executor.runs,
        [now](run_record const& run)
        {
            if (run.phase != run_phase::running)
            {
                return false;
            }
            bool const progress_unknown =
                run.expected_run_time >= long_run_threshold &&
                now - run.sent_at >= progress_poll_delay &&
                run.progress_percent < accurate_progress_percent;
            auto const end = run.projected_end.value_or(
                run.sent_at +
                scale_duration(run.expected_run_time, run_time_overrun_factor));
            return progress_unknown || now > end + progress_poll_delay;
        });
}

bool scheduler_state::is_stalled(run_record const& run)
{
    if (run.phase != run_phase::running || run.orphan_deadline)
    {
        return false;
    }
    // The check uses the time at which the run was last listed, as its end may
    // be reported late. A run with progress may be slow but is not stalled.
    if (run.projected_end)
    {
        return run.listed_at > *run.projected_end +
                                   scale_duration(run.expected_run_time, 0.5) +
                                   stall_margin;
    }
    return run.listed_at - std::max(run.sent_at, run.progress_at) >
           scale_duration(run.expected_run_time, stall_factor) + stall_margin;
}

time_point
scheduler_state::capacity_available_at(executor_record const& executor,
                                       resource_amounts const& amounts,
                                       time_point now)
{
    if (amounts.fits_into(executor.free_capacity()))
    {
        return now;
    }
    auto earliest = time_point::max();
    for (auto const& run : executor.runs)
    {
        auto const end =
            run.projected_end.value_or(run.sent_at + run.expected_run_time);
        earliest = std::min(earliest, std::max(end, now));
    }
    return earliest;
}

// A run that lags far behind the other tasks of its group, or that exceeds its
// estimate by more than the usual estimation error, is on a slow executor.
// Otherwise its progress gives the best projection.
duration scheduler_state::projected_work(executor_record const& executor,
                                         run_record const& run,
                                         job_record const& job) const
{
    auto const& group = job.job.groups[run.run.task.group];
    auto const normalized =
        [&](executor_record const& host, run_record const& seen)
    {
        return scale_duration(*seen.projected_end - seen.sent_at,
                              1.0 / expected_slowdown(host, group));
    };
    duration longest_sibling{};
    for (auto const& [id, host] : executors)
    {
        for (auto const& other : host.runs)
        {
            bool const is_sibling =
                other.run.task.job == run.run.task.job &&
                other.run.task.group == run.run.task.group &&
                other.run != run.run;
            if (is_sibling && other.projected_end)
            {
                longest_sibling =
                    std::max(longest_sibling, normalized(host, other));
            }
        }
    }
    auto const own = normalized(executor, run);
    auto const usual_limit =
        longest_sibling > duration{}
            ? scale_duration(longest_sibling, sibling_spread_factor)
            : scale_duration(group.estimate,
                             factors_of(job.job.route, group.estimate, 1.0)
                                 .slow_executor_margin);
    return std::min(own, usual_limit);
}

bool scheduler_state::can_finish_elsewhere(executor_record const& executor,
                                           run_record const& run,
                                           job_record const& job,
                                           time_point now) const
{
    auto const& group = job.job.groups[run.run.task.group];
    auto const work = projected_work(executor, run, job);
    return std::ranges::any_of(
        executors,
        [&](auto const& entry)
        {
            auto const& [id, other] = entry;
            if (id == executor.id || !serves(other, job.job.service, now) ||
                !run.amounts.fits_into(other.description.capacity))
            {
                return false;
            }
            auto const run_time_there =
                scale_duration(work, expected_slowdown(other, group));
            // The task starts elsewhere after its run has been stopped.
            return std::max(capacity_available_at(other, run.amounts, now),
                            now + limits.stop_time) +
                       run_time_there <
                   job.deadline;
        });
}

// The run's progress is also the only sample of the executor's speed, as the
// run does not finish there.
void scheduler_state::move_run(executor_record& executor, run_record& run,
                               job_record& job, scheduler_context& context)
{
    auto const total = *run.projected_end - run.sent_at;
    auto const& task = run.run.task;
    scheduler_log_event log_event{.event = "run_moved",
                                  .job = task.job,
                                  .run = run.run,
                                  .executor = executor.id,
                                  .reason = "too_slow"};
    log_event.slack = job.deadline - context.now;
    log_event.run_time = total;
    context.out.emplace_back(log_event);
    record_run_time(job, executor, run.run, total);
    auto& record = job.groups[task.group].tasks[task.index];
    record.avoided = executor.id;
    record.known_work = projected_work(executor, run, job);
    request_stop(executor, run, context);
}

// Runs that cannot finish before the deadline are moved or abandoned as soon as
// their progress shows it, so that the caller is answered early and the
// capacity serves other jobs.
void scheduler_state::move_or_abandon_late_runs(scheduler_context& context)
{
    std::vector<client_job_id> unfinishable;
    for (auto& [id, executor] : executors)
    {
        for (auto& run : executor.runs)
        {
            auto const found = jobs.find(run.run.task.job);
            if (run.orphan_deadline || !run.projected_end ||
                run.phase != run_phase::running || found == jobs.end() ||
                *run.projected_end <= found->second.deadline)
            {
                continue;
            }
            if (can_finish_elsewhere(executor, run, found->second, context.now))
            {
                move_run(executor, run, found->second, context);
            }
            else
            {
                unfinishable.push_back(found->first);
            }
        }
    }
    for (auto const job : unfinishable)
    {
        end_job(job, job_outcome::abandoned, {}, "cannot_end_in_time", context);
    }
}

} // namespace goldcrestgate::core::detail
