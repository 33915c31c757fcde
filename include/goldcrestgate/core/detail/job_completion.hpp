#pragma once

#include "goldcrestgate/core/detail/dispatcher_state.hpp"
#include "goldcrestgate/core/submission/answer.hpp"
#include "goldcrestgate/core/submission/job.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace goldcrestgate::core::detail
{

/// @brief Ends tasks and jobs and answers the requests that wait for them.
///
/// Not thread-safe; used by one dispatcher only.
class job_completion
{
public:
    explicit job_completion(dispatcher_state& state);

    /// @brief Answers one request.
    void reply(reply_target const& target, caller_answer answer,
               event_context& context);

    /// @brief Answers a request if the job is final; otherwise holds it until
    /// the job is final or the wait is over.
    void answer_or_wait(job& owned_job, reply_target const& target,
                        duration wait, event_context& context);

    /// @brief Answers the held requests whose wait is over.
    void expire_waiters(submission_id const& id, event_context& context);

    /// @brief Sets the final state of a task; the last task ends the job.
    /// @pre the task is not final; if @a state is not `done`, the job's
    /// failure is set
    void end_task(job& owned_job, std::size_t index, task_state state,
                  event_context& context);

    /// @brief Sets the failure of a job, ends its unstarted tasks and cancels
    /// its repeatable running ones, as the results of a failed job are
    /// discarded.
    void fail_job(job& owned_job, error_code code, std::string message,
                  event_context& context);

    /// @brief Cancels a job: ends its unstarted tasks and sends one cancel
    /// message for each running attempt.
    void cancel_job(job& owned_job, event_context& context);

    /// @brief Fails a job whose deadline has passed before all tasks started.
    void expire_deadline(job& owned_job, event_context& context);

    /// @brief Forbids further starts of a job and ends its unstarted tasks;
    /// running ones continue.
    void forbid_starts(job& owned_job, error_code code, std::string message,
                       event_context& context);

    /// @brief Cancels each open attempt of a task that is not yet cancelled;
    /// unsent ones are dropped.
    void cancel_attempts(job& owned_job, std::size_t index,
                         event_context& context);

    /// @brief Removes an open attempt from a task and from the load counters.
    /// @param ended its outcome; `cancelled` for an attempt that was never sent
    void release_attempt(job& owned_job, job_task& task, std::uint32_t attempt,
                         attempt_ended const& ended, event_context& context);

private:
    void end_unstarted(job& owned_job, event_context& context);
    void drop_unsent(job& owned_job, std::size_t index, event_context& context);
    void finalize(job& owned_job, event_context& context);

    dispatcher_state& state_;
};

} // namespace goldcrestgate::core::detail
