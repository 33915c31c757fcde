#include "goldcrestgate/core/recovery/fate.hpp"

#include "goldcrestgate/core/error.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

task_fate fate_of_task(task_copy const& task, bool no_start_follows)
{
    if (task.fate != task_fate::pending)
    {
        return task.fate;
    }
    return !task.started && no_start_follows ? task_fate::not_run
                                             : task_fate::unknown;
}

std::size_t count(job_fate const& job, task_fate fate)
{
    return static_cast<std::size_t>(
        std::count_if(job.tasks.begin(), job.tasks.end(),
                      [fate](task_fate_entry const& task)
                      {
                          return task.fate == fate;
                      }));
}

job_state state_of(job_copy const& copy, job_fate const& job)
{
    if (count(job, task_fate::done) == job.tasks.size())
    {
        return job_state::done;
    }
    if (copy.state == job_state::failed || copy.state == job_state::cancelled)
    {
        return copy.state;
    }
    return count(job, task_fate::unknown) == 0 ? job_state::failed
                                               : job_state::unknown;
}

} // namespace

job_fate fate_of(submission_id const& submission, job_copy const& copy,
                 bool complete)
{
    // The final record of a job follows all its start records; the owner starts
    // no task of the job after it.
    bool const no_start_follows = complete || copy.state != job_state::running;
    job_fate job{submission, copy.body_hash, job_state::unknown,
                 copy.error, copy.message,   {}};
    job.tasks.reserve(copy.tasks.size());
    for (auto const& task : copy.tasks)
    {
        job.tasks.push_back({fate_of_task(task, no_start_follows), task.body});
    }
    job.state = state_of(copy, job);
    if (job.state == job_state::done)
    {
        return job;
    }
    for (auto& task : job.tasks)
    {
        task.body.clear();
    }
    if (job.error == 0)
    {
        job.error = static_cast<std::uint16_t>(error_code::owner_lost);
        job.message = "the owner of the submission is lost";
    }
    return job;
}

bool is_more_informative(job_fate const& left, job_fate const& right)
{
    bool const left_done = left.state == job_state::done;
    bool const right_done = right.state == job_state::done;
    if (left_done != right_done)
    {
        return left_done;
    }
    if (left.tasks.empty() || right.tasks.empty())
    {
        return !left.tasks.empty();
    }
    return count(left, task_fate::unknown) < count(right, task_fate::unknown);
}

} // namespace goldcrestgate::core
