#include "goldcrestgate/core/detail/attempt_control.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

/// A task that this many servers have permanently refused counts as unable to
/// run anywhere.
constexpr std::size_t max_permanent_refusals = 3;
/// Backoff after the first refusal that the retry budget does not cover; it
/// doubles with each consecutive refusal.
constexpr duration initial_refusal_backoff = std::chrono::milliseconds{20};
constexpr duration max_refusal_backoff = std::chrono::seconds{1};
constexpr std::uint32_t max_backoff_doublings = 6;

task_key key_of(job const& owned_job, std::size_t index)
{
    return {owned_job.id, task_index{static_cast<task_index::rep>(index)}};
}

std::string describe(std::size_t index, std::string_view what)
{
    std::string text = "task ";
    text += std::to_string(index);
    text += ' ';
    text += what;
    return text;
}

std::string_view reason_of(task_outcome outcome)
{
    switch (outcome)
    {
    case task_outcome::failed:
        return "task_failed";
    case task_outcome::cannot_run:
        return "cannot_run";
    case task_outcome::refused_busy:
        return "server_busy";
    case task_outcome::refused_leaving:
        return "server_leaving";
    case task_outcome::not_sent:
        return "not_sent";
    case task_outcome::lost:
        return "attempt_lost";
    default:
        return "cancelled";
    }
}

void avoid(job_task& task, server_id server)
{
    if (std::find(task.avoided_servers.begin(), task.avoided_servers.end(),
                  server) == task.avoided_servers.end())
    {
        task.avoided_servers.push_back(server);
    }
}

duration refusal_backoff(std::uint32_t refusals)
{
    return std::min(max_refusal_backoff,
                    initial_refusal_backoff *
                        (1U << std::min(refusals, max_backoff_doublings)));
}

} // namespace

void attempt_control::handle_attempt_end(core::attempt_ended ended,
                                         event_context& context)
{
    record_server_response(ended, context);
    job* const owned_job = state_.table.find(ended.task.submission);
    std::size_t const index = ended.task.task.value();
    if (owned_job == nullptr || index >= owned_job->tasks.size())
    {
        ++state_.counts.late_answers;
        return;
    }
    job_task& task = owned_job->tasks[index];
    task_attempt const* const attempt = task.find_attempt(ended.attempt);
    if (attempt == nullptr || !attempt->is_sent)
    {
        ++state_.counts.late_answers;
        return;
    }
    if (ended.outcome == task_outcome::succeeded && !is_utf8(ended.body))
    {
        // Only UTF-8 can be returned in the JSON answer.
        ended.outcome = task_outcome::failed;
    }
    ended.server = attempt->server;
    completion_.release_attempt(*owned_job, task, ended.attempt, ended,
                                context);
    if (is_final(task.state()))
    {
        ++state_.counts.late_answers;
        return;
    }
    task.record_outcome(ended.server, ended.outcome);
    if (ended.outcome == task_outcome::succeeded)
    {
        handle_success(*owned_job, index, ended, context);
        return;
    }
    handle_unsuccessful_end(*owned_job, index, ended, context);
}

void attempt_control::record_server_response(core::attempt_ended const& ended,
                                             event_context& context)
{
    if (ended.outcome == task_outcome::lost)
    {
        ++state_.counts.lost_attempts;
    }
    if (proves_no_start(ended.outcome))
    {
        ++state_.counts.refused_starts;
    }
    auto const known = state_.servers.find(ended.server);
    if (known != state_.servers.end() &&
        ended.outcome == task_outcome::refused_leaving)
    {
        known->second.refused_leaving_at = context.now;
    }
}

void attempt_control::handle_success(job& owned_job, std::size_t index,
                                     core::attempt_ended& ended,
                                     event_context& context)
{
    owned_job.tasks[index].result = std::move(ended.body);
    completion_.end_task(owned_job, index, task_state::done, context);
}

void attempt_control::handle_unsuccessful_end(job& owned_job, std::size_t index,
                                              core::attempt_ended const& ended,
                                              event_context& context)
{
    job_task& task = owned_job.tasks[index];
    if (proves_no_start(ended.outcome) && task.starts > 0)
    {
        --task.starts;
    }
    if (!task.open.empty())
    {
        // The other open attempt of the task decides its fate.
        return;
    }
    if (owned_job.failure)
    {
        completion_.end_task(owned_job, index, task.final_state_without_retry(),
                             context);
        return;
    }
    if (proves_no_start(ended.outcome))
    {
        handle_refusal(owned_job, index, ended, context);
        return;
    }
    handle_failure_or_loss(owned_job, index, ended, context);
}

