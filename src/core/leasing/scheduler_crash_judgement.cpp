#include "goldcrestgate/core/detail/hash_bytes.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

// Tells crashes that a task has caused from other ends of processes.

namespace goldcrestgate::core::detail
{

namespace
{

/// Crashes within this time of each other count as simultaneous.
constexpr duration simultaneous_crash_time = std::chrono::milliseconds{250};

/// Time for the news of the restarts of other executors to arrive: entries are
/// read every 300 ms, and a new process writes its own first.
constexpr duration crash_settle_time = std::chrono::milliseconds{700};

/// Time for the next process at the address to be listed and to answer.
constexpr duration next_process_timeout = std::chrono::seconds{2};

/// A crash is shared if a sixteenth of the executors without a suspect crashed
/// in the same moment, at least three of them or all; or most executors.
constexpr std::uint64_t shared_crash_divisor = 16;
constexpr std::uint64_t min_shared_crashes = 3;
constexpr std::uint64_t min_majority = 2;

/// Tolerance for the delay of answers when the start of a process is computed
/// from its clock.
constexpr duration process_start_tolerance = std::chrono::milliseconds{100};

bool is_shared(crash_evidence const& evidence)
{
    auto const others = evidence.other_executors;
    auto const share =
        (others + shared_crash_divisor - 1) / shared_crash_divisor;
    bool const is_share_of_others =
        others > 0 && evidence.other_crashes >=
                          std::min(others, std::max(min_shared_crashes, share));
    // Whatever the crashed executors ran, most of them did not crash by it.
    bool const is_majority = evidence.crashes >= min_majority &&
                             2 * evidence.crashes > evidence.executors;
    return is_share_of_others || is_majority;
}

/// Returns an id that all owners compute alike.
std::uint64_t make_crash_id(executor_description const& executor,
                            task_run const& run)
{
    return hash_bytes(executor.name + '/' +
                      std::to_string(executor.incarnation) + '/' +
                      std::to_string(run.execution));
}

bool has_run_of(executor_record const& executor, client_job_id job)
{
    return std::ranges::any_of(executor.runs,
                               [job](run_record const& run)
                               {
                                   return run.run.task.job == job;
                               });
}

} // namespace

possible_crash
scheduler_state::make_possible_crash(executor_record const& executor,
                                     run_record const& run, bool alone)
{
    possible_crash crash;
    crash.run = run.run;
    crash.id = make_crash_id(executor.description, run.run);
    crash.incarnation = executor.description.incarnation;
    crash.alone = alone;
    crash.isolated = run.isolated;
    // The run may have ended by a stop that was not answered, or while the
    // executor answered other orders.
    auto const seen_at = std::max(run.confirmed_at, run.listed_at);
    auto const expected_end = run.sent_at + run.expected_run_time;
    if (run.phase != run_phase::running ||
        executor.clock_at > std::max(seen_at, expected_end))
    {
        crash.start = "unconfirmed";
        return crash;
    }
    crash.seen_at = seen_at;
    crash.start = run.listed_at != time_point{} ? "listed" : "accepted";
    return crash;
}

crash_evidence scheduler_state::evidence_of(executor_record const& executor,
                                            possible_crash const& crash) const
{
    crash_evidence evidence;
    evidence.start = crash.start;
    evidence.incarnation = crash.incarnation;
    if (!executor.last_process_end)
    {
        return evidence;
    }
    auto const job = crash.run.task.job;
    auto const ended = executor.last_process_end->latest();
    auto const crashed_then = [ended](executor_record const& other)
    {
        return other.last_process_end &&
               std::chrono::abs(other.last_process_end->latest() - ended) <=
                   simultaneous_crash_time;
    };
    std::vector<executor_id> with_job;
    for (auto const& unsettled : unsettled_crashes)
    {
        if (unsettled.crash.run.task.job == job)
        {
            with_job.push_back(unsettled.executor);
        }
    }
    std::ranges::sort(with_job);
    auto const& service = executor.description.service;
    for (auto const& [id, other] : executors)
    {
        if (id == executor.id || !other.listed ||
            other.description.service != service)
        {
            continue;
        }
        bool const crashed = crashed_then(other);
        // The state of an executor that does not answer is not known.
        bool const is_known = crashed || (other.claimed && !other.unresponsive);
        if (!is_known)
        {
            continue;
        }
        ++evidence.executors;
        evidence.crashes += crashed ? 1 : 0;
        bool const has_suspect =
            crashed ? other.last_process_end->had_suspect
                    : std::ranges::any_of(other.runs, &run_record::isolated);
        if (!has_suspect && !has_run_of(other, job) &&
            !std::ranges::binary_search(with_job, id))
        {
            ++evidence.other_executors;
            evidence.other_crashes += crashed ? 1 : 0;
        }
    }
    return evidence;
}

void scheduler_state::record_process_end(executor_record& executor,
                                         time_point now)
{
    bool const had_suspect =
        std::ranges::any_of(executor.runs, &run_record::isolated) ||
        std::ranges::any_of(executor.possible_crashes,
                            &possible_crash::isolated);
    executor.last_process_end = process_end{now, std::nullopt, had_suspect};
}

void scheduler_state::notice_process_end(executor_record& executor,
                                         time_point now)
{
    if (!executor.last_process_end || executor.last_process_end->next_start)
    {
        record_process_end(executor, now);
    }
}

void scheduler_state::record_successor(executor_record& successor,
                                       time_point now)
{
    for (auto& [id, executor] : executors)
    {
        if (id == successor.id ||
            executor.description.address != successor.description.address)
        {
            continue;
        }
        successor.predecessor = id;
        notice_process_end(executor, now);
    }
}

void scheduler_state::record_process_start(executor_record& executor,
                                           poll_answer const& answer,
                                           time_point now)
{
    if (!answer.clock)
    {
        return;
    }
    auto const started = process_start(*answer.clock, now);
    auto const record_start = [started](executor_record& restarted)
    {
        auto& ended = restarted.last_process_end;
        if (ended && !ended->next_start)
        {
            ended->next_start = started;
        }
    };
    record_start(executor);
    if (executor.predecessor)
    {
        auto const earlier = executors.find(*executor.predecessor);
        if (earlier != executors.end())
        {
            record_start(earlier->second);
        }
        executor.predecessor.reset();
    }
}

void scheduler_state::resolve_crashes(executor_record& executor,
                                      poll_answer const& answer,
                                      scheduler_context& context)
{
    for (auto const& crash : std::exchange(executor.possible_crashes, {}))
    {
        // The task may have ended as done elsewhere meanwhile.
        if (!crashes.contains(crash.run.task, crash.id))
        {
            continue;
        }
        bool const started_later =
            answer.clock && process_start(*answer.clock, context.now) +
                                    process_start_tolerance >=
                                crash.seen_at;
        bool const is_named = answer.incarnation != 0 && crash.incarnation != 0;
        bool const has_ended =
            is_named ? answer.incarnation != crash.incarnation : started_later;
        if (!has_ended)
        {
            refute_crash(executor, crash, context);
        }
        else if (started_later)
        {
            await_other_crashes(executor, crash, context);
        }
        else
        {
            record_crash(executor, crash, crash_state::suspected,
                         "crash_unproven", context);
        }
    }
}

void scheduler_state::refute_crash(executor_record const& executor,
                                   possible_crash const& crash,
                                   scheduler_context& context)
{
    record_crash(executor, crash, crash_state::refuted, "crash_refuted",
                 context);
}

void scheduler_state::refute_crashes(executor_record& executor,
                                     scheduler_context& context)
{
    for (auto const& crash : std::exchange(executor.possible_crashes, {}))
    {
        refute_crash(executor, crash, context);
    }
}

void scheduler_state::judge_crash_before_restart(executor_record& executor,
                                                 possible_crash const& crash,
                                                 scheduler_context& context)
{
    if (!executor.claimed)
    {
        suspect_crash(executor, crash, context);
        return;
    }
    auto const present = executor.description.incarnation;
    if (present != 0 && present == crash.incarnation)
    {
        refute_crash(executor, crash, context);
        return;
    }
    await_other_crashes(executor, crash, context);
}

void scheduler_state::await_other_crashes(executor_record& executor,
                                          possible_crash const& crash,
                                          scheduler_context& context)
{
    if (!executor.last_process_end ||
        executor.last_process_end->latest() < crash.seen_at)
    {
        record_process_end(executor, context.now);
    }
    record_crash(executor, crash, crash_state::suspected, "crash_found",
                 context);
    unsettled_crashes.push_back({executor.id, crash,
                                 context.now + crash_settle_time,
                                 context.now + next_process_timeout});
}

void scheduler_state::settle_crashes(scheduler_context& context)
{
    std::set<client_job_id> identified;
    std::vector<unsettled_crash> left;
    for (auto const& unsettled : unsettled_crashes)
    {
        auto const& crash = unsettled.crash;
        auto const& task = crash.run.task;
        auto const found = executors.find(unsettled.executor);
        if (found == executors.end() || !crashes.contains(task, crash.id))
        {
            continue;
        }
        auto const& executor = found->second;
        auto const evidence = evidence_of(executor, crash);
        bool const has_next_process =
            executor.last_process_end->next_start.has_value();
        if (is_shared(evidence))
        {
            record_crash(executor, crash, crash_state::shared, "crash_shared",
                         evidence, context);
        }
        else if (context.now <
                 (has_next_process ? unsettled.due : unsettled.expires_at))
        {
            left.push_back(unsettled);
        }
        else if (!crash.is_run_confirmed() || executor.description.draining ||
                 !has_next_process)
        {
            record_crash(executor, crash, crash_state::suspected,
                         "crash_unproven", evidence, context);
        }
        else
        {
            record_crash(executor, crash, crash_state::confirmed,
                         "crash_counted", evidence, context);
            if (crashes.is_crash_looping(task))
            {
                identified.insert(task.job);
            }
        }
    }
    unsettled_crashes = std::move(left);
    for (auto const job : identified)
    {
        end_crash_looping_job(job, context);
    }
}

} // namespace goldcrestgate::core::detail
