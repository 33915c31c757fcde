#include "support/simulation.hpp"

#include "support/faults.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::bench
{

namespace
{

constexpr core::duration tick_interval = std::chrono::milliseconds{5};
// Time until the other entry instances detect the loss of one.
constexpr core::duration loss_detection_time = std::chrono::milliseconds{1500};
// A start is sent once a copy peer has acknowledged its record.
constexpr core::duration copy_round_trip = 2 * server_delay;
constexpr std::uint32_t max_failed_attempts = 3;

} // namespace

simulation::simulation(workload const& work, std::vector<entry_policy> policies)
    : work_(work)
    , policies_(std::move(policies))
    , alive_(policies_.size(), true)
    , used_slots_(work.parameters.servers)
    , open_tasks_(policies_.size())
    , reported_tasks_(policies_.size())
    , in_view_(policies_.size(), true)
    , progress_(work.jobs.size())
    , failed_attempts_(work.tasks.size())
    , random_(work.parameters.seed + 1)
{
    result_.task_responses.resize(work.tasks.size());
    result_.job_responses.resize(work.jobs.size());
    result_.job_ends.resize(work.jobs.size(), job_end::open);
}

run_result simulation::run()
{
    open_jobs_ = static_cast<std::uint32_t>(work_.jobs.size());
    for (std::uint32_t job = 0; job < work_.jobs.size(); ++job)
    {
        schedule(work_.jobs[job].submitted + caller_delay,
                 event_kind::job_arrives, job);
    }
    schedule(core::time_point{}, event_kind::tick, 0);
    for (std::uint32_t i = 0; i < policies_.size(); ++i)
    {
        schedule(core::time_point{heartbeat_interval * i / policies_.size()},
                 event_kind::heartbeat, i);
    }
    schedule(fault_start(work_.parameters), event_kind::fault, 0);
    while (!events_.empty() && open_jobs_ > 0)
    {
        timed_event const next = events_.top();
        events_.pop();
        now_ = next.at;
        handle(next);
    }
    compute_goodput();
    return std::move(result_);
}

void simulation::schedule(core::time_point at, event_kind kind,
                          std::uint32_t subject)
{
    events_.push({at, sequence_++, kind, subject});
}

void simulation::handle(timed_event const& next)
{
    switch (next.kind)
    {
    case event_kind::job_arrives:
        return job_arrives(next.subject);
    case event_kind::start_arrives:
        return start_arrives(next.subject);
    case event_kind::work_ends:
        return work_ends(next.subject);
    case event_kind::reply_arrives:
        return reply_arrives(next.subject);
    case event_kind::cancel_arrives:
        return cancel_arrives(next.subject);
    case event_kind::tick:
        return tick();
    case event_kind::fault:
        return begin_fault();
    case event_kind::view_changes:
        return update_views();
    case event_kind::heartbeat:
        return heartbeat(next.subject);
    case event_kind::note_arrives:
        return note_arrives(next.subject);
    }
}

core::duration simulation::network_delay()
{
    return server_delay + core::duration{random_.below(100)};
}

bool simulation::is_open(std::uint32_t job) const
{
    return result_.job_ends[job] == job_end::open;
}

void simulation::job_arrives(std::uint32_t job)
{
    auto const& spec = work_.jobs[job];
    std::uint32_t instance = spec.instance;
    while (!alive_[instance])
    {
        instance = (instance + 1) % static_cast<std::uint32_t>(alive_.size());
    }
    ++result_.messages.useful;
    bool const admitted = std::visit(
        [&](auto& policy)
        {
            return policy.admit(job, now_);
        },
        policies_[instance]);
    if (!admitted)
    {
        return end_job(job, job_end::refused);
    }
    progress_[job] = {instance, spec.task_count, {}};
    open_tasks_[instance] += spec.task_count;
    update_demands(instance);
    std::visit(
        [&](auto& policy)
        {
            for (std::uint32_t task = 0; task < spec.task_count; ++task)
            {
                policy.push({job, task}, now_);
            }
        },
        policies_[instance]);
    dispatch(instance);
}

void simulation::dispatch(std::uint32_t instance)
{
    exchange(instance);
    std::visit(
        [&](auto& policy)
        {
            while (auto const choice = policy.next_start(now_))
            {
                send_start(instance, *choice);
            }
        },
        policies_[instance]);
    exchange(instance);
}

void simulation::send_start(std::uint32_t instance, start_choice const& choice)
{
    auto const index = static_cast<std::uint32_t>(attempts_.size());
    attempts_.push_back({choice.task, instance, choice.server, {}, 0});
    progress_[choice.task.job].running.push_back(index);
    ++result_.starts;
    schedule(now_ + copy_round_trip + network_delay(),
             event_kind::start_arrives, index);
}

void simulation::start_arrives(std::uint32_t index)
{
    attempt& started = attempts_[index];
    if (!is_open(started.task.job))
    {
        return reply(index, core::task_outcome::cancelled);
    }
    if (work_.jobs[started.task.job].impossible)
    {
        return reply(index, core::task_outcome::cannot_run);
    }
    if (used_slots_[started.server] >= work_.parameters.slots)
    {
        return reply(index, core::task_outcome::refused_busy);
    }
    ++used_slots_[started.server];
    started.holds_slot = true;
    bool const fails = fails_everything(work_.parameters, started.server, now_);
    started.work_time =
        fails ? failing_work_time
              : work_.work_time(started.task.job, started.task.task,
                                started.server) *
                    slowdown(work_.parameters, started.server, now_);
    schedule(now_ + started.work_time, event_kind::work_ends, index);
}

void simulation::work_ends(std::uint32_t index)
{
    attempt& ended = attempts_[index];
    if (!ended.holds_slot)
    {
        return;
    }
    --used_slots_[ended.server];
    ended.holds_slot = false;
    bool const fails = ended.work_time == failing_work_time;
    reply(index,
          fails ? core::task_outcome::failed : core::task_outcome::succeeded);
}

void simulation::cancel_arrives(std::uint32_t index)
{
    attempt& ended = attempts_[index];
    if (ended.holds_slot)
    {
        --used_slots_[ended.server];
        ended.holds_slot = false;
        reply(index, core::task_outcome::cancelled);
    }
}

void simulation::reply(std::uint32_t index, core::task_outcome outcome)
{
    attempts_[index].outcome = outcome;
    attempts_[index].reported_open = used_slots_[attempts_[index].server];
    schedule(now_ + network_delay(), event_kind::reply_arrives, index);
}

bool simulation::record_failure(attempt const& ended)
{
    if (!is_open(ended.task.job))
    {
        return false;
    }
    if (ended.outcome == core::task_outcome::refused_busy)
    {
        result_.messages.refused += 2;
        return true;
    }
    bool const may_repeat = ended.outcome == core::task_outcome::cannot_run ||
                            work_.jobs[ended.task.job].repeatable;
    auto& failures = failed_attempts_[work_.jobs[ended.task.job].first_task +
                                      ended.task.task];
    bool const retry = may_repeat && ++failures < max_failed_attempts;
    result_.messages.retried += 2;
    return retry;
}

void simulation::reply_arrives(std::uint32_t index)
{
    attempt const ended = attempts_[index];
    auto const job = ended.task.job;
    if (!alive_[ended.instance])
    {
        result_.messages.late += 2;
        return;
    }
    std::erase(progress_[job].running, index);
    bool const succeeded = ended.outcome == core::task_outcome::succeeded;
    bool const retry = !succeeded && record_failure(ended);
    attempt_report report{
        ended.task, ended.server, ended.outcome, {}, ended.reported_open};
    if (succeeded || ended.outcome == core::task_outcome::failed)
    {
        report.work_time = ended.work_time;
    }
    std::visit(
        [&](auto& policy)
        {
            policy.attempt_ended(report, retry, now_);
        },
        policies_[ended.instance]);
    if (!is_open(job))
    {
        result_.messages.late += 2;
    }
    else if (succeeded)
    {
        task_succeeded(ended);
    }
    else if (!retry)
    {
        end_job(job, job_end::failed);
    }
    dispatch(ended.instance);
}

void simulation::task_succeeded(attempt const& done)
{
    auto const job = done.task.job;
    auto const& spec = work_.jobs[job];
    result_.messages.useful += 2;
    auto const response = now_ - spec.submitted + caller_delay;
    result_.task_responses[spec.first_task + done.task.task] = response;
    --open_tasks_[done.instance];
    if (--progress_[job].open == 0)
    {
        result_.job_responses[job] = response;
        end_job(job, job_end::done);
    }
}

void simulation::end_job(std::uint32_t job, job_end end)
{
    result_.job_ends[job] = end;
    --open_jobs_;
    ++result_.messages.useful;
    auto const& progress = progress_[job];
    if (end == job_end::done || end == job_end::refused || end == job_end::lost)
    {
        return;
    }
    open_tasks_[progress.instance] -= progress.open;
    std::visit(
        [&](auto& policy)
        {
            policy.cancel(job);
        },
        policies_[progress.instance]);
    for (auto const index : progress.running)
    {
        ++result_.messages.cancelled;
        schedule(now_ + network_delay(), event_kind::cancel_arrives, index);
    }
}

void simulation::tick()
{
    for (std::uint32_t i = 0; i < policies_.size(); ++i)
    {
        if (!alive_[i])
        {
            continue;
        }
        auto const expired = std::visit(
            [&](auto& policy)
            {
                return policy.expire(now_);
            },
            policies_[i]);
        for (auto const& task : expired)
        {
            if (is_open(task.job))
            {
                end_job(task.job, job_end::expired);
            }
        }
        dispatch(i);
    }
    schedule(now_ + tick_interval, event_kind::tick, 0);
}

void simulation::begin_fault()
{
    if (work_.parameters.fault == fault_kind::instance_lost)
    {
        alive_[0] = false;
        schedule(now_ + loss_detection_time, event_kind::view_changes, 0);
    }
    for (std::uint32_t job = 0; job < work_.jobs.size(); ++job)
    {
        bool const is_in_progress = is_open(job) && progress_[job].open > 0;
        if (is_in_progress && is_cancelled(work_, job))
        {
            end_job(job, job_end::cancelled);
        }
        else if (is_in_progress && !alive_[progress_[job].instance])
        {
            end_job(job, job_end::lost);
        }
    }
}

void simulation::update_views()
{
    in_view_ = alive_;
    auto const count = static_cast<std::uint32_t>(
        std::count(alive_.begin(), alive_.end(), true));
    std::uint32_t rank = 0;
    for (std::uint32_t i = 0; i < policies_.size(); ++i)
    {
        if (alive_[i])
        {
            std::visit(
                [&](auto& policy)
                {
                    policy.set_view(rank, count);
                },
                policies_[i]);
            ++rank;
        }
    }
}

// Only work that ended after the warm-up and before the end of arrivals counts.
void simulation::compute_goodput()
{
    auto const& parameters = work_.parameters;
    double completed_work = 0.0;
    for (std::uint32_t job = 0; job < work_.jobs.size(); ++job)
    {
        auto const& spec = work_.jobs[job];
        bool const in_time = result_.job_ends[job] == job_end::done &&
                             result_.job_responses[job] <= spec.deadline;
        for (std::uint32_t i = 0; in_time && i < spec.task_count; ++i)
        {
            std::uint32_t const task = spec.first_task + i;
            auto const end = (spec.submitted + result_.task_responses[task])
                                 .time_since_epoch();
            if (end >= parameters.warm_up && end < parameters.length)
            {
                completed_work +=
                    static_cast<double>(work_.tasks[task].nominal.count());
            }
        }
    }
    auto const window = parameters.length - parameters.warm_up;
    result_.goodput =
        completed_work / static_cast<double>(window.count()) / work_.capacity();
}

} // namespace goldcrestgate::bench
