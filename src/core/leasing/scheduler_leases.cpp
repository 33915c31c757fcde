#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>
#include <set>

namespace goldcrestgate::core::detail
{

namespace
{

/// Longest wait of a hold: it bounds how late an end is seen when the answer
/// of one hold is lost, and leaves half of a lease for a renewal.
constexpr duration hold_wait = std::chrono::milliseconds{400};

/// Time for the answer to a hold beyond its wait.
constexpr duration hold_grace = std::chrono::milliseconds{160};

/// Pause after a hold without an answer.
constexpr duration hold_retry = std::chrono::milliseconds{80};

/// Pause after another process answered at an executor's address. The list of
/// executors, which names its successor, is read every 300 ms.
constexpr duration other_incarnation_retry = std::chrono::milliseconds{1000};

/// Runs of an earlier owner are kept for this long after they are seen, for
/// their job to be offered again; instances do so within a heartbeat or two.
constexpr duration orphan_patience = std::chrono::milliseconds{400};

/// An executor's clock may be 2% slow; the rest covers the way of the order.
constexpr double clock_drift = 1.04;
constexpr duration lapse_margin = std::chrono::milliseconds{60};

/// An executor that is missing from the list this long gets no more holds.
constexpr duration unlisted_patience = std::chrono::seconds{5};

} // namespace

duration scheduler_state::lapse_time() const
{
    return scale_duration(limits.longest_lease, clock_drift) + lapse_margin;
}

bool scheduler_state::claims_settled(time_point now) const
{
    return now >= owner_since + lapse_time() ||
           (roster_known && std::ranges::all_of(executors,
                                                [](auto const& entry)
                                                {
                                                    return entry.second.claimed;
                                                }));
}

void scheduler_state::send_hold(executor_record& executor, scheduler_turn& turn)
{
    poll_executor order;
    order.order = next_order();
    order.executor = executor.id;
    order.token = token;
    order.acknowledged = executor.claimed ? executor.acknowledged : 0;
    bool const renews = executor.claimed && !executor.silent;
    if (renews)
    {
        order.lease_until = lease_end(executor, turn.now);
        executor.lapses_at = turn.now + lapse_time();
    }
    bool const waits = renews && !executor.recount;
    bool const is_look = executor.hold.has_value();
    order.wait = waits && !is_look ? hold_wait : duration{};
    order.timeout = order.wait + hold_grace;
    executor.hold = order.order;
    executor.hold_sent_at = turn.now;
    turn.out.emplace_back(order);
}

void scheduler_state::poll_answered(poll_answer const& answer,
                                    scheduler_turn& turn)
{
    auto const found = executors.find(answer.executor);
    if (!owner || found == executors.end())
    {
        return;
    }
    auto& executor = found->second;
    bool const is_latest = executor.hold == answer.order;
    auto const sent_at = executor.hold_sent_at;
    if (is_latest)
    {
        executor.hold.reset();
    }
    if (answer.outcome == order_outcome::fenced)
    {
        if (is_latest)
        {
            fence_executor(executor, turn);
        }
        return;
    }
    if (answer.outcome != order_outcome::accepted)
    {
        if (!is_latest)
        {
            return;
        }
        hold_failed(executor, answer.outcome, sent_at, turn);
        return;
    }
    bool const restarted =
        answer.incarnation != 0 && executor.description.incarnation != 0 &&
        answer.incarnation != executor.description.incarnation;
    if (restarted)
    {
        lose_executor(executor, "restarted", turn);
        executor.description.incarnation = answer.incarnation;
    }
    note_clock(executor, answer.clock, turn.now);
    executor.silent = false;
    executor.health.answered();
    if (!executor.claimed)
    {
        claim_answered(executor, answer, turn);
    }
    apply_ends(executor, answer, turn);
    if (is_latest)
    {
        compare_running(executor, answer, sent_at, turn);
        executor.recount = false;
        if (!executor.runs.empty())
        {
            send_hold(executor, turn);
        }
    }
}

void scheduler_state::hold_failed(executor_record& executor,
                                  order_outcome outcome, time_point sent_at,
                                  scheduler_turn& turn)
{
    if (outcome == order_outcome::other_incarnation)
    {
        if (executor.claimed)
        {
            lose_executor(executor, "restarted", turn);
        }
        executor.next_hold_at = turn.now + other_incarnation_retry;
        return;
    }
    if (executor.claimed && answered_since(executor, sent_at))
    {
        // Only this order was lost; the lease needs the next one at once.
        send_hold(executor, turn);
        return;
    }
    if (!executor.silent && executor.claimed)
    {
        scheduler_log_event note{.event = "executor_silent",
                                 .executor = executor.id};
        note.reason = outcome_name(outcome);
        note.count = executor.runs.size();
        turn.out.emplace_back(note);
    }
    executor.silent = true;
    executor.health.silent(turn.now);
    executor.next_hold_at = turn.now + hold_retry;
}

run_record& scheduler_state::add_listed(executor_record& executor,
                                        task_run const& run, time_point now,
                                        time_point orphan_until)
{
    auto& added = executor.runs.emplace_back();
    added.run = run;
    added.phase = run_phase::running;
    added.sent_at = now;
    added.confirmed_at = now;
    added.orphan_until = orphan_until;
    return added;
}

void scheduler_state::claim_answered(executor_record& executor,
                                     poll_answer const& answer,
                                     scheduler_turn& turn)
{
    executor.claimed = true;
    executor.fenced = false;
    scheduler_log_event note{.event = "executor_claimed",
                             .executor = executor.id};
    note.count = answer.running.size();
    note.run_time = turn.now - owner_since;
    turn.out.emplace_back(note);
    for (auto const& listed : answer.running)
    {
        if (find_run(executor, listed.run) != nullptr)
        {
            continue;
        }
        add_listed(executor, listed.run, turn.now, turn.now + orphan_patience);
    }
    for (auto& [id, job] : jobs)
    {
        adopt_runs(job, turn);
    }
}

void scheduler_state::adopt_runs(job_record& job, scheduler_turn& turn)
{
    for (auto& [id, executor] : executors)
    {
        for (auto& run : executor.runs)
        {
            auto const& task = run.run.task;
            if (!run.orphan_until || task.job != job.job.id ||
                task.group >= job.groups.size() ||
                task.index >= job.groups[task.group].tasks.size())
            {
                continue;
            }
            auto& group = job.groups[task.group];
            auto& entry = group.tasks[task.index];
            if (entry.phase != task_phase::waiting)
            {
                continue;
            }
            auto const& wanted = job.job.groups[task.group];
            entry.phase = task_phase::active;
            entry.last_execution =
                std::max(entry.last_execution, run.run.execution);
            --group.waiting;
            job.started = true;
            run.orphan_until.reset();
            if (run.amounts == resource_amounts{})
            {
                run.amounts = wanted.each_task;
                executor.used += run.amounts;
            }
            run.estimate = duration{};
            run.expected = scale_duration(wanted.estimate,
                                          expected_slowdown(executor, wanted));
            scheduler_log_event note{.event = "run_adopted",
                                     .job = job.job.id,
                                     .run = run.run,
                                     .executor = id};
            note.slack = job.due - turn.now;
            turn.out.emplace_back(note);
        }
    }
}

void scheduler_state::apply_ends(executor_record& executor,
                                 poll_answer const& answer,
                                 scheduler_turn& turn)
{
    for (auto const& finished : answer.finished)
    {
        if (finished.number <= executor.acknowledged)
        {
            continue;
        }
        executor.acknowledged = finished.number;
        auto const* const run = find_run(executor, finished.run);
        if (run == nullptr)
        {
            continue;
        }
        auto const record = *run;
        remove_run(executor, finished.run);
        task_ended(executor, record, finished.end, turn);
    }
}

// A run that was confirmed before the hold was sent, and is neither listed as
// running nor as ended, is gone; a listed run that nobody here knows is a late
// start or one whose job was closed.
void scheduler_state::compare_running(executor_record& executor,
                                      poll_answer const& answer,
                                      time_point sent_at, scheduler_turn& turn)
{
    std::set<task_run> listed;
    for (auto const& entry : answer.running)
    {
        listed.insert(entry.run);
        note_progress(executor, entry, turn);
    }
    std::vector<run_record> gone;
    for (auto& run : executor.runs)
    {
        bool const is_listed = listed.contains(run.run);
        if (is_listed)
        {
            run.listed_at = turn.now;
        }
        if (is_listed && run.phase == run_phase::starting)
        {
            run.phase = run_phase::running;
            run.confirmed_at = turn.now;
        }
        if (!is_listed && run.phase == run_phase::running &&
            run.confirmed_at < sent_at)
        {
            gone.push_back(run);
        }
    }
    for (auto const& run : gone)
    {
        remove_run(executor, run.run);
        task_ended(executor, run, run_end::lease_expired, turn);
    }
    for (auto const& entry : answer.running)
    {
        if (find_run(executor, entry.run) == nullptr)
        {
            request_stop(executor,
                         add_listed(executor, entry.run, turn.now, turn.now),
                         turn);
        }
    }
}

void scheduler_state::check_runs(executor_record& executor,
                                 scheduler_turn& turn)
{
    bool const lease_expired =
        !executor.fenced && turn.now >= executor.lapses_at;
    std::vector<run_record> over;
    for (auto& run : executor.runs)
    {
        bool const stop_over =
            run.phase == run_phase::stop_accepted && turn.now >= run.stop_due;
        if (lease_expired || stop_over)
        {
            over.push_back(run);
            continue;
        }
        if (run.phase == run_phase::stopping && !run.stop_in_flight &&
            turn.now >= run.stop_due)
        {
            request_stop(executor, run, turn);
        }
        bool const stalled = is_stalled(run);
        bool const unclaimed = run.phase == run_phase::running &&
                               run.orphan_until &&
                               *run.orphan_until <= turn.now;
        if (stalled)
        {
            scheduler_log_event note{.event = "run_stalled",
                                     .job = run.run.task.job,
                                     .run = run.run,
                                     .executor = executor.id};
            note.run_time = turn.now - run.sent_at;
            note.slack = run.expected;
            turn.out.emplace_back(note);
            executor.health.struck(turn.now);
        }
        if (stalled || unclaimed)
        {
            request_stop(executor, run, turn);
        }
    }
    for (auto const& run : over)
    {
        remove_run(executor, run.run);
        task_ended(executor, run,
                   lease_expired ? run_end::lease_expired : run_end::stopped,
                   turn);
    }
}

void scheduler_state::tick(scheduler_turn& turn)
{
    std::vector<executor_id> dropped;
    for (auto& [id, executor] : executors)
    {
        check_runs(executor, turn);
        bool const forgotten =
            !executor.listed && executor.runs.empty() &&
            turn.now >= executor.unlisted_at + unlisted_patience;
        if (forgotten)
        {
            dropped.push_back(id);
            continue;
        }
        bool const needed = !executor.claimed || executor.silent ||
                            executor.recount || !executor.runs.empty();
        bool const is_due = needed && !executor.hold && !executor.fenced &&
                            turn.now >= executor.next_hold_at;
        if (is_due || wants_look(executor, turn.now))
        {
            send_hold(executor, turn);
        }
    }
    for (auto const id : dropped)
    {
        speeds.remove(id);
        executors.erase(id);
    }
    give_up_hopeless(turn);
    expire_jobs(turn);
    place_waiting(turn);
}

} // namespace goldcrestgate::core::detail
