#include "goldcrestgate/core/detail/job_completion.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

task_key key_of(job const& held, std::size_t index)
{
    return {held.id, task_index{static_cast<task_index::rep>(index)}};
}

job_state final_state(job const& held, injected_defects const& broken)
{
    auto const done = std::count_if(held.tasks.begin(), held.tasks.end(),
                                    [](job_task const& task)
                                    {
                                        return task.state() == task_state::done;
                                    });
    auto const needed = broken.answers_are_partial
                            ? 1
                            : static_cast<std::ptrdiff_t>(held.tasks.size());
    if (done >= needed && !held.tasks.empty())
    {
        return job_state::done;
    }
    return held.cancel_requested ? job_state::cancelled : job_state::failed;
}

void record_final(copy_chain& chain, job const& ended)
{
    job_final_record record;
    record.submission = ended.id;
    record.state = ended.state;
    if (ended.failure)
    {
        record.error = static_cast<std::uint16_t>(ended.failure->code);
        record.message = ended.failure->message;
    }
    chain.record(std::move(record));
}

bool is_unstarted(job_task const& task)
{
    // A running task without an attempt has lost its last one, which was a
    // second copy that was never sent.
    return task.state() == task_state::waiting ||
           task.state() == task_state::recording ||
           (task.state() == task_state::running && task.open.empty());
}

bool has_unstarted(job const& held)
{
    return std::any_of(held.tasks.begin(), held.tasks.end(), is_unstarted);
}

} // namespace

job_completion::job_completion(dispatcher_state& state)
    : state_(state)
{
}

void job_completion::reply(reply_target const& target, caller_answer answer,
                           turn& now)
{
    if (auto const* local = std::get_if<local_caller>(&target))
    {
        state_.held.erase(local->request);
        now.out.emplace_back(answer_caller{local->request, answer.status,
                                           std::move(answer.body)});
        return;
    }
    auto const& forwarded = std::get<forwarded_caller>(target);
    now.out.emplace_back(send_to_peer{
        forwarded.peer,
        forward_reply{forwarded.nonce, answer.status, std::move(answer.body)}});
}

void job_completion::answer_or_wait(job& held, reply_target const& target,
                                    duration wait, turn& now)
{
    if (held.state != job_state::running)
    {
        reply(target, format_final(held), now);
        return;
    }
    if (wait <= duration::zero())
    {
        reply(target, format_running(), now);
        return;
    }
    if (auto const* local = std::get_if<local_caller>(&target))
    {
        state_.held.emplace(local->request, held.id);
    }
    held.waiters.push_back({target, now.now + wait});
    state_.timers.add({now.now + wait, timer_kind::waiter, {held.id, {}}, 0});
}

void job_completion::end_waits(submission_id const& id, turn& now)
{
    job* const held = state_.table.find(id);
    if (held == nullptr)
    {
        return;
    }
    std::erase_if(held->waiters,
                  [&](job_waiter const& waiter)
                  {
                      bool const is_over = waiter.until <= now.now;
                      if (is_over)
                      {
                          reply(waiter.target, format_running(), now);
                      }
                      return is_over;
                  });
}

void job_completion::end_task(job& held, std::size_t index, task_state state,
                              turn& now)
{
    job_task& task = held.tasks[index];
    if (!task.move_to(state))
    {
        return;
    }
    std::string().swap(task.payload);
    if (!state_.options.broken.results_are_not_copied)
    {
        state_.chain.record(task_result_record{key_of(held, index),
                                               fate_of(state), task.result});
    }
    cancel_attempts(held, index, now);
    --held.open_tasks;
    if (held.open_tasks == 0)
    {
        finalize(held, now);
        return;
    }
    state_.queue.set_open_in_job(held.id, held.open_tasks);
}

void job_completion::fail_job(job& held, error_code code, std::string message,
                              turn& now)
{
    if (held.failure)
    {
        return;
    }
    held.failure = job_failure{code, std::move(message)};
    end_unstarted(held, now);
    for (std::size_t i = 0; i < held.tasks.size(); ++i)
    {
        if (held.tasks[i].is_repeatable)
        {
            cancel_attempts(held, i, now);
        }
    }
}

