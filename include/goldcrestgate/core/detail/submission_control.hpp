#pragma once

#include "goldcrestgate/core/detail/attempt_control.hpp"
#include "goldcrestgate/core/detail/dispatcher_state.hpp"
#include "goldcrestgate/core/detail/job_completion.hpp"
#include "goldcrestgate/core/events.hpp"

#include <optional>
#include <vector>

namespace goldcrestgate::core::detail
{

/// @brief Handles requests for submissions that this process owns.
///
/// Not thread-safe; used by one dispatcher only.
class submission_control
{
public:
    submission_control(dispatcher_state& state, job_completion& completion,
                       attempt_control& attempts);

    /// @brief Mints new submission ids.
    void mint(mint_ids const& requested, event_context& context);

    /// @brief Accepts a first submission, or answers a resubmission.
    /// @pre this process owns the id
    void submit(reply_target const& target, submission_id const& id,
                job_request&& request, duration wait, event_context& context);

    /// @brief Answers with the outcome of the job, for which it waits up to
    /// @a wait.
    /// @pre this process owns the id
    void query(reply_target const& target, submission_id const& id,
               duration wait, event_context& context);

    /// @brief Cancels a job; if it has not arrived yet, marks its id as
    /// cancelled.
    /// @pre this process owns the id
    void cancel(reply_target const& target, submission_id const& id,
                event_context& context);

    /// @brief Drops the held request of a caller that has disconnected.
    void drop_caller(request_id request);

    /// @brief Drops a final job whose retention time has ended.
    void drop_due(submission_id const& id, event_context& context);

private:
    void resubmit(job& owned_job, reply_target const& target,
                  job_request const& request, duration wait,
                  event_context& context);
    void submit_first(reply_target const& target, submission_id const& id,
                      job_request&& request, time_point expires, duration wait,
                      event_context& context);
    std::optional<job_failure> check(job_request const& request) const;
    std::optional<error_code> admit(job const& candidate,
                                    event_context& context);
    job& add_job(submission_id const& id, job_request const& request,
                 time_point expires, event_context& context);
    void fill_job(job& added, job_request&& request);
    void refuse(job& added, job_failure failure, event_context& context);
    void refuse_id(reply_target const& target, submission_id const& id,
                   event_context& context);

    dispatcher_state& state_;
    job_completion& completion_;
    attempt_control& attempts_;
    /// Run times of the tasks of the job being admitted; a reused buffer.
    std::vector<duration> run_times_;
};

} // namespace goldcrestgate::core::detail
