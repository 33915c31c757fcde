#include "goldcrestgate/core/detail/submission_control.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

constexpr std::uint32_t max_ids_per_request = 1024;
constexpr std::size_t max_tasks_per_job = 1800;
/// Interval at which a final job with an open attempt is checked again.
constexpr duration drop_retry_interval = std::chrono::seconds{1};

bool has_invalid_time(job_request const& request)
{
    if (request.deadline && *request.deadline <= duration::zero())
    {
        return true;
    }
    return std::any_of(request.tasks.begin(), request.tasks.end(),
                       [](task_request const& task)
                       {
                           return task.run_time &&
                                  *task.run_time <= duration::zero();
                       });
}

/// @brief Adds unstarted tasks to a job that was cancelled before it arrived.
void fill_unstarted(job& added, std::size_t tasks)
{
    added.tasks.reserve(tasks);
    for (std::size_t i = 0; i < tasks; ++i)
    {
        added.tasks.emplace_back(std::string{}, duration::zero(), false);
        added.tasks.back().move_to(task_state::not_run);
    }
}

void refuse_as_stopping(job_completion& completion, reply_target const& target,
                        event_context& context)
{
    completion.reply(target,
                     format_error(error_code::instance_stopping,
                                  "the instance is stopping",
                                  task_fate::not_run),
                     context);
}

} // namespace

submission_control::submission_control(dispatcher_state& state,
                                       job_completion& completion,
                                       attempt_control& attempts)
    : state_(state)
    , completion_(completion)
    , attempts_(attempts)
{
}

void submission_control::mint(mint_ids const& requested, event_context& context)
{
    reply_target const target = local_caller{requested.request};
    if (state_.is_stopping)
    {
        refuse_as_stopping(completion_, target, context);
        return;
    }
    if (requested.count == 0 || requested.count > max_ids_per_request)
    {
        completion_.reply(target,
                          format_error(error_code::invalid_field,
                                       "count must be from 1 to 1024",
                                       task_fate::not_run),
                          context);
        return;
    }
    std::vector<submission_id> ids;
    ids.reserve(requested.count);
    for (std::uint32_t i = 0; i < requested.count; ++i)
    {
        ids.push_back(state_.minters.back().mint(context.now));
    }
    completion_.reply(target, format_ids(ids), context);
}

void submission_control::submit(reply_target const& target,
                                submission_id const& id, job_request&& request,
                                duration wait, event_context& context)
{
    if (job* const owned_job = state_.table.find(id))
    {
        bool const restarts = state_.options.defects.resubmission_restarts &&
                              owned_job->state != job_state::running &&
                              owned_job->open_attempts == 0;
        if (!restarts)
        {
            resubmit(*owned_job, target, request, wait, context);
            return;
        }
        state_.table.erase(id);
    }
    std::optional<time_point> const expires =
        state_.find_minter(id.owner)->expiry(id.sequence);
    if (!expires || *expires <= context.now)
    {
        refuse_id(target, id, context);
        return;
    }
    if (state_.is_stopping)
    {
        refuse_as_stopping(completion_, target, context);
        return;
    }
    if (id.owner != state_.self())
    {
        completion_.reply(
            target,
            format_error(error_code::incarnation_sealed,
                         "the incarnation that owns the id is sealed",
                         task_fate::not_run),
            context);
        return;
    }
    submit_first(target, id, std::move(request), *expires, wait, context);
}

void submission_control::resubmit(job& owned_job, reply_target const& target,
                                  job_request const& request, duration wait,
                                  event_context& context)
{
    if (owned_job.is_cancelled_before_arrival && owned_job.tasks.empty())
    {
        owned_job.body_hash = request.body_hash;
        fill_unstarted(owned_job, request.tasks.size());
    }
    if (owned_job.body_hash != request.body_hash)
    {
        completion_.reply(
            target,
            format_error(error_code::submission_conflict,
                         "the id belongs to a submission with a different body",
                         task_fate::not_run),
            context);
        return;
    }
    ++state_.counts.resubmissions;
    completion_.answer_or_wait(owned_job, target, wait, context);
}

