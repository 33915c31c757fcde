#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

namespace
{

/// A run that has taken this many times the expected time, and some more, is
/// taken as standing still. Run times vary by 40%, and estimates by as much.
constexpr double stall_factor = 3.0;
constexpr duration stall_margin = std::chrono::milliseconds{120};

/// Runs expected to take this long are looked at early.
constexpr duration long_run = std::chrono::milliseconds{250};
constexpr duration first_look = std::chrono::milliseconds{100};

/// Run times exceed what is expected by up to this factor.
constexpr double usual_excess = 1.4;

/// Below this the rounding of the listed progress makes the end uncertain.
constexpr std::uint32_t reliable_progress_percent = 4;

/// From here on the end is known to about 3%.
constexpr std::uint32_t settled_progress_percent = 30;

/// Tasks of a group differ by 15%, and learned speeds by a few percent.
constexpr double sibling_excess = 1.3;

} // namespace

void scheduler_state::note_progress(executor_record& executor,
                                    listed_run const& listed,
                                    scheduler_turn& turn)
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
    run->progress_at = turn.now;
    if (progress >= reliable_progress_percent && run->estimate > duration{})
    {
        // The listed figure is rounded, so the true one is up to 1 higher.
        auto const total =
            scale_duration(turn.now - run->sent_at, 100.0 / (progress + 1.0));
        run->ends_at = run->sent_at + total;
    }
}

// A second look, beside the hold that waits: at a long run whose progress is
// not known well yet, to tell early whether it can end in time, and at a run
// that is overdue, as the answer to the hold may be lost.
bool scheduler_state::wants_look(executor_record const& executor,
                                 time_point now) const
{
    if (!executor.claimed || executor.silent ||
        now - executor.hold_sent_at < first_look)
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
                run.expected >= long_run && now - run.sent_at >= first_look &&
                run.progress_percent < settled_progress_percent;
            auto const end = run.ends_at.value_or(
                run.sent_at + scale_duration(run.expected, usual_excess));
            return progress_unknown || now > end + first_look;
        });
}

bool scheduler_state::is_stalled(run_record const& run)
{
    if (run.phase != run_phase::running || run.orphan_until)
    {
        return false;
    }
    // Judged when it is listed, as an end may be known late. A run that shows
    // progress may be slow, but it does not stand still.
    if (run.ends_at)
    {
        return run.listed_at >
               *run.ends_at + scale_duration(run.expected, 0.5) + stall_margin;
    }
    return run.listed_at - std::max(run.sent_at, run.progress_at) >
           scale_duration(run.expected, stall_factor) + stall_margin;
}

time_point scheduler_state::room_at(executor_record const& executor,
                                    resource_amounts const& amounts,
                                    time_point now)
{
    if (amounts.fits_into(executor.room()))
    {
        return now;
    }
    auto earliest = time_point::max();
    for (auto const& run : executor.runs)
    {
        auto const end = run.ends_at.value_or(run.sent_at + run.expected);
        earliest = std::min(earliest, std::max(end, now));
    }
    return earliest;
}

// A run that lags far behind the other tasks of its group, or exceeds its
// estimate by more than estimates are wrong, is on a slow executor. Otherwise
// its progress is the best figure there is.
duration scheduler_state::likely_work(executor_record const& executor,
                                      run_record const& run,
                                      task_group const& group) const
{
    auto const normalized =
        [&](executor_record const& host, run_record const& seen)
    {
        return scale_duration(*seen.ends_at - seen.sent_at,
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
            if (is_sibling && other.ends_at)
            {
                longest_sibling =
                    std::max(longest_sibling, normalized(host, other));
            }
        }
    }
    auto const own = normalized(executor, run);
    auto const usual_limit =
        longest_sibling > duration{}
            ? scale_duration(longest_sibling, sibling_excess)
            : scale_duration(group.estimate, limit_margin);
    return std::min(own, usual_limit);
}

bool scheduler_state::ends_elsewhere(executor_record const& executor,
                                     run_record const& run,
                                     job_record const& job,
                                     time_point now) const
{
    auto const& group = job.job.groups[run.run.task.group];
    auto const work = likely_work(executor, run, group);
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
            auto const there =
                scale_duration(work, expected_slowdown(other, group));
            return room_at(other, run.amounts, now) + there < job.limit;
        });
}

// The run's progress also tells the speed of the executor, which is not
// observed otherwise, as the run does not end there.
void scheduler_state::move_run(executor_record& executor, run_record& run,
                               job_record& job, scheduler_turn& turn)
{
    auto const total = *run.ends_at - run.sent_at;
    auto const& task = run.run.task;
    scheduler_log_event note{.event = "run_moved",
                             .job = task.job,
                             .run = run.run,
                             .executor = executor.id,
                             .reason = "too_slow"};
    note.slack = job.limit - turn.now;
    note.run_time = total;
    turn.out.emplace_back(note);
    speeds.observe(executor.id, run.estimate, total);
    job.groups[task.group].tasks[task.index].avoided = executor.id;
    request_stop(executor, run, turn);
}

// Work that cannot end before its caller leaves is given up as soon as its
// progress shows that: the caller hears of it early, and the room serves
// others.
void scheduler_state::give_up_hopeless(scheduler_turn& turn)
{
    std::vector<client_job_id> hopeless;
    for (auto& [id, executor] : executors)
    {
        for (auto& run : executor.runs)
        {
            auto const found = jobs.find(run.run.task.job);
            if (run.orphan_until || !run.ends_at ||
                run.phase != run_phase::running || found == jobs.end() ||
                *run.ends_at <= found->second.limit)
            {
                continue;
            }
            if (ends_elsewhere(executor, run, found->second, turn.now))
            {
                move_run(executor, run, found->second, turn);
            }
            else
            {
                hopeless.push_back(found->first);
            }
        }
    }
    for (auto const job : hopeless)
    {
        close(job, job_outcome::abandoned, {}, "cannot_end_in_time", turn);
    }
}

} // namespace goldcrestgate::core::detail
