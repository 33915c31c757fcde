#include "goldcrestgate/app/caller_api.hpp"

#include "goldcrestgate/core/submission/answer.hpp"
#include "goldcrestgate/core/submission/job_body.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

constexpr std::string_view jobs_path = "/v1/jobs/";

/// Maximum number of ids in one request.
constexpr std::uint32_t max_ids_per_request = 1024;

/// Parses the body of a request for ids, `{"count":N}`.
std::optional<std::uint32_t> read_count(std::string_view body)
{
    auto const parsed = nlohmann::json::parse(body, nullptr, false);
    if (!parsed.is_object() || parsed.size() != 1 || !parsed.contains("count"))
    {
        return std::nullopt;
    }
    auto const& count = parsed.at("count");
    if (!count.is_number_unsigned() || count == 0U ||
        count > max_ids_per_request)
    {
        return std::nullopt;
    }
    return count.get<std::uint32_t>();
}

} // namespace

io::http_response error_response(core::error_code code,
                                 std::string_view message, core::task_fate fate)
{
    auto answer = core::format_error(code, message, fate);
    return {answer.status, std::move(answer.body), "application/json", {}};
}

std::string server_error_body(std::uint16_t status)
{
    using core::error_code;
    switch (status)
    {
    case 404:
        return error_response(error_code::not_found, "no such path or method")
            .body;
    case 408:
        return error_response(error_code::request_timeout,
                              "the request did not arrive in time")
            .body;
    case 413:
        return error_response(error_code::body_too_large,
                              "the body is over the limit")
            .body;
    case 431:
        return error_response(error_code::malformed_request,
                              "the headers are over the limit")
            .body;
    case 503:
        return error_response(error_code::overloaded,
                              "too many requests are open")
            .body;
    default:
        return error_response(error_code::malformed_request,
                              "incomplete or malformed HTTP request")
            .body;
    }
}

caller_api::caller_api(io::event_loop& loop, io::http_server& server,
                       instance_settings const& settings, app::metrics& metrics,
                       event_sink sink)
    : loop_(loop)
    , settings_(settings)
    , metrics_(metrics)
    , sink_(std::move(sink))
{
    using request = io::http_request;
    using reply = io::http_reply;
    server.route("POST", "/v1/ids",
                 [this](request const& in, reply const& out)
                 {
                     mint(in, out);
                 });
    server.route("PUT", std::string{jobs_path},
                 [this](request const& in, reply const& out)
                 {
                     submit(in, out);
                 });
    server.route("GET", std::string{jobs_path},
                 [this](request const& in, reply const& out)
                 {
                     query(in, out);
                 });
    server.route("DELETE", std::string{jobs_path},
                 [this](request const& in, reply const& out)
                 {
                     cancel(in, out);
                 });
}

void caller_api::mint(io::http_request const& request,
                      io::http_reply const& reply)
{
    auto const count = read_count(request.body);
    if (!count)
    {
        reply.send(error_response(core::error_code::invalid_field,
                                  "the body is {\"count\":N}, N from 1 to "
                                  "1024"));
        return;
    }
    sink_(core::mint_ids{register_request(reply), *count});
}

void caller_api::submit(io::http_request const& request,
                        io::http_reply const& reply)
{
    auto const submission = read_submission(request, reply);
    auto const wait = submission ? read_wait(request, reply) : std::nullopt;
    if (!wait)
    {
        return;
    }
    auto parsed = core::parse_job_body(request.body);
    if (auto const* const failure = std::get_if<core::error>(&parsed))
    {
        reply.send(error_response(failure->code, failure->message));
        return;
    }
    sink_(core::submit_job{register_request(reply), *submission,
                           std::get<core::job_request>(std::move(parsed)),
                           *wait});
}

void caller_api::query(io::http_request const& request,
                       io::http_reply const& reply)
{
    auto const submission = read_submission(request, reply);
    auto const wait = submission ? read_wait(request, reply) : std::nullopt;
    if (wait)
    {
        sink_(core::query_job{register_request(reply), *submission, *wait});
    }
}

void caller_api::cancel(io::http_request const& request,
                        io::http_reply const& reply)
{
    if (auto const submission = read_submission(request, reply))
    {
        sink_(core::cancel_job{register_request(reply), *submission});
    }
}

std::optional<core::submission_id>
caller_api::read_submission(io::http_request const& request,
                            io::http_reply const& reply) const
{
    auto const submission =
        core::parse_submission_id(request.path.substr(jobs_path.size()));
    if (!submission)
    {
        reply.send(error_response(core::error_code::invalid_submission_id,
                                  "the path ends with a submission id of the "
                                  "form g1-d-i-n-s"));
    }
    return submission;
}

std::optional<core::duration>
caller_api::read_wait(io::http_request const& request,
                      io::http_reply const& reply) const
{
    if (!request.parameter("wait_ms"))
    {
        return settings_.default_wait;
    }
    auto const wait_ms = request.number("wait_ms");
    if (!wait_ms)
    {
        reply.send(error_response(core::error_code::invalid_field,
                                  "wait_ms is not a number"));
        return std::nullopt;
    }
    auto const max_wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        settings_.maximum_wait);
    return std::chrono::milliseconds{static_cast<std::int64_t>(
        std::min(*wait_ms, static_cast<std::uint64_t>(max_wait.count())))};
}

core::request_id caller_api::register_request(io::http_reply const& reply)
{
    core::request_id const request{++last_request_};
    open_requests_.emplace(request, open_request{reply, loop_.now()});
    reply.on_caller_disconnect(
        [this, request]
        {
            caller_disconnected(request);
        });
    return request;
}

// The caller may have closed only its sending side and may still read, so the
// response gives the state that is known now: the job is running.
void caller_api::caller_disconnected(core::request_id request)
{
    auto const node = open_requests_.extract(request);
    if (node.empty())
    {
        return;
    }
    auto answer = core::format_running();
    node.mapped().reply.send(
        {answer.status, std::move(answer.body), "application/json", {}});
    sink_(core::caller_disconnected{request});
}

void caller_api::apply(core::answer_caller&& answer)
{
    auto const node = open_requests_.extract(answer.request);
    if (node.empty())
    {
        return;
    }
    metrics_.caller_answered(loop_.now() - node.mapped().received_at,
                             answer.status);
    node.mapped().reply.send(
        {answer.status, std::move(answer.body), "application/json", {}});
}

} // namespace goldcrestgate::app
