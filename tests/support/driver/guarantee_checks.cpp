#include "support/driver/guarantee_checks.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace goldcrestgate::test
{

namespace
{

using nlohmann::json;
using namespace goldcrestgate::core;

std::string name_of(task_key const& task)
{
    return to_string(task.submission) + " task " +
           std::to_string(task.task.value());
}

} // namespace

std::string guarantee_checks::result_of(task_key const& task)
{
    return "result of " + name_of(task);
}

void guarantee_checks::fail(std::string_view guarantee, std::string text,
                            sim_time now)
{
    violations_.push_back({guarantee, std::move(text), now});
}

void guarantee_checks::job_created(submission_id const& id, std::size_t tasks,
                                   bool repeatable)
{
    auto& job = jobs_[id];
    job.tasks.resize(tasks);
    job.repeatable = repeatable;
}

void guarantee_checks::submit_sent(submission_id const& id)
{
    auto& job = jobs_[id];
    ++job.submits;
    job.refused = false;
}

void guarantee_checks::start_sent(instance_key const& sender,
                                  start_task const& start, std::uint32_t body,
                                  sim_time now)
{
    auto& job = jobs_.at(start.task.submission);
    auto& observed = job.tasks.at(start.task.task.value());
    if (body != job.body.value_or(body))
    {
        fail("matched_answer", name_of(start.task) + " ran with another body",
             now);
    }
    job.body = body;
    if (start.task.submission.owner.instance != sender.instance)
    {
        fail("single_start", name_of(start.task) + " started by another owner",
             now);
    }
    if (!observed.attempts.insert(start.attempt).second)
    {
        fail("single_start",
             name_of(start.task) + " sent the same attempt "
                                   "twice",
             now);
    }
}

void guarantee_checks::run_started(task_key const& task,
                                   bool past_leaving_limit, sim_time now)
{
    auto& job = jobs_.at(task.submission);
    auto& observed = job.tasks.at(task.task.value());
    ++observed.runs;
    if (!job.repeatable && observed.runs > 1)
    {
        fail("not_repeatable", name_of(task) + " ran twice", now);
    }
    if (observed.runs > max_attempts)
    {
        fail("single_start", name_of(task) + " ran more than allowed", now);
    }
    if (observed.reported_not_run || job.refused)
    {
        fail("true_not_run",
             name_of(task) + " ran after it was reported as not_run", now);
    }
    if (past_leaving_limit)
    {
        fail("leaving_server", name_of(task) + " started on a leaving server",
             now);
    }
}

void guarantee_checks::run_ended(task_key const& task, task_outcome outcome)
{
    auto& observed = jobs_.at(task.submission).tasks.at(task.task.value());
    observed.succeeded |= outcome == task_outcome::succeeded;
    observed.failed |= outcome == task_outcome::failed;
}

void guarantee_checks::result_received(task_key const& task, sim_time now)
{
    jobs_.at(task.submission).tasks.at(task.task.value()).result_at = now;
}

void guarantee_checks::check_answer(caller_request const& request,
                                    std::uint16_t status,
                                    std::string const& body, sim_time now)
{
    auto const answer = json::parse(body, nullptr, false);
    if (answer.is_discarded())
    {
        fail("whole_answer", "an answer is not JSON: " + body, now);
        return;
    }
    auto const found = jobs_.find(request.submission);
    if (request.what == caller_request::kind::mint || found == jobs_.end())
    {
        return;
    }
    bool const is_final = status == 200 && answer.contains("tasks");
    if (is_final)
    {
        check_final(request, found->second, answer, now);
    }
    else if (status != 202)
    {
        check_refusal(request, found->second, answer, now);
    }
}

void guarantee_checks::check_final(caller_request const& request,
                                   observed_job& job, json const& answer,
                                   sim_time now)
{
    auto const id = to_string(request.submission);
    if (answer.value("id", "") != id)
    {
        fail("matched_answer", id + " got the answer of another request", now);
        return;
    }
    if (request.body && *request.body != job.body.value_or(*request.body))
    {
        fail("matched_answer", id + " got the answer to another body", now);
    }
    job.body = job.body ? job.body : request.body;
    auto const& tasks = answer["tasks"];
    bool const is_cancelled_before_arrival =
        tasks.empty() && answer.value("state", "") == "cancelled";
    if (is_cancelled_before_arrival)
    {
        return;
    }
    if (tasks.size() != job.tasks.size())
    {
        fail("whole_answer", id + " got an answer with missing tasks", now);
        return;
    }
    bool const is_done = answer.value("state", "") == "done";
    for (std::size_t index = 0; index < tasks.size(); ++index)
    {
        task_key const task{request.submission,
                            task_index{static_cast<task_index::rep>(index)}};
        check_task(task, job.tasks[index], tasks[index], is_done, now);
    }
}

void guarantee_checks::check_task(task_key const& task, observed_task& observed,
                                  json const& reported, bool job_done,
                                  sim_time now)
{
    auto const fate = reported.value("fate", "");
    if (job_done != reported.contains("result") || (job_done && fate != "done"))
    {
        fail("whole_answer", name_of(task) + " makes the answer partial", now);
    }
    if (job_done && reported.value("result", "") != result_of(task))
    {
        fail("matched_answer", name_of(task) + " got another task's result",
             now);
    }
    bool const is_true = (fate != "done" || observed.succeeded) &&
                         (fate != "failed" || observed.failed);
    if (!is_true)
    {
        fail("true_fate", name_of(task) + " was reported as " + fate, now);
    }
    if (fate == "not_run")
    {
        observed.reported_not_run = true;
        if (observed.runs > 0)
        {
            fail("true_not_run", name_of(task) + " had run", now);
        }
    }
}

void guarantee_checks::check_refusal(caller_request const& request,
                                     observed_job& job, json const& answer,
                                     sim_time now)
{
    bool const is_other_body =
        request.body && job.body && *request.body != *job.body;
    if (answer.value("fate", "") != "not_run" || is_other_body)
    {
        return;
    }
    job.refused = job.submits == 1;
    bool const has_run = std::any_of(job.tasks.begin(), job.tasks.end(),
                                     [](observed_task const& task)
                                     {
                                         return task.runs > 0;
                                     });
    if (has_run)
    {
        fail("true_not_run",
             to_string(request.submission) +
                 " was refused as not run and ran: " + answer.dump(),
             now);
    }
}

void guarantee_checks::check_lost_owner(caller_request const& request,
                                        std::string const& body,
                                        sim_time received_by, sim_time now)
{
    auto const found = jobs_.find(request.submission);
    auto const answer = json::parse(body, nullptr, false);
    if (found == jobs_.end() || answer.is_discarded())
    {
        return;
    }
    auto const id = to_string(request.submission);
    auto const& observed = found->second.tasks;
    auto const tasks = answer.value("tasks", json::array());
    for (std::size_t index = 0; index < observed.size(); ++index)
    {
        bool const is_known = observed[index].result_at &&
                              *observed[index].result_at <= received_by;
        if (is_known &&
            (index >= tasks.size() || tasks[index].value("fate", "") != "done"))
        {
            std::string text = id;
            text.append(" task ").append(std::to_string(index));
            text.append(" was done and is reported otherwise: ").append(body);
            fail("known_fate", std::move(text), now);
        }
    }
}

} // namespace goldcrestgate::test
