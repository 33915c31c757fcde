#include "goldcrestgate/core/leasing/job_scheduler.hpp"

#include "goldcrestgate/core/leasing/owner_token.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

using detail::scheduler_context;

/// Tick intervals: waiting jobs, leases and overdue runs are checked once per
/// tick.
constexpr duration busy_tick_interval = std::chrono::milliseconds{20};
constexpr duration idle_tick_interval = std::chrono::milliseconds{200};

/// Time for the other instances to learn of a new executor, so that a successor
/// finds the runs on it.
constexpr duration roster_delay = std::chrono::milliseconds{100};

/// Time for which the jobs of a lost instance go on until it offers them again.
/// The loss is detected late, so only part of the delay of resubmissions is
/// left.
duration lost_origin_wait(scheduler_limits const& limits)
{
    return limits.resubmission_delay / 4;
}

} // namespace

job_scheduler::job_scheduler(scheduler_limits limits)
    : state_(limits)
{
}

// --- ownership ---

void job_scheduler::take_over(fencing_token token, bool roster_known,
                              time_point now,
                              std::vector<scheduler_action>& out)
{
    scheduler_context context{now, out};
    state_.owner = true;
    state_.fenced = false;
    state_.token = token;
    state_.term = token_term(token);
    state_.last_order_of_earlier_token = order_id{state_.last_order};
    state_.token_renewals = 0;
    state_.owner_since = now;
    state_.roster_known = roster_known;
    scheduler_log_event log_event{.event = "ownership_taken"};
    log_event.count = state_.executors.size();
    out.emplace_back(log_event);
    for (auto& [id, executor] : state_.executors)
    {
        executor.claimed = false;
        executor.fenced = false;
        executor.granted_until = {};
        executor.lease_withheld = false;
        executor.poll.reset();
        executor.next_poll_at = now;
        executor.last_uncertain_order = order_id{state_.last_order};
        executor.lease_expires_at = now + state_.lease_expiry_time();
        state_.send_poll(executor, context);
    }
}

void job_scheduler::release_ownership(time_point now,
                                      std::vector<scheduler_action>& out)
{
    if (!state_.owner)
    {
        return;
    }
    scheduler_log_event log_event{.event = "ownership_given_up"};
    log_event.count = state_.jobs.size();
    out.emplace_back(log_event);
    state_.owner = false;
    state_.fenced = false;
    state_.jobs.clear();
    state_.memory.remove(state_.memory.used());
    state_.retained_verdicts.clear();
    state_.withdrawn.clear();
    state_.done_tasks.clear();
    state_.unsettled_crashes.clear();
    state_.shares.clear();
    for (auto& [id, executor] : state_.executors)
    {
        executor.claimed = false;
        executor.poll.reset();
        executor.runs.clear();
        executor.unanswered_starts.clear();
        executor.possible_crashes.clear();
        executor.used = {};
        executor.lease_expires_at = now + state_.lease_expiry_time();
    }
}

void job_scheduler::probe_owner(fencing_token token, time_point now,
                                std::vector<scheduler_action>& out)
{
    scheduler_context context{now, out};
    if (!state_.owner)
    {
        state_.probe_owner(token, context);
    }
}

void job_scheduler::suspend(bool suspended, time_point now,
                            std::vector<scheduler_action>& out)
{
    scheduler_context context{now, out};
    state_.suspended = suspended;
    if (suspended)
    {
        state_.reject_unstarted("evacuated", context);
    }
    else
    {
        state_.place_waiting(context);
    }
}

// --- executors ---

