#include "goldcrestgate/core/detail/job_completion.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

task_key key_of(job const& owned_job, std::size_t index)
{
    return {owned_job.id, task_index{static_cast<task_index::rep>(index)}};
}

job_state final_state(job const& owned_job, injected_defects const& defects)
{
    auto const done =
        std::count_if(owned_job.tasks.begin(), owned_job.tasks.end(),
                      [](job_task const& task)
                      {
                          return task.state() == task_state::done;
                      });
    auto const needed =
        defects.answers_are_partial
            ? 1
            : static_cast<std::ptrdiff_t>(owned_job.tasks.size());
    if (done >= needed && !owned_job.tasks.empty())
    {
        return job_state::done;
    }
    return owned_job.cancel_requested ? job_state::cancelled
                                      : job_state::failed;
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
    // A running task without an open attempt has lost its last one, a hedged
    // attempt that was never sent.
    return task.state() == task_state::waiting ||
           task.state() == task_state::recording ||
           (task.state() == task_state::running && task.open.empty());
}

bool has_unstarted(job const& owned_job)
{
    return std::any_of(owned_job.tasks.begin(), owned_job.tasks.end(),
                       is_unstarted);
}

} // namespace

job_completion::job_completion(dispatcher_state& state)
    : state_(state)
{
}

void job_completion::reply(reply_target const& target, caller_answer answer,
                           event_context& context)
{
    if (auto const* local = std::get_if<local_caller>(&target))
    {
        state_.local_requests.erase(local->request);
        context.out.emplace_back(answer_caller{local->request, answer.status,
                                               std::move(answer.body)});
        return;
    }
    auto const& forwarded = std::get<forwarded_caller>(target);
    context.out.emplace_back(send_to_peer{
        forwarded.peer,
        forward_reply{forwarded.nonce, answer.status, std::move(answer.body)}});
}

void job_completion::answer_or_wait(job& owned_job, reply_target const& target,
                                    duration wait, event_context& context)
{
    if (owned_job.state != job_state::running)
    {
        reply(target, format_final(owned_job), context);
        return;
    }
    if (wait <= duration::zero())
    {
        reply(target, format_running(), context);
        return;
    }
    if (auto const* local = std::get_if<local_caller>(&target))
    {
        state_.local_requests.emplace(local->request, owned_job.id);
    }
    owned_job.waiters.push_back({target, context.now + wait});
    state_.timers.add(
        {context.now + wait, timer_kind::waiter, {owned_job.id, {}}, 0});
}

void job_completion::expire_waiters(submission_id const& id,
                                    event_context& context)
{
    job* const owned_job = state_.table.find(id);
    if (owned_job == nullptr)
    {
        return;
    }
    std::erase_if(owned_job->waiters,
                  [&](job_waiter const& waiter)
                  {
                      bool const is_over = waiter.until <= context.now;
                      if (is_over)
                      {
                          reply(waiter.target, format_running(), context);
                      }
                      return is_over;
                  });
}

void job_completion::end_task(job& owned_job, std::size_t index,
                              task_state state, event_context& context)
{
    job_task& task = owned_job.tasks[index];
    if (!task.move_to(state))
    {
        return;
    }
    std::string().swap(task.payload);
    if (!state_.options.defects.results_are_not_copied)
    {
        state_.chain.record(task_result_record{key_of(owned_job, index),
                                               fate_of(state), task.result});
    }
    cancel_attempts(owned_job, index, context);
    --owned_job.open_tasks;
    if (owned_job.open_tasks == 0)
    {
        finalize(owned_job, context);
        return;
    }
    state_.queue.set_open_in_job(owned_job.id, owned_job.open_tasks);
}

void job_completion::fail_job(job& owned_job, error_code code,
                              std::string message, event_context& context)
{
    if (owned_job.failure)
    {
        return;
    }
    owned_job.failure = job_failure{code, std::move(message)};
    end_unstarted(owned_job, context);
    for (std::size_t i = 0; i < owned_job.tasks.size(); ++i)
    {
        if (owned_job.tasks[i].is_repeatable)
        {
            cancel_attempts(owned_job, i, context);
        }
    }
}

void job_completion::cancel_job(job& owned_job, event_context& context)
{
    if (owned_job.state != job_state::running || owned_job.cancel_requested)
    {
        return;
    }
    owned_job.cancel_requested = true;
    if (!owned_job.failure)
    {
        owned_job.failure =
            job_failure{error_code::cancelled, "the caller cancelled the job"};
    }
    for (std::size_t i = 0; i < owned_job.tasks.size(); ++i)
    {
        cancel_attempts(owned_job, i, context);
    }
    end_unstarted(owned_job, context);
}

