#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>
#include <set>

namespace goldcrestgate::core::detail
{

namespace
{

/// Long-poll wait: it bounds how late a finished run is detected if an answer
/// is lost, and leaves half of a lease for the renewal.
constexpr duration poll_wait = std::chrono::milliseconds{400};

/// Time for the answer to a poll to arrive after the poll's wait.
constexpr duration poll_answer_margin = std::chrono::milliseconds{160};

/// Retry delay after a poll without an answer.
constexpr duration poll_retry_delay = std::chrono::milliseconds{80};

/// Retry delay after another process answered at an executor's address. The
/// list of executors, which names the address's new executor, is read every 300
/// ms.
constexpr duration other_incarnation_retry_delay =
    std::chrono::milliseconds{1000};

/// Factor for the clock drift between this instance and an executor, whose
/// clock may be 2% slow. The rest of the factor and the margin cover the
/// network delay of the order.
constexpr double clock_drift = 1.04;
constexpr duration lease_expiry_margin = std::chrono::milliseconds{60};

/// An executor without runs is dropped after it has been unlisted for this
/// time.
constexpr duration unlisted_timeout = std::chrono::seconds{5};

} // namespace

duration scheduler_state::lease_expiry_time() const
{
    return lease_expiry_time(limits.longest_lease);
}

duration scheduler_state::lease_expiry_time(duration lease)
{
    return scale_duration(lease, clock_drift) + lease_expiry_margin;
}

// Whether and since when the caller of an orphan has left is not known. The
// owner that granted the lease limited it by what it knew of the caller.
time_point scheduler_state::lease_limit(run_record const& run) const
{
    if (run.orphan_deadline)
    {
        return time_point::min();
    }
    auto const job = jobs.find(run.run.task.job);
    return job == jobs.end()
               ? time_point::max()
               : callers.lease_end(caller_waiting_at(job->second));
}

time_point scheduler_state::lease_limit(executor_record const& executor,
                                        time_point now) const
{
    auto limit = now + limits.longest_lease;
    for (auto const& run : executor.runs)
    {
        limit = std::min(limit, lease_limit(run));
    }
    return limit;
}

time_point scheduler_state::start_lease_end(executor_record const& executor,
                                            time_point now) const
{
    return std::max(lease_limit(executor, now), executor.granted_until);
}

void scheduler_state::grant_lease(executor_record& executor, time_point until,
                                  time_point now)
{
    executor.granted_until = std::max(executor.granted_until, until);
    executor.lease_expires_at = std::max(executor.lease_expires_at,
                                         now + lease_expiry_time(until - now));
}

// A restarted executor may carry out a late start of an earlier owner and
// counts the lease from then on, so that each executor has its own lease end.
bool scheduler_state::claims_complete(time_point now) const
{
    bool const roster_complete =
        roster_known || now >= owner_since + lease_expiry_time();
    return roster_complete &&
           std::ranges::all_of(executors,
                               [now](auto const& entry)
                               {
                                   return entry.second.claimed ||
                                          now >= entry.second.lease_expires_at;
                               });
}

bool scheduler_state::all_runs_known() const
{
    return roster_known && std::ranges::all_of(executors,
                                               [](auto const& entry)
                                               {
                                                   return entry.second.claimed;
                                               });
}

void scheduler_state::send_poll(executor_record& executor,
                                scheduler_context& context,
                                std::uint64_t acknowledged)
{
    poll_executor order;
    order.order = next_order();
    order.executor = executor.id;
    order.token = token;
    order.acknowledged = acknowledged;
    bool const is_usable = executor.claimed && !executor.unresponsive;
    if (is_usable)
    {
        auto const limit = lease_limit(executor, context.now);
        executor.lease_withheld =
            limit < context.now + limits.longest_lease / 2;
        if (limit > context.now)
        {
            order.lease_until = clock_at(executor, limit);
            grant_lease(executor, limit, context.now);
        }
    }
    bool const waits = is_usable && !executor.capacity_unconfirmed;
    bool const is_extra_poll = executor.poll.has_value();
    order.wait = waits && !is_extra_poll ? poll_wait : duration{};
    order.timeout = order.wait + poll_answer_margin;
    executor.poll = order.order;
    executor.poll_sent_at = context.now;
    context.out.emplace_back(order);
}

void scheduler_state::poll_answered(poll_answer const& answer,
                                    scheduler_context& context)
{
    if (!owner)
    {
        probe.answered(answer, context.now);
        return;
    }
    auto const found = executors.find(answer.executor);
    if (found == executors.end())
    {
        return;
    }
    auto& executor = found->second;
    if (!was_sent_to_present_process(executor, answer.order))
    {
        return;
    }
    bool const is_latest = executor.poll == answer.order;
    auto const sent_at = executor.poll_sent_at;
    if (is_latest)
    {
        executor.poll.reset();
    }
    if (is_superseded(answer.order, answer.outcome))
    {
        if (is_latest)
        {
            executor.next_poll_at = context.now;
        }
        return;
    }
    if (answer.outcome == order_outcome::fenced)
    {
        if (is_latest)
        {
            fence_executor(executor, context);
        }
        return;
    }
    if (answer.outcome != order_outcome::accepted)
    {
        if (!is_latest)
        {
            return;
        }
        poll_failed(executor, answer.outcome, sent_at, context);
        return;
    }
    bool const restarted =
        answer.incarnation != 0 && executor.description.incarnation != 0 &&
        answer.incarnation != executor.description.incarnation;
    if (restarted)
    {
        restart_executor(executor, {"poll_answer", answer.incarnation},
                         context);
    }
    else if (answer.incarnation != 0)
    {
        executor.description.incarnation = answer.incarnation;
    }
    record_process_start(executor, answer, context.now);
    resolve_crashes(executor, answer, context);
    record_clock(executor, answer.clock, context.now);
    record_accepted_order(executor, answer.order);
    executor.unresponsive = false;
    executor.health.record_answer();
    log_late_runs(executor, answer, is_latest, context);
    if (!executor.claimed && !answer.complete)
    {
        // A run that cannot be read may be that of an earlier owner.
        executor.next_poll_at = context.now + poll_retry_delay;
        return;
    }
    if (!executor.claimed)
    {
        claim_answered(executor, answer, context);
    }
    apply_finished_runs(executor, answer, context);
    if (is_latest)
    {
        reconcile_runs(executor, answer, sent_at, context);
        executor.capacity_unconfirmed = false;
        if (!executor.runs.empty())
        {
            send_poll(executor, context, executor.acknowledged);
        }
    }
}

void scheduler_state::poll_failed(executor_record& executor,
                                  order_outcome outcome, time_point sent_at,
                                  scheduler_context& context)
{
    if (outcome == order_outcome::other_incarnation)
    {
        if (executor.claimed)
        {
            lose_executor(executor, "restarted", context);
        }
        executor.next_poll_at = context.now + other_incarnation_retry_delay;
        return;
    }
    if (executor.claimed && answered_since(executor, sent_at))
    {
        // The executor has answered other orders meanwhile; the lease needs a
        // renewal at once.
        send_poll(executor, context);
        return;
    }
    if (!executor.unresponsive && executor.claimed)
    {
        scheduler_log_event log_event{.event = "executor_silent",
                                      .executor = executor.id};
        log_event.reason = outcome_name(outcome);
        log_event.count = executor.runs.size();
        context.out.emplace_back(log_event);
    }
    executor.unresponsive = true;
    executor.health.record_timeout(context.now);
    executor.next_poll_at = context.now + poll_retry_delay;
}

void scheduler_state::apply_finished_runs(executor_record& executor,
                                          poll_answer const& answer,
                                          scheduler_context& context)
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
            if (finished.end == run_end::done)
            {
                note_done_task(finished.run.task, context);
            }
            continue;
        }
        auto const record = *run;
        remove_run(executor, finished.run);
        task_ended(executor, record, finished.end, context);
    }
}