void job_scheduler::list(executor_id id,
                         executor_description const& description,
                         time_point now, std::vector<scheduler_action>& out)
{
    scheduler_context context{now, out};
    auto& executor = state_.executors[id];
    bool const is_new = executor.description.address.empty();
    bool const moved =
        !is_new && executor.description.address != description.address;
    // An entry from another writer may not name the process.
    auto const named_incarnation = description.incarnation != 0
                                       ? description.incarnation
                                       : executor.description.incarnation;
    bool const restarted =
        !is_new && executor.description.incarnation != named_incarnation;
    bool const relabelled =
        is_new || executor.description.labels != description.labels;
    // The process at the earlier address may live until its lease ends, if the
    // entry is wrong; its runs stay recorded as after a restart.
    if (moved || restarted)
    {
        state_.restart_executor(executor, {"store_entry", named_incarnation},
                                context);
        executor.health = {};
    }
    else if (!is_new && description.draining && !executor.description.draining)
    {
        // A process that announces that it leaves has not crashed.
        state_.refute_crashes(executor, context);
    }
    if (executor.description.capacity != description.capacity)
    {
        executor.refusal.reset();
    }
    executor.id = id;
    executor.description = description;
    executor.description.incarnation = named_incarnation;
    executor.listed = true;
    if (relabelled)
    {
        auto const& labels = description.labels;
        state_.speeds.remove(id);
        state_.speeds.add(id, labels.empty() ? "" : labels.front());
    }
    if (is_new)
    {
        state_.record_successor(executor, now);
        executor.last_uncertain_order = order_id{state_.last_order};
        executor.lease_expires_at = now + state_.lease_expiry_time();
        executor.usable_at = state_.owner ? now + roster_delay : now;
    }
    if (state_.owner && !executor.claimed && !executor.poll && !executor.fenced)
    {
        state_.send_poll(executor, context);
    }
}

// Executors with runs answer a poll at least every 0.4 s.
bool job_scheduler::is_busy(executor_id executor, time_point now) const
{
    auto const found = state_.executors.find(executor);
    return state_.owner && found != state_.executors.end() &&
           !found->second.runs.empty() &&
           detail::scheduler_state::answered_since(
               found->second, now - state_.lease_expiry_time());
}

std::vector<executor_description> job_scheduler::unlisted_executors() const
{
    std::vector<executor_description> unlisted;
    for (auto const& [id, executor] : state_.executors)
    {
        if (!executor.listed)
        {
            unlisted.push_back(executor.description);
            unlisted.back().draining = true;
        }
    }
    return unlisted;
}

void job_scheduler::unlist(executor_id id, time_point now)
{
    auto const found = state_.executors.find(id);
    if (found == state_.executors.end())
    {
        return;
    }
    auto& executor = found->second;
    if (executor.listed)
    {
        executor.unlisted_at = now;
    }
    executor.listed = false;
    bool const in_use =
        !executor.runs.empty() || !executor.possible_crashes.empty() ||
        state_.has_unsettled_crash(id) || !executor.unanswered_starts.empty();
    if (!state_.owner || !in_use)
    {
        state_.speeds.remove(id);
        state_.executors.erase(found);
    }
}

// --- jobs ---

void job_scheduler::offer(instance_id origin, job_offer const& offered,
                          time_point now, std::vector<scheduler_action>& out)
{
    scheduler_context context{now, out};
    state_.offer(origin, offered, context);
    state_.place_waiting(context);
}

void job_scheduler::withdraw(instance_id origin,
                             job_withdrawal const& withdrawal, time_point now,
                             std::vector<scheduler_action>& out)
{
    auto const job = withdrawal.job;
    scheduler_context context{now, out};
    // By then, an offer that was sent before is refused for its age.
    state_.withdrawn[{job, origin}] = {withdrawal.sequence,
                                       now + state_.limits.resubmission_delay};
    out.emplace_back(report_verdict{
        origin, {job, job_outcome::withdrawn, {}, withdrawal.sequence}});
    auto const found = state_.jobs.find(job);
    if (found == state_.jobs.end() || found->second.origin != origin)
    {
        return;
    }
    auto& record = found->second;
    if (!record.started())
    {
        state_.end_job(job, job_outcome::rejected, {}, "caller_left", context);
        return;
    }
    // The runs may still serve a resubmission by the caller, so they continue
    // for some time, but their leases end before it may arrive elsewhere.
    auto const left_at = state_.message_as_of(origin, now) - withdrawal.elapsed;
    state_.note_absence(record, left_at);
    auto stop_at = state_.callers.stop_at(left_at);
    if (auto const& earlier = record.cancellation)
    {
        stop_at = std::min(stop_at, earlier->at);
    }
    record.cancellation = detail::job_cancellation{stop_at};
}

void job_scheduler::origin_lost(instance_id origin, time_point now)
{
    auto const until = now + lost_origin_wait(state_.limits);
    for (auto& [id, job] : state_.jobs)
    {
        if (job.origin == origin && !job.cancellation)
        {
            // A new process of the instance does not have the callers.
            state_.note_absence(job, now);
            job.cancellation = {until, true};
        }
    }
}

