#include "goldcrestgate/core/submission/job.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::core
{

bool is_valid_transition(task_state from, task_state to)
{
    switch (from)
    {
    case task_state::waiting:
        // An earlier attempt may have failed or been lost.
        return to == task_state::recording || to == task_state::not_run ||
               to == task_state::failed || to == task_state::cancelled ||
               to == task_state::unknown;
    case task_state::recording:
        return to == task_state::running || to == task_state::waiting ||
               to == task_state::not_run || to == task_state::failed ||
               to == task_state::cancelled || to == task_state::unknown;
    case task_state::running:
        return to == task_state::waiting || is_final(to);
    default:
        return false;
    }
}

task_fate fate_of(task_state state)
{
    switch (state)
    {
    case task_state::done:
        return task_fate::done;
    case task_state::failed:
        return task_fate::failed;
    case task_state::cancelled:
        return task_fate::cancelled;
    case task_state::not_run:
        return task_fate::not_run;
    case task_state::unknown:
        return task_fate::unknown;
    default:
        return task_fate::pending;
    }
}

job_task::job_task(std::string payload_text, duration expected_run_time,
                   bool repeatable)
    : payload(std::move(payload_text))
    , run_time(expected_run_time)
    , is_repeatable(repeatable)
{
}

bool job_task::move_to(task_state next)
{
    if (!is_valid_transition(state_, next))
    {
        return false;
    }
    state_ = next;
    return true;
}

task_state job_task::state() const
{
    return state_;
}

task_attempt* job_task::find_attempt(std::uint32_t number)
{
    auto const found = std::find_if(open.begin(), open.end(),
                                    [&](task_attempt const& attempt)
                                    {
                                        return attempt.number == number;
                                    });
    return found == open.end() ? nullptr : &*found;
}

void job_task::record_outcome(server_id server, task_outcome outcome)
{
    switch (outcome)
    {
    case task_outcome::failed:
        ran_and_failed_ = true;
        break;
    case task_outcome::lost:
        may_have_run_ = true;
        break;
    case task_outcome::cancelled:
        was_cancelled_ = true;
        break;
    case task_outcome::cannot_run:
        if (std::find(cannot_run_on.begin(), cannot_run_on.end(), server) ==
            cannot_run_on.end())
        {
            cannot_run_on.push_back(server);
        }
        break;
    default:
        break;
    }
}

task_state job_task::final_state_without_retry() const
{
    if (was_cancelled_)
    {
        return task_state::cancelled;
    }
    if (may_have_run_)
    {
        return task_state::unknown;
    }
    return ran_and_failed_ ? task_state::failed : task_state::not_run;
}

} // namespace goldcrestgate::core