// A run that was confirmed before the poll was sent, and is listed neither as
// running nor as finished, no longer exists. A listed run that is unknown here
// started late or belongs to a job that has ended.
void scheduler_state::reconcile_runs(executor_record& executor,
                                     poll_answer const& answer,
                                     time_point sent_at,
                                     scheduler_context& context)
{
    std::set<task_run> listed;
    for (auto const& entry : answer.running)
    {
        listed.insert(entry.run);
        record_progress(executor, entry, context);
    }
    std::vector<run_record> missing;
    for (auto& run : executor.runs)
    {
        bool const is_listed = listed.contains(run.run);
        if (is_listed)
        {
            run.listed_at = context.now;
            run.before_restart.reset();
        }
        if (is_listed && run.phase == run_phase::starting)
        {
            run.phase = run_phase::running;
            run.confirmed_at = context.now;
        }
        if (answer.complete && !is_listed && run.phase == run_phase::running &&
            run.confirmed_at < sent_at)
        {
            missing.push_back(run);
        }
    }
    for (auto const& run : missing)
    {
        remove_run(executor, run.run);
        task_ended(executor, run, run_end::lease_expired, context);
        if (run.before_restart)
        {
            judge_crash_before_restart(executor, *run.before_restart, context);
        }
    }
    for (auto const& entry : answer.running)
    {
        if (find_run(executor, entry.run) == nullptr)
        {
            // An unknown run, not a smaller capacity, explains a refusal.
            executor.refusal.reset();
            add_listed_run(executor, entry.run, context.now, context.now);
        }
    }
    adopt_or_stop_orphans(executor, context);
}