void submission_control::submit_first(reply_target const& target,
                                      submission_id const& id,
                                      job_request&& request, time_point expires,
                                      duration wait, event_context& context)
{
    job& added = add_job(id, request, expires, context);
    std::optional<job_failure> invalid = check(request);
    if (invalid)
    {
        refuse(added, std::move(*invalid), context);
        completion_.answer_or_wait(added, target, wait, context);
        return;
    }
    fill_job(added, std::move(request));
    if (auto const refused = admit(added, context))
    {
        added.tasks.clear();
        refuse(added, {*refused, "the job was not admitted"}, context);
        completion_.answer_or_wait(added, target, wait, context);
        return;
    }
    ++state_.counts.jobs_accepted;
    ++state_.counts.open_jobs;
    state_.timers.add({added.deadline, timer_kind::deadline, {id, {}}, 0});
    state_.chain.record(job_accepted_record{
        id, added.body_hash, static_cast<std::uint16_t>(added.tasks.size())});
    completion_.answer_or_wait(added, target, wait, context);
    for (std::size_t i = 0; i < added.tasks.size(); ++i)
    {
        attempts_.enqueue(added, i, context);
    }
}

std::optional<job_failure>
submission_control::check(job_request const& request) const
{
    if (!state_.settings->find_service(request.service))
    {
        return job_failure{error_code::unknown_service,
                           "no service has the path " + request.service};
    }
    if (!state_.settings->find_team(request.team))
    {
        return job_failure{error_code::unknown_team,
                           "no team has the name " + request.team};
    }
    if (request.tasks.size() > max_tasks_per_job)
    {
        return job_failure{error_code::too_many_tasks,
                           "a job has at most 1800 tasks"};
    }
    if (request.tasks.empty())
    {
        return job_failure{error_code::invalid_field,
                           "a job has at least one task"};
    }
    if (has_invalid_time(request))
    {
        return job_failure{error_code::invalid_field,
                           "deadline and run times must be positive"};
    }
    return std::nullopt;
}

std::optional<error_code> submission_control::admit(job const& candidate,
                                                    event_context& context)
{
    run_times_.clear();
    for (job_task const& task : candidate.tasks)
    {
        run_times_.push_back(
            state_.router.expected_run_time(candidate.service, task.run_time));
    }
    job_demand demand;
    demand.service = candidate.service;
    demand.team = candidate.team;
    demand.urgency = candidate.urgency;
    demand.run_times = run_times_;
    demand.deadline = candidate.deadline;
    std::size_t const waiting = state_.queue.size() + candidate.tasks.size();
    std::uint32_t const slots =
        state_.router.expected_slots(static_cast<std::uint32_t>(waiting));
    return state_.queue.admit(demand, slots, context.now);
}

job& submission_control::add_job(submission_id const& id,
                                 job_request const& request, time_point expires,
                                 event_context& context)
{
    job& added = state_.table.add(id);
    added.body_hash = request.body_hash;
    added.arrived = context.now;
    added.keep_until = expires;
    return added;
}

void submission_control::fill_job(job& added, job_request&& request)
{
    added.service = *state_.settings->find_service(request.service);
    added.team = *state_.settings->find_team(request.team);
    service_policy const& policy = state_.settings->policy(added.service);
    bool const may_be_urgent =
        state_.settings->policy(added.team).may_be_urgent;
    added.urgency = may_be_urgent ? request.urgency : urgency::normal;
    added.deadline =
        added.arrived + request.deadline.value_or(policy.default_deadline);
    bool const repeatable = request.repeatable.value_or(policy.repeatable);
    added.tasks.reserve(request.tasks.size());
    for (task_request& task : request.tasks)
    {
        added.tasks.emplace_back(
            std::move(task.payload),
            task.run_time.value_or(policy.default_run_time),
            task.repeatable.value_or(repeatable));
    }
    added.open_tasks = static_cast<std::uint32_t>(added.tasks.size());
    added.service_path = std::move(request.service);
}