void attempt_control::handle_refusal(job& owned_job, std::size_t index,
                                     core::attempt_ended const& ended,
                                     event_context& context)
{
    job_task& task = owned_job.tasks[index];
    if (task.cannot_run_on.size() >= max_permanent_refusals)
    {
        end_without_retry(
            owned_job, index, error_code::cannot_run,
            describe(index, "was permanently refused by 3 servers"), context);
        return;
    }
    if (owned_job.starts_forbidden)
    {
        end_without_retry(
            owned_job, index, error_code::copy_unavailable,
            describe(index, "was refused and its copies are unavailable"),
            context);
        return;
    }
    if (context.now >= owned_job.deadline)
    {
        end_without_retry(
            owned_job, index, error_code::deadline_exceeded,
            describe(index, "was refused until the deadline passed"), context);
        return;
    }
    avoid(task, ended.server);
    task.move_to(task_state::waiting);
    ++state_.counts.retries;
    task_key const key = key_of(owned_job, index);
    record_attempt_decision(key, ended.server, decision_kind::retry,
                            reason_of(ended.outcome), context);
    if (state_.budget.try_take_retry(owned_job.service, context.now))
    {
        requeue(owned_job, index, context);
        return;
    }
    time_point const due = context.now + refusal_backoff(task.refusals);
    ++task.refusals;
    state_.timers.add({due, timer_kind::retry, key, task.attempts});
}

void attempt_control::handle_failure_or_loss(job& owned_job, std::size_t index,
                                             core::attempt_ended const& ended,
                                             event_context& context)
{
    job_task& task = owned_job.tasks[index];
    bool const has_failed = ended.outcome == task_outcome::failed;
    error_code const code =
        has_failed ? error_code::task_failed : error_code::task_fate_unknown;
    std::string_view const what =
        has_failed ? "failed" : "was started and its outcome is unknown";
    service_policy const& policy = state_.settings->policy(owned_job.service);
    bool const may_repeat =
        (task.is_repeatable || state_.options.defects.repeats_everything) &&
        !owned_job.starts_forbidden && context.now < owned_job.deadline &&
        task.starts < policy.max_attempts;
    if (!may_repeat)
    {
        end_without_retry(owned_job, index, code, describe(index, what),
                          context);
        return;
    }
    task_key const key = key_of(owned_job, index);
    if (!state_.budget.try_take_retry(owned_job.service, context.now))
    {
        record_attempt_decision(key, ended.server, decision_kind::refuse,
                                "retry_budget_exhausted", context);
        end_without_retry(owned_job, index, error_code::retry_budget_exhausted,
                          describe(index, what), context);
        return;
    }
    avoid(task, ended.server);
    task.refusals = 0;
    task.move_to(task_state::waiting);
    ++state_.counts.retries;
    record_attempt_decision(key, ended.server, decision_kind::retry,
                            reason_of(ended.outcome), context);
    requeue(owned_job, index, context);
}

void attempt_control::retry_due(task_key const& key, event_context& context)
{
    job* const owned_job = state_.table.find(key.submission);
    if (owned_job == nullptr || owned_job->failure)
    {
        return;
    }
    std::size_t const index = key.task.value();
    if (owned_job->tasks[index].state() == task_state::waiting)
    {
        requeue(*owned_job, index, context);
    }
}

void attempt_control::end_without_retry(job& owned_job, std::size_t index,
                                        error_code code, std::string message,
                                        event_context& context)
{
    completion_.fail_job(owned_job, code, std::move(message), context);
    completion_.end_task(owned_job, index,
                         owned_job.tasks[index].final_state_without_retry(),
                         context);
}

void attempt_control::record_attempt_decision(task_key const& key,
                                              server_id server,
                                              decision_kind kind,
                                              std::string_view reason,
                                              event_context& context)
{
    record_decision decision;
    decision.kind = kind;
    decision.task = key;
    decision.server = server;
    decision.reason = reason;
    state_.record(decision, context);
}

} // namespace goldcrestgate::core::detail