void scheduler_state::check_runs(executor_record& executor,
                                 scheduler_context& context)
{
    bool const lease_expired =
        !executor.fenced && context.now >= executor.lease_expires_at;
    std::vector<run_record> ended;
    for (auto& run : executor.runs)
    {
        bool const stop_time_elapsed = run.phase == run_phase::stop_accepted &&
                                       context.now >= run.stop_due;
        if (lease_expired || stop_time_elapsed)
        {
            ended.push_back(run);
            continue;
        }
        if (run.phase == run_phase::stopping && !run.stop_in_flight &&
            context.now >= run.stop_due)
        {
            request_stop(executor, run, context);
        }
        bool const stalled = is_stalled(run);
        bool const orphaned = is_orphaned(executor, run, context.now);
        if (stalled)
        {
            scheduler_log_event log_event{.event = "run_stalled",
                                          .job = run.run.task.job,
                                          .run = run.run,
                                          .executor = executor.id};
            log_event.run_time = context.now - run.sent_at;
            log_event.slack = run.expected_run_time;
            context.out.emplace_back(log_event);
            executor.health.record_failure(context.now);
        }
        if (stalled || orphaned)
        {
            request_stop(executor, run, context);
        }
    }
    bool const may_have_crashed = lease_expired && executor.unresponsive &&
                                  !executor.description.draining;
    std::vector<run_record> ended_without_restart;
    for (auto const& run : ended)
    {
        if (run.before_restart)
        {
            judge_crash_before_restart(executor, *run.before_restart, context);
        }
        else
        {
            ended_without_restart.push_back(run);
        }
    }
    if (may_have_crashed)
    {
        suspect_crashes(executor, ended_without_restart, context);
    }
    for (auto const& run : ended)
    {
        note_given_up(executor, run,
                      lease_expired ? "lease_expired" : stop_accepted_reason,
                      context.now);
        remove_run(executor, run.run);
        task_ended(executor, run,
                   lease_expired ? run_end::lease_expired : run_end::stopped,
                   context);
    }
}

void scheduler_state::tick(scheduler_context& context)
{
    std::vector<executor_id> dropped;
    for (auto& [id, executor] : executors)
    {
        check_runs(executor, context);
        send_due_stops(executor, context);
        bool const is_expired =
            !executor.listed && executor.runs.empty() &&
            executor.unanswered_starts.empty() &&
            context.now >= executor.unlisted_at + unlisted_timeout;
        if (is_expired)
        {
            dropped.push_back(id);
            continue;
        }
        bool const needed = !executor.claimed || executor.unresponsive ||
                            executor.capacity_unconfirmed ||
                            !executor.runs.empty() ||
                            !executor.unanswered_starts.empty();
        bool const is_due = needed && !executor.poll && !executor.fenced &&
                            context.now >= executor.next_poll_at;
        bool const may_renew = executor.lease_withheld && executor.claimed &&
                               !executor.unresponsive &&
                               lease_limit(executor, context.now) >=
                                   context.now + limits.longest_lease / 2;
        if (is_due || may_renew || needs_extra_poll(executor, context.now))
        {
            send_poll(executor, context);
        }
    }
    for (auto const id : dropped)
    {
        speeds.remove(id);
        executors.erase(id);
    }
    crashes.expire(context.now,
                   [this](client_job_id job)
                   {
                       return jobs.contains(job);
                   });
    settle_crashes(context);
    move_or_abandon_late_runs(context);
    expire_jobs(context);
    place_waiting(context);
    preempt_for_urgent_work(context);
}

} // namespace goldcrestgate::core::detail