void submission_control::refuse(job& added, job_failure failure,
                                event_context& context)
{
    ++state_.counts.jobs_refused;
    record_decision decision;
    decision.kind = decision_kind::refuse;
    decision.task = task_key{added.id, {}};
    decision.reason = error_name(failure.code);
    state_.record(decision, context);
    added.is_refused = true;
    added.state = job_state::failed;
    added.failure = std::move(failure);
    state_.timers.add(
        {added.keep_until, timer_kind::retention, {added.id, {}}, 0});
}

void submission_control::refuse_id(reply_target const& target,
                                   submission_id const& id,
                                   event_context& context)
{
    bool const is_expired =
        state_.find_minter(id.owner)->was_minted(id.sequence);
    completion_.reply(
        target,
        is_expired ? format_error(
                         error_code::submission_expired,
                         "the id has expired and its answer is no longer kept",
                         task_fate::unknown)
                   : format_error(error_code::submission_unknown,
                                  "the id was not issued", task_fate::unknown),
        context);
}

void submission_control::query(reply_target const& target,
                               submission_id const& id, duration wait,
                               event_context& context)
{
    if (job* const owned_job = state_.table.find(id))
    {
        completion_.answer_or_wait(*owned_job, target, wait, context);
        return;
    }
    std::optional<time_point> const expires =
        state_.find_minter(id.owner)->expiry(id.sequence);
    if (!expires || *expires <= context.now)
    {
        refuse_id(target, id, context);
        return;
    }
    // The submission may still arrive, so its fate is unknown, not `not_run`.
    completion_.reply(target,
                      format_error(error_code::submission_unknown,
                                   "no submission with this id has arrived",
                                   task_fate::unknown),
                      context);
}

void submission_control::cancel(reply_target const& target,
                                submission_id const& id, event_context& context)
{
    if (job* const owned_job = state_.table.find(id))
    {
        completion_.cancel_job(*owned_job, context);
        completion_.answer_or_wait(*owned_job, target,
                                   state_.options.cancel_wait, context);
        return;
    }
    std::optional<time_point> const expires =
        state_.find_minter(id.owner)->expiry(id.sequence);
    if (!expires || *expires <= context.now)
    {
        refuse_id(target, id, context);
        return;
    }
    // A cancellation may arrive before its submission, which then must not run.
    job& added = add_job(id, job_request{}, *expires, context);
    added.is_cancelled_before_arrival = true;
    added.cancel_requested = true;
    added.state = job_state::cancelled;
    added.failure =
        job_failure{error_code::cancelled,
                    "the caller cancelled the job before it arrived"};
    state_.timers.add({added.keep_until, timer_kind::retention, {id, {}}, 0});
    completion_.answer_or_wait(added, target, duration::zero(), context);
}

void submission_control::drop_caller(request_id request)
{
    auto const found = state_.local_requests.find(request);
    if (found == state_.local_requests.end())
    {
        return;
    }
    job* const owned_job = state_.table.find(found->second);
    state_.local_requests.erase(found);
    if (owned_job == nullptr)
    {
        return;
    }
    reply_target const target = local_caller{request};
    std::erase_if(owned_job->waiters,
                  [&](job_waiter const& waiter)
                  {
                      return waiter.target == target;
                  });
}

void submission_control::drop_due(submission_id const& id,
                                  event_context& context)
{
    job* const owned_job = state_.table.find(id);
    if (owned_job == nullptr || owned_job->state == job_state::running)
    {
        return;
    }
    if (owned_job->keep_until > context.now || owned_job->open_attempts > 0)
    {
        state_.timers.add(
            {std::max(owned_job->keep_until, context.now + drop_retry_interval),
             timer_kind::retention,
             {id, {}},
             0});
        return;
    }
    state_.chain.record(job_forgotten_record{id});
    state_.table.erase(id);
}

} // namespace goldcrestgate::core::detail
