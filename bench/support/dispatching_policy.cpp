#include "support/policies.hpp"

namespace goldcrestgate::bench
{

namespace
{

constexpr core::domain_id bench_domain{1};

} // namespace

dispatching_policy::dispatching_policy(workload const& work,
                                       std::uint32_t instance,
                                       sharing_kind sharing)
    : work_(&work)
    , instance_(instance)
    , sharing_(sharing)
{
    router_.set_settings(work.settings);
    router_.set_borrowing(sharing != sharing_kind::divided &&
                          sharing != sharing_kind::exchanged);
    queue_.set_settings(work.settings);
    for (std::uint32_t i = 0; i < work.parameters.servers; ++i)
    {
        if (sharing != sharing_kind::owned ||
            i % work.parameters.instances == instance)
        {
            router_.add_server(core::server_id{i}, work.parameters.slots);
        }
    }
    set_view(instance, work.parameters.instances);
}

void dispatching_policy::set_view(std::uint32_t rank, std::uint32_t count)
{
    bool const is_shared =
        sharing_ != sharing_kind::anywhere && sharing_ != sharing_kind::owned;
    router_.set_view(is_shared ? rank : 0, is_shared ? count : 1);
}

void dispatching_policy::set_demands(
    std::vector<std::uint32_t> const& open_tasks)
{
    if (sharing_ == sharing_kind::by_demand)
    {
        router_.set_demands(open_tasks);
    }
}

std::vector<core::slot_update>
dispatching_policy::exchange(core::time_point now)
{
    std::vector<core::slot_update> updates;
    if (sharing_ == sharing_kind::exchanged)
    {
        router_.exchange_slots(static_cast<std::uint32_t>(queue_.size()), now,
                               updates);
    }
    return updates;
}

void dispatching_policy::receive_update(core::slot_update const& update)
{
    router_.receive_slots(update);
}

bool dispatching_policy::admit(std::uint32_t job, core::time_point now)
{
    auto const& spec = work_->jobs[job];
    run_times_.clear();
    for (std::uint32_t i = 0; i < spec.task_count; ++i)
    {
        run_times_.push_back(router_.expected_run_time(
            spec.service, work_->tasks[spec.first_task + i].declared));
    }
    core::job_demand const demand{spec.service, spec.team,
                                  spec.urgent ? core::urgency::urgent
                                              : core::urgency::normal,
                                  run_times_, spec.submitted + spec.deadline};
    auto const slots = router_.expected_slots(
        static_cast<std::uint32_t>(queue_.size()) + spec.task_count);
    bool const admitted = !queue_.admit(demand, slots, now);
    if (admitted)
    {
        open_tasks_in_job_[job] = spec.task_count;
    }
    return admitted;
}

core::task_key dispatching_policy::make_key(task_ref task) const
{
    return {{{bench_domain, core::instance_id{instance_}, core::incarnation{1}},
             task.job},
            core::task_index{static_cast<std::uint16_t>(task.task)}};
}

core::waiting_task
dispatching_policy::make_waiting_task(task_ref task,
                                      core::time_point since) const
{
    auto const& spec = work_->jobs[task.job];
    auto const open_tasks = open_tasks_in_job_.find(task.job);
    return {
        make_key(task),
        spec.service,
        spec.team,
        spec.urgent ? core::urgency::urgent : core::urgency::normal,
        router_.expected_run_time(
            spec.service, work_->tasks[spec.first_task + task.task].declared),
        spec.submitted + spec.deadline,
        since,
        open_tasks == open_tasks_in_job_.end() ? 1 : open_tasks->second};
}

void dispatching_policy::push(task_ref task, core::time_point now)
{
    queue_.push(make_waiting_task(task, now));
}

core::placement_result dispatching_policy::place(core::waiting_task const& task,
                                                 core::duration waiting_work,
                                                 core::time_point now)
{
    auto const& spec = work_->jobs[task.task.submission.sequence];
    core::task_demand demand{
        spec.service,
        work_->tasks[spec.first_task + task.task.task.value()].declared,
        spec.repeatable,
        {},
        waiting_work};
    auto const excluded = excluded_.find(task.task);
    if (excluded != excluded_.end())
    {
        demand.excluded = excluded->second;
    }
    return router_.place(demand, now);
}

std::optional<start_choice>
dispatching_policy::record_start(core::waiting_task const& task,
                                 core::placement_result const& placed,
                                 core::time_point now)
{
    auto const& chosen = std::get<core::placement>(placed);
    auto const job = static_cast<std::uint32_t>(task.task.submission.sequence);
    task_ref const ref{job, task.task.task.value()};
    auto const& spec = work_->jobs[job];
    router_.task_started(chosen.server, spec.service,
                         work_->tasks[spec.first_task + ref.task].declared,
                         now);
    queue_.task_running(spec.team, task.urgency);
    return start_choice{ref, chosen.server.value()};
}

// If the first task is better off waiting for a faster server, the last task is
// tried too: a slow server may still finish it before the faster servers have
// drained the queue.
std::optional<start_choice> dispatching_policy::next_start(core::time_point now)
{
    auto const first = queue_.pop(now);
    if (!first)
    {
        return std::nullopt;
    }
    auto const placed = place(*first, queue_.work_before(*first, now), now);
    if (std::holds_alternative<core::placement>(placed))
    {
        return record_start(*first, placed, now);
    }
    queue_.push_front(*first);
    auto const* const rejection = std::get_if<core::no_capacity>(&placed);
    if (rejection == nullptr || !rejection->better_to_wait)
    {
        return std::nullopt;
    }
    auto const last = queue_.last(now);
    if (!last)
    {
        return std::nullopt;
    }
    auto const last_placed = place(*last, queue_.waiting_work(), now);
    if (!std::holds_alternative<core::placement>(last_placed))
    {
        return std::nullopt;
    }
    queue_.pop_last(now);
    return record_start(*last, last_placed, now);
}

void dispatching_policy::attempt_ended(attempt_report const& report, bool retry,
                                       core::time_point now)
{
    auto const& spec = work_->jobs[report.task.job];
    auto const declared =
        work_->tasks[spec.first_task + report.task.task].declared;
    router_.task_ended(core::server_id{report.server}, spec.service, declared,
                       report.outcome, report.work_time, report.open_slots,
                       now);
    queue_.task_ended(spec.team, spec.urgent ? core::urgency::urgent
                                             : core::urgency::normal);
    auto const task = make_key(report.task);
    if (retry)
    {
        if (report.outcome != core::task_outcome::refused_busy)
        {
            excluded_[task].push_back(core::server_id{report.server});
        }
        queue_.push_front(make_waiting_task(report.task, now));
        return;
    }
    excluded_.erase(task);
    auto const open_tasks = open_tasks_in_job_.find(report.task.job);
    if (open_tasks != open_tasks_in_job_.end() && --open_tasks->second > 0)
    {
        queue_.set_open_in_job(task.submission, open_tasks->second);
    }
    else if (open_tasks != open_tasks_in_job_.end())
    {
        open_tasks_in_job_.erase(open_tasks);
    }
}

void dispatching_policy::cancel(std::uint32_t job)
{
    queue_.cancel(make_key({job, 0}).submission);
}

std::vector<task_ref> dispatching_policy::expire(core::time_point now)
{
    std::vector<task_ref> expired;
    for (auto const& task : queue_.expire(now))
    {
        expired.push_back({static_cast<std::uint32_t>(task.submission.sequence),
                           task.task.value()});
    }
    return expired;
}

} // namespace goldcrestgate::bench