void job_completion::cancel_job(job& held, turn& now)
{
    if (held.state != job_state::running || held.cancel_requested)
    {
        return;
    }
    held.cancel_requested = true;
    if (!held.failure)
    {
        held.failure =
            job_failure{error_code::cancelled, "the caller cancelled the job"};
    }
    for (std::size_t i = 0; i < held.tasks.size(); ++i)
    {
        cancel_attempts(held, i, now);
    }
    end_unstarted(held, now);
}

void job_completion::pass_deadline(job& held, turn& now)
{
    if (held.state != job_state::running)
    {
        return;
    }
    if (has_unstarted(held))
    {
        fail_job(held, error_code::deadline_exceeded,
                 "the deadline passed before all tasks had started", now);
    }
}

void job_completion::bar_starts(job& held, error_code code, std::string message,
                                turn& now)
{
    if (held.state != job_state::running)
    {
        return;
    }
    held.starts_barred = true;
    for (std::size_t i = 0; i < held.tasks.size(); ++i)
    {
        drop_unsent(held, i, now);
    }
    if (has_unstarted(held) && !held.failure)
    {
        held.failure = job_failure{code, std::move(message)};
    }
    end_unstarted(held, now);
}

void job_completion::cancel_attempts(job& held, std::size_t index, turn& now)
{
    for (task_attempt& attempt : held.tasks[index].open)
    {
        if (!attempt.is_sent || attempt.cancel_sent)
        {
            continue;
        }
        attempt.cancel_sent = true;
        ++state_.counts.cancels;
        task_key const key = key_of(held, index);
        now.out.emplace_back(
            core::cancel_task{attempt.server, key, attempt.number});
        record_decision decision;
        decision.kind = decision_kind::cancel;
        decision.task = key;
        decision.server = attempt.server;
        decision.reason =
            is_final(held.tasks[index].state()) ? "task_ended" : "job_ended";
        state_.record(decision, now);
    }
    drop_unsent(held, index, now);
}

void job_completion::release_attempt(job& held, job_task& task,
                                     std::uint32_t attempt,
                                     attempt_ended const& ended, turn& now)
{
    task_attempt* const found = task.find_attempt(attempt);
    server_id const server = found->server;
    state_.router.task_ended(server, held.service, task.run_time, ended.outcome,
                             ended.work_time, ended.open_slots, now.now);
    state_.queue.task_ended(held.team, held.urgency);
    task.open.erase(task.open.begin() + (found - task.open.data()));
    --held.open_attempts;
    --state_.counts.open_attempts;
    auto const known = state_.servers.find(server);
    if (known != state_.servers.end() && known->second.open_attempts > 0)
    {
        --known->second.open_attempts;
    }
}

void job_completion::end_unstarted(job& held, turn& now)
{
    state_.queue.cancel(held.id);
    for (std::size_t i = 0; i < held.tasks.size(); ++i)
    {
        job_task& task = held.tasks[i];
        drop_unsent(held, i, now);
        if (is_unstarted(task))
        {
            end_task(held, i, task.state_when_given_up(), now);
        }
    }
}

void job_completion::drop_unsent(job& held, std::size_t index, turn& now)
{
    job_task& task = held.tasks[index];
    attempt_ended ended;
    ended.outcome = task_outcome::cancelled;
    for (std::size_t i = task.open.size(); i > 0; --i)
    {
        task_attempt const attempt = task.open[i - 1];
        if (!attempt.is_sent)
        {
            release_attempt(held, task, attempt.number, ended, now);
        }
    }
}

void job_completion::finalize(job& held, turn& now)
{
    held.state = final_state(held, state_.options.broken);
    switch (held.state)
    {
    case job_state::done:
        held.failure.reset();
        ++state_.counts.jobs_done;
        break;
    case job_state::cancelled:
        ++state_.counts.jobs_cancelled;
        break;
    default:
        ++state_.counts.jobs_failed;
        break;
    }
    --state_.counts.open_jobs;
    record_final(state_.chain, held);
    held.keep_until =
        std::max(held.keep_until, now.now + state_.options.answer_retention);
    state_.timers.add({held.keep_until, timer_kind::forget, {held.id, {}}, 0});
    std::vector<job_waiter> const waiters = std::move(held.waiters);
    held.waiters.clear();
    for (job_waiter const& waiter : waiters)
    {
        reply(waiter.target, format_final(held), now);
    }
}

} // namespace goldcrestgate::core::detail