void job_completion::expire_deadline(job& owned_job, event_context& context)
{
    if (owned_job.state != job_state::running)
    {
        return;
    }
    if (has_unstarted(owned_job))
    {
        fail_job(owned_job, error_code::deadline_exceeded,
                 "the deadline passed before all tasks had started", context);
    }
}

void job_completion::forbid_starts(job& owned_job, error_code code,
                                   std::string message, event_context& context)
{
    if (owned_job.state != job_state::running)
    {
        return;
    }
    owned_job.starts_forbidden = true;
    for (std::size_t i = 0; i < owned_job.tasks.size(); ++i)
    {
        drop_unsent(owned_job, i, context);
    }
    if (has_unstarted(owned_job) && !owned_job.failure)
    {
        owned_job.failure = job_failure{code, std::move(message)};
    }
    end_unstarted(owned_job, context);
}

void job_completion::cancel_attempts(job& owned_job, std::size_t index,
                                     event_context& context)
{
    for (task_attempt& attempt : owned_job.tasks[index].open)
    {
        if (!attempt.is_sent || attempt.cancel_sent)
        {
            continue;
        }
        attempt.cancel_sent = true;
        ++state_.counts.cancels;
        task_key const key = key_of(owned_job, index);
        context.out.emplace_back(
            core::cancel_task{attempt.server, key, attempt.number});
        record_decision decision;
        decision.kind = decision_kind::cancel;
        decision.task = key;
        decision.server = attempt.server;
        decision.reason = is_final(owned_job.tasks[index].state())
                              ? "task_ended"
                              : "job_ended";
        state_.record(decision, context);
    }
    drop_unsent(owned_job, index, context);
}

void job_completion::release_attempt(job& owned_job, job_task& task,
                                     std::uint32_t attempt,
                                     attempt_ended const& ended,
                                     event_context& context)
{
    task_attempt* const found = task.find_attempt(attempt);
    server_id const server = found->server;
    state_.router.task_ended(server, owned_job.service, task.run_time,
                             ended.outcome, ended.work_time, ended.open_slots,
                             context.now);
    state_.queue.task_ended(owned_job.team, owned_job.urgency);
    task.open.erase(task.open.begin() + (found - task.open.data()));
    --owned_job.open_attempts;
    --state_.counts.open_attempts;
    auto const known = state_.servers.find(server);
    if (known != state_.servers.end() && known->second.open_attempts > 0)
    {
        --known->second.open_attempts;
    }
}

void job_completion::end_unstarted(job& owned_job, event_context& context)
{
    state_.queue.cancel(owned_job.id);
    for (std::size_t i = 0; i < owned_job.tasks.size(); ++i)
    {
        job_task& task = owned_job.tasks[i];
        drop_unsent(owned_job, i, context);
        if (is_unstarted(task))
        {
            end_task(owned_job, i, task.final_state_without_retry(), context);
        }
    }
}

void job_completion::drop_unsent(job& owned_job, std::size_t index,
                                 event_context& context)
{
    job_task& task = owned_job.tasks[index];
    attempt_ended ended;
    ended.outcome = task_outcome::cancelled;
    for (std::size_t i = task.open.size(); i > 0; --i)
    {
        task_attempt const attempt = task.open[i - 1];
        if (!attempt.is_sent)
        {
            release_attempt(owned_job, task, attempt.number, ended, context);
        }
    }
}

void job_completion::finalize(job& owned_job, event_context& context)
{
    owned_job.state = final_state(owned_job, state_.options.defects);
    switch (owned_job.state)
    {
    case job_state::done:
        owned_job.failure.reset();
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
    record_final(state_.chain, owned_job);
    owned_job.keep_until = std::max(
        owned_job.keep_until, context.now + state_.options.answer_retention);
    state_.timers.add(
        {owned_job.keep_until, timer_kind::retention, {owned_job.id, {}}, 0});
    std::vector<job_waiter> const waiters = std::move(owned_job.waiters);
    owned_job.waiters.clear();
    for (job_waiter const& waiter : waiters)
    {
        reply(waiter.target, format_final(owned_job), context);
    }
}

} // namespace goldcrestgate::core::detail
