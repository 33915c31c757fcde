#include "goldcrestgate/core/detail/attempt_control.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

/// Different servers that refuse a task for good before it counts as one that
/// can run nowhere.
constexpr std::size_t most_final_refusals = 3;
/// Delay of the next attempt after a first refusal beyond the budget; it
/// doubles with each further refusal in a row.
constexpr duration first_refusal_delay = std::chrono::milliseconds{20};
constexpr duration longest_refusal_delay = std::chrono::seconds{1};
constexpr std::uint32_t most_doublings = 6;

task_key key_of(job const& held, std::size_t index)
{
    return {held.id, task_index{static_cast<task_index::rep>(index)}};
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
    if (std::find(task.avoided.begin(), task.avoided.end(), server) ==
        task.avoided.end())
    {
        task.avoided.push_back(server);
    }
}

duration refusal_delay(std::uint32_t refusals)
{
    return std::min(longest_refusal_delay,
                    first_refusal_delay *
                        (1U << std::min(refusals, most_doublings)));
}

} // namespace

void attempt_control::attempt_ended(core::attempt_ended ended, turn& now)
{
    note_server_word(ended, now);
    job* const held = state_.table.find(ended.task.submission);
    std::size_t const index = ended.task.task.value();
    if (held == nullptr || index >= held->tasks.size())
    {
        ++state_.counts.late_answers;
        return;
    }
    job_task& task = held->tasks[index];
    task_attempt const* const attempt = task.find_attempt(ended.attempt);
    if (attempt == nullptr || !attempt->is_sent)
    {
        ++state_.counts.late_answers;
        return;
    }
    if (ended.outcome == task_outcome::succeeded && !is_utf8(ended.body))
    {
        // The answer could not carry the result.
        ended.outcome = task_outcome::failed;
    }
    ended.server = attempt->server;
    completion_.release_attempt(*held, task, ended.attempt, ended, now);
    if (is_final(task.state()))
    {
        ++state_.counts.late_answers;
        return;
    }
    task.note_outcome(ended.server, ended.outcome);
    if (ended.outcome == task_outcome::succeeded)
    {
        after_success(*held, index, ended, now);
        return;
    }
    after_end(*held, index, ended, now);
}

void attempt_control::note_server_word(core::attempt_ended const& ended,
                                       turn& now)
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
        known->second.refused_leaving_at = now.now;
    }
}

void attempt_control::after_success(job& held, std::size_t index,
                                    core::attempt_ended& ended, turn& now)
{
    held.tasks[index].result = std::move(ended.body);
    completion_.end_task(held, index, task_state::done, now);
}

void attempt_control::after_end(job& held, std::size_t index,
                                core::attempt_ended const& ended, turn& now)
{
    job_task& task = held.tasks[index];
    if (proves_no_start(ended.outcome) && task.starts > 0)
    {
        --task.starts;
    }
    if (!task.open.empty())
    {
        // The other copy of the task decides.
        return;
    }
    if (held.failure)
    {
        completion_.end_task(held, index, task.state_when_given_up(), now);
        return;
    }
    if (proves_no_start(ended.outcome))
    {
        after_refusal(held, index, ended, now);
        return;
    }
    after_loss(held, index, ended, now);
}

void attempt_control::after_refusal(job& held, std::size_t index,
                                    core::attempt_ended const& ended, turn& now)
{
    job_task& task = held.tasks[index];
    if (task.cannot_run_on.size() >= most_final_refusals)
    {
        give_up(held, index, error_code::cannot_run,
                describe(index, "was refused for good by 3 servers"), now);
        return;
    }
    if (held.starts_barred)
    {
        give_up(held, index, error_code::copy_unavailable,
                describe(index, "was refused and its copies are lost"), now);
        return;
    }
    if (now.now >= held.deadline)
    {
        give_up(held, index, error_code::deadline_exceeded,
                describe(index, "was refused until the deadline passed"), now);
        return;
    }
    avoid(task, ended.server);
    task.move_to(task_state::waiting);
    ++state_.counts.retries;
    task_key const key = key_of(held, index);
    record_follow_up(key, ended.server, decision_kind::retry,
                     reason_of(ended.outcome), now);
    if (state_.budget.try_take_retry(held.service, now.now))
    {
        enqueue_again(held, index, now);
        return;
    }
    time_point const due = now.now + refusal_delay(task.refusals);
    ++task.refusals;
    state_.timers.add({due, timer_kind::retry, key, task.attempts});
}

void attempt_control::after_loss(job& held, std::size_t index,
                                 core::attempt_ended const& ended, turn& now)
{
    job_task& task = held.tasks[index];
    bool const has_failed = ended.outcome == task_outcome::failed;
    error_code const code =
        has_failed ? error_code::task_failed : error_code::task_fate_unknown;
    std::string_view const what =
        has_failed ? "failed" : "was started and its outcome is unknown";
    service_policy const& policy = state_.settings->policy(held.service);
    bool const may_repeat =
        (task.is_repeatable || state_.options.broken.repeats_everything) &&
        !held.starts_barred && now.now < held.deadline &&
        task.starts < policy.max_attempts;
    if (!may_repeat)
    {
        give_up(held, index, code, describe(index, what), now);
        return;
    }
    task_key const key = key_of(held, index);
    if (!state_.budget.try_take_retry(held.service, now.now))
    {
        record_follow_up(key, ended.server, decision_kind::refuse,
                         "retry_budget_exhausted", now);
        give_up(held, index, error_code::retry_budget_exhausted,
                describe(index, what), now);
        return;
    }
    avoid(task, ended.server);
    task.refusals = 0;
    task.move_to(task_state::waiting);
    ++state_.counts.retries;
    record_follow_up(key, ended.server, decision_kind::retry,
                     reason_of(ended.outcome), now);
    enqueue_again(held, index, now);
}

void attempt_control::retry_due(task_key const& key, turn& now)
{
    job* const held = state_.table.find(key.submission);
    if (held == nullptr || held->failure)
    {
        return;
    }
    std::size_t const index = key.task.value();
    if (held->tasks[index].state() == task_state::waiting)
    {
        enqueue_again(*held, index, now);
    }
}

void attempt_control::give_up(job& held, std::size_t index, error_code code,
                              std::string message, turn& now)
{
    completion_.fail_job(held, code, std::move(message), now);
    completion_.end_task(held, index, held.tasks[index].state_when_given_up(),
                         now);
}

void attempt_control::record_follow_up(task_key const& key, server_id server,
                                       decision_kind kind,
                                       std::string_view reason, turn& now)
{
    record_decision decision;
    decision.kind = kind;
    decision.task = key;
    decision.server = server;
    decision.reason = reason;
    state_.record(decision, now);
}

} // namespace goldcrestgate::core::detail
