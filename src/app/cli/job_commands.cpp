#include "goldcrestgate/app/cli/detail/session.hpp"
#include "goldcrestgate/app/cli/views.hpp"
#include "goldcrestgate/core/ids.hpp"

#include <algorithm>
#include <chrono>
#include <ostream>

namespace goldcrestgate::app::cli::detail
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::uint16_t status_accepted = 202;
constexpr core::duration max_poll_wait = 2s;
constexpr core::duration resubmit_delay = 1s;
constexpr int resubmit_attempts = 5;

std::string job_path(std::string const& id)
{
    return "/v1/jobs/" + id;
}

// Makes the instance answer before the time limit of the request expires.
std::string wait_query(core::duration timeout)
{
    auto const wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::min(max_poll_wait, timeout / 2));
    return "?wait_ms=" + std::to_string(wait.count());
}

core::error invalid_id(std::string const& text)
{
    return {core::error_code::usage,
            "read the command line",
            {},
            text + " is not a submission id such as g1-1-b-18f3-0"};
}

bool is_task_index(std::string const& text)
{
    constexpr std::size_t max_digits = 4;
    return !text.empty() && text.size() <= max_digits &&
           text.find_first_not_of("0123456789") == std::string::npos;
}

std::string text_member(json const& body, char const* name)
{
    auto const found = body.find(name);
    bool const usable = found != body.end() && found->is_string();
    return usable ? found->get<std::string>() : std::string{};
}

std::optional<std::string> first_id(json const& body)
{
    auto const ids = body.find("ids");
    if (ids == body.end() || !ids->is_array() || ids->empty() ||
        !ids->front().is_string())
    {
        return std::nullopt;
    }
    return ids->front().get<std::string>();
}

exit_code code_of_state(std::string const& state)
{
    if (state == "failed" || state == "cancelled")
    {
        return exit_code::negative;
    }
    return state == "unknown" ? exit_code::unknown : exit_code::success;
}

} // namespace

exit_code session::jobs_show()
{
    auto const& id = call_.arguments.front();
    if (!core::parse_submission_id(id))
    {
        return report(invalid_id(id));
    }
    return show_job(send_request("GET", job_path(id) + "?wait_ms=0"));
}

exit_code session::jobs_cancel()
{
    auto const& id = call_.arguments.front();
    if (!core::parse_submission_id(id))
    {
        return report(invalid_id(id));
    }
    return show_job(send_request("DELETE", job_path(id)));
}

exit_code session::explain()
{
    auto const& id = call_.arguments[0];
    auto const& task = call_.arguments[1];
    if (!core::parse_submission_id(id))
    {
        return report(invalid_id(id));
    }
    if (!is_task_index(task))
    {
        return report(core::error{core::error_code::usage,
                                  "read the command line",
                                  {},
                                  "TASK is the index of a task from 0"});
    }
    return show_list("/v1/admin/explain/" + id + '/' + task, view_decisions);
}

exit_code session::submit()
{
    auto const body = read_input(
        call_.arguments.empty() ? std::string{"-"} : call_.arguments.front());
    if (!body)
    {
        return exit_code::usage;
    }
    auto const minted = send_request("POST", "/v1/ids", R"({"count":1})");
    if (!minted.accepted())
    {
        return report(minted);
    }
    auto const id = first_id(minted.body);
    if (!id || !core::parse_submission_id(*id))
    {
        return report(core::error{core::error_code::malformed_response,
                                  "request an id", call_.address,
                                  "the answer contains no id"});
    }
    context_.error << "submission " << *id << '\n';
    return show_job(wait_for_answer(*id, *body));
}

// Recovers a lost answer by sending the same submission again. That is
// idempotent: a submission that the instance already has is not executed again.
reply session::wait_for_answer(std::string const& id, std::string const& body)
{
    auto const since = context_.now();
    auto const path = job_path(id) + wait_query(call_.timeout);
    auto answer = send_request("PUT", path, body);
    for (int lost = 0; answer.status == status_accepted || answer.failure;)
    {
        if (!answer.failure)
        {
            lost = 0;
            show_progress(id, since);
            answer = send_request("GET", path);
        }
        else if (++lost > resubmit_attempts)
        {
            break;
        }
        else
        {
            context_.sleep(resubmit_delay);
            answer = send_request("PUT", path, body);
        }
    }
    if (context_.shows_progress)
    {
        context_.error << '\n';
    }
    return answer;
}

exit_code session::show_job(reply const& answer)
{
    if (answer.failure)
    {
        auto const code = report(answer);
        return answer.possibly_received() ? exit_code::unknown : code;
    }
    auto const state = text_member(answer.body, "state");
    if (state.empty())
    {
        return report(answer);
    }
    show(answer.body, view_job(answer.body));
    return code_of_state(state);
}

void session::show_progress(std::string const& id, core::time_point since)
{
    if (context_.shows_progress)
    {
        auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(
            context_.now() - since);
        context_.error << '\r' << id << " is running, " << seconds.count()
                       << " s" << std::flush;
    }
}

} // namespace goldcrestgate::app::cli::detail
