#include "goldcrestgate/core/detail/submission_control.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

constexpr std::uint32_t most_ids = 1024;
constexpr std::size_t most_tasks = 1800;
/// A final job with an attempt that has not ended is looked at again then.
constexpr duration forget_interval = std::chrono::seconds{1};

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

/// @brief Gives a job that was cancelled before it came its unstarted tasks.
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
                        turn& now)
{
    completion.reply(target,
                     format_error(error_code::instance_stopping,
                                  "the instance is stopping",
                                  task_fate::not_run),
                     now);
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

void submission_control::mint(mint_ids const& asked, turn& now)
{
    reply_target const target = local_caller{asked.request};
    if (state_.is_stopping)
    {
        refuse_as_stopping(completion_, target, now);
        return;
    }
    if (asked.count == 0 || asked.count > most_ids)
    {
        completion_.reply(target,
                          format_error(error_code::invalid_field,
                                       "count must be from 1 to 1024",
                                       task_fate::not_run),
                          now);
        return;
    }
    std::vector<submission_id> ids;
    ids.reserve(asked.count);
    for (std::uint32_t i = 0; i < asked.count; ++i)
    {
        ids.push_back(state_.minters.back().mint(now.now));
    }
    completion_.reply(target, format_ids(ids), now);
}

void submission_control::submit(reply_target const& target,
                                submission_id const& id, job_request&& request,
                                duration wait, turn& now)
{
    if (job* const held = state_.table.find(id))
    {
        bool const starts_again = state_.options.broken.resubmission_restarts &&
                                  held->state != job_state::running &&
                                  held->open_attempts == 0;
        if (!starts_again)
        {
            resubmit(*held, target, request, wait, now);
            return;
        }
        state_.table.erase(id);
    }
    std::optional<time_point> const expires =
        state_.find_minter(id.owner)->expiry(id.sequence);
    if (!expires || *expires <= now.now)
    {
        refuse_id(target, id, now);
        return;
    }
    if (state_.is_stopping)
    {
        refuse_as_stopping(completion_, target, now);
        return;
    }
    if (id.owner != state_.self())
    {
        completion_.reply(target,
                          format_error(error_code::incarnation_sealed,
                                       "a copy has sealed the id's incarnation",
                                       task_fate::not_run),
                          now);
        return;
    }
    submit_first(target, id, std::move(request), *expires, wait, now);
}

void submission_control::resubmit(job& held, reply_target const& target,
                                  job_request const& request, duration wait,
                                  turn& now)
{
    if (held.is_cancelled_ahead && held.tasks.empty())
    {
        held.body_hash = request.body_hash;
        fill_unstarted(held, request.tasks.size());
    }
    if (held.body_hash != request.body_hash)
    {
        completion_.reply(
            target,
            format_error(error_code::submission_conflict,
                         "the id belongs to a submission with another body",
                         task_fate::not_run),
            now);
        return;
    }
    ++state_.counts.resubmissions;
    completion_.answer_or_wait(held, target, wait, now);
}

void submission_control::submit_first(reply_target const& target,
                                      submission_id const& id,
                                      job_request&& request, time_point expires,
                                      duration wait, turn& now)
{
    job& added = add_job(id, request, expires, now);
    std::optional<job_failure> invalid = check(request);
    if (invalid)
    {
        refuse(added, std::move(*invalid), now);
        completion_.answer_or_wait(added, target, wait, now);
        return;
    }
    fill_job(added, std::move(request));
    if (auto const refused = admit(added, now))
    {
        added.tasks.clear();
        refuse(added, {*refused, "the job was not admitted"}, now);
        completion_.answer_or_wait(added, target, wait, now);
        return;
    }
    ++state_.counts.jobs_accepted;
    ++state_.counts.open_jobs;
    state_.timers.add({added.deadline, timer_kind::deadline, {id, {}}, 0});
    state_.chain.record(job_accepted_record{
        id, added.body_hash, static_cast<std::uint16_t>(added.tasks.size())});
    completion_.answer_or_wait(added, target, wait, now);
    for (std::size_t i = 0; i < added.tasks.size(); ++i)
    {
        attempts_.enqueue(added, i, now);
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
    if (request.tasks.size() > most_tasks)
    {
        return job_failure{error_code::too_many_tasks,
                           "a job has 1,800 tasks at most"};
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
                                                    turn& now)
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
    return state_.queue.admit(demand, slots, now.now);
}

job& submission_control::add_job(submission_id const& id,
                                 job_request const& request, time_point expires,
                                 turn& now)
{
    job& added = state_.table.add(id);
    added.body_hash = request.body_hash;
    added.arrived = now.now;
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

void submission_control::refuse(job& added, job_failure failure, turn& now)
{
    ++state_.counts.jobs_refused;
    record_decision decision;
    decision.kind = decision_kind::refuse;
    decision.task = task_key{added.id, {}};
    decision.reason = error_name(failure.code);
    state_.record(decision, now);
    added.is_refused = true;
    added.state = job_state::failed;
    added.failure = std::move(failure);
    state_.timers.add(
        {added.keep_until, timer_kind::forget, {added.id, {}}, 0});
}

void submission_control::refuse_id(reply_target const& target,
                                   submission_id const& id, turn& now)
{
    bool const is_expired =
        state_.find_minter(id.owner)->was_minted(id.sequence);
    completion_.reply(
        target,
        is_expired
            ? format_error(error_code::submission_expired,
                           "the id has expired and its answer is not kept",
                           task_fate::unknown)
            : format_error(error_code::submission_unknown,
                           "the id was not handed out", task_fate::unknown),
        now);
}

void submission_control::query(reply_target const& target,
                               submission_id const& id, duration wait,
                               turn& now)
{
    if (job* const held = state_.table.find(id))
    {
        completion_.answer_or_wait(*held, target, wait, now);
        return;
    }
    std::optional<time_point> const expires =
        state_.find_minter(id.owner)->expiry(id.sequence);
    if (!expires || *expires <= now.now)
    {
        refuse_id(target, id, now);
        return;
    }
    // The submission may still be on its way, so its fate is not `not_run`.
    completion_.reply(target,
                      format_error(error_code::submission_unknown,
                                   "no submission with this id has arrived",
                                   task_fate::unknown),
                      now);
}

void submission_control::cancel(reply_target const& target,
                                submission_id const& id, turn& now)
{
    if (job* const held = state_.table.find(id))
    {
        completion_.cancel_job(*held, now);
        completion_.answer_or_wait(*held, target, state_.options.cancel_wait,
                                   now);
        return;
    }
    std::optional<time_point> const expires =
        state_.find_minter(id.owner)->expiry(id.sequence);
    if (!expires || *expires <= now.now)
    {
        refuse_id(target, id, now);
        return;
    }
    // A cancellation may overtake its submission, which then must not run.
    job& added = add_job(id, job_request{}, *expires, now);
    added.is_cancelled_ahead = true;
    added.cancel_requested = true;
    added.state = job_state::cancelled;
    added.failure = job_failure{error_code::cancelled,
                                "the caller cancelled the job before it came"};
    state_.timers.add({added.keep_until, timer_kind::forget, {id, {}}, 0});
    completion_.answer_or_wait(added, target, duration::zero(), now);
}

void submission_control::caller_gone(request_id request)
{
    auto const found = state_.held.find(request);
    if (found == state_.held.end())
    {
        return;
    }
    job* const held = state_.table.find(found->second);
    state_.held.erase(found);
    if (held == nullptr)
    {
        return;
    }
    reply_target const target = local_caller{request};
    std::erase_if(held->waiters,
                  [&](job_waiter const& waiter)
                  {
                      return waiter.target == target;
                  });
}

void submission_control::forget_due(submission_id const& id, turn& now)
{
    job* const held = state_.table.find(id);
    if (held == nullptr || held->state == job_state::running)
    {
        return;
    }
    if (held->keep_until > now.now || held->open_attempts > 0)
    {
        state_.timers.add(
            {std::max(held->keep_until, now.now + forget_interval),
             timer_kind::forget,
             {id, {}},
             0});
        return;
    }
    state_.chain.record(job_forgotten_record{id});
    state_.table.erase(id);
}

} // namespace goldcrestgate::core::detail