void job_scheduler::origin_heard(instance_id origin, time_point as_of,
                                 std::uint64_t connection)
{
    state_.note_callers(origin, {connection, as_of, as_of});
}

void job_scheduler::origin_returned(instance_id origin, time_point now)
{
    auto const until = now + lost_origin_wait(state_.limits);
    for (auto& [id, job] : state_.jobs)
    {
        if (job.origin == origin && job.cancellation &&
            job.cancellation->origin_lost)
        {
            job.cancellation->at = until;
        }
    }
}

// --- answers and time ---

void job_scheduler::start_answered(order_answer const& answer, time_point now,
                                   std::vector<scheduler_action>& out)
{
    scheduler_context context{now, out};
    state_.start_answered(answer, context);
    state_.place_waiting(context);
}

void job_scheduler::stop_answered(order_answer const& answer, time_point now,
                                  std::vector<scheduler_action>& out)
{
    scheduler_context context{now, out};
    state_.stop_answered(answer, context);
}

void job_scheduler::poll_answered(poll_answer const& answer, time_point now,
                                  std::vector<scheduler_action>& out)
{
    scheduler_context context{now, out};
    state_.poll_answered(answer, context);
    state_.place_waiting(context);
}

void job_scheduler::tick(time_point now, std::vector<scheduler_action>& out)
{
    scheduler_context context{now, out};
    if (state_.owner)
    {
        state_.tick(context);
    }
}

time_point job_scheduler::next_tick(time_point now) const
{
    bool const busy =
        state_.owner &&
        (!state_.jobs.empty() || !state_.claims_complete(now) ||
         !state_.unsettled_crashes.empty() ||
         std::ranges::any_of(state_.executors,
                             [](auto const& entry)
                             {
                                 auto const& executor = entry.second;
                                 return !executor.runs.empty() ||
                                        !executor.unanswered_starts.empty();
                             }));
    return now + (busy ? busy_tick_interval : idle_tick_interval);
}

std::vector<task_crashes> job_scheduler::crash_report(time_point now) const
{
    if (!state_.owner)
    {
        return {};
    }
    return state_.crashes.report(now,
                                 [this](client_job_id job)
                                 {
                                     return state_.jobs.contains(job);
                                 });
}

void job_scheduler::adopt_crashes(std::span<task_crashes const> reported,
                                  time_point now,
                                  std::vector<scheduler_action>& out)
{
    state_.crashes.adopt(reported, now);
    if (!state_.owner)
    {
        // The ticks of an owner do this as well.
        state_.crashes.expire(now,
                              [](client_job_id)
                              {
                                  return false;
                              });
    }
    scheduler_context context{now, out};
    for (auto const& crashes : reported)
    {
        if (state_.crashes.is_crash_looping(crashes.task))
        {
            state_.end_crash_looping_job(crashes.task.job, context);
        }
    }
}

std::set<instance_id> job_scheduler::origins() const
{
    std::set<instance_id> origins;
    for (auto const& [id, job] : state_.jobs)
    {
        origins.insert(job.origin);
    }
    return origins;
}

scheduler_load job_scheduler::load(time_point now) const
{
    scheduler_load load;
    load.executors = state_.executors.size();
    load.jobs = state_.jobs.size();
    load.waiting_tasks = state_.waiting_tasks();
    for (auto const& [id, executor] : state_.executors)
    {
        load.active_runs += executor.runs.size();
        load.claimed += executor.claimed ? 1 : 0;
        if (state_.owner && state_.accepts(executor, now))
        {
            // Capacities are given by the executors; their sum may overflow.
            auto const sum = std::uint64_t{load.free_millicores} +
                             executor.free_capacity().cpu_millicores;
            load.free_millicores =
                static_cast<std::uint32_t>(std::min<std::uint64_t>(
                    sum, std::numeric_limits<std::uint32_t>::max()));
        }
    }
    load.expected_wait = state_.expected_wait({}, now);
    load.reservations = state_.owner && state_.round.plan
                            ? state_.round.plan->reservations().size()
                            : 0;
    return load;
}

} // namespace goldcrestgate::core
