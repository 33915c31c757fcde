#include "goldcrestgate/app/entry/entry_instance.hpp"
#include "platform/job_codec.hpp"
#include "platform/names.hpp"

#include <chrono>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_gone = 410;
constexpr std::uint16_t status_body_too_large = 413;
constexpr std::uint16_t status_too_many_requests = 429;
constexpr std::uint16_t status_headers_too_large = 431;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_gateway_timeout = 504;

std::uint16_t status_of(core::answer_job const& answer)
{
    switch (answer.outcome)
    {
    case core::job_outcome::completed:
    case core::job_outcome::failed:
        return status_ok;
    case core::job_outcome::rejected:
        return answer.reason == "overloaded" ? status_too_many_requests
                                             : status_unavailable;
    case core::job_outcome::abandoned:
    case core::job_outcome::not_owner:
    case core::job_outcome::withdrawn:
        return status_gateway_timeout;
    }
    return status_gateway_timeout;
}

io::http_header retry_after(core::duration wait)
{
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    return {"retry-after", std::to_string(std::max<std::int64_t>(seconds, 1))};
}

/// Returns the body of a response to a request that did not become a job.
std::string refusal_body(std::string_view reason)
{
    return R"({"error":")" + std::string{reason} + R"(","fate":"not_run"})";
}

/// Returns the response to a request of which only a part arrived, or that was
/// not handled. A status that callers do not expect would not tell them that
/// the job has not run.
io::http_response removal_response(core::removal_reason reason)
{
    if (reason == core::removal_reason::headers_too_large)
    {
        return {status_headers_too_large, refusal_body(to_string(reason))};
    }
    return {status_unavailable,
            refusal_body(to_string(reason)),
            "application/json",
            {retry_after(std::chrono::seconds{1})}};
}

/// Returns the body of an error response of the HTTP server itself.
std::string server_error_text(std::uint16_t status)
{
    switch (status)
    {
    case status_bad_request:
        return refusal_body("malformed_request");
    case status_not_found:
        return refusal_body("unknown_method");
    case status_body_too_large:
        return refusal_body("body_too_large");
    default:
        return R"({"error":"status )" + std::to_string(status) + "\"}";
    }
}

/// Parses the job's id, which follows the route's prefix in the path.
std::optional<core::client_job_id> job_id_of(std::string_view path,
                                             core::job_route const& route)
{
    return adapter::parse_job_id(path.substr(route.path_prefix.size()));
}

/// Returns the time that the caller waits for an answer, if the request has a
/// valid header that gives it.
std::optional<core::duration> caller_wait(io::http_request const& request)
{
    auto const text = request.header(adapter::names::caller_wait_header);
    auto const wait_ms = text ? io::parse_number(*text) : std::nullopt;
    if (!wait_ms)
    {
        return std::nullopt;
    }
    constexpr std::uint64_t max_wait_ms = 86'400'000;
    return std::chrono::milliseconds{std::min(*wait_ms, max_wait_ms)};
}

} // namespace

void entry_instance::add_caller_routes()
{
    caller_server_.route(
        "POST", "/",
        [this](io::http_request const& request, io::http_reply const& reply)
        {
            submit(request, reply);
        });
    auto const query_handler =
        [this](io::http_request const& request, io::http_reply const& reply)
    {
        query(request, reply);
    };
    caller_server_.route("GET", "/", query_handler);
    caller_server_.route("DELETE", "/", query_handler);
    caller_server_.set_error_body(server_error_text);
    caller_server_.set_removal_response(removal_response);
    readiness_server_.route(
        "GET", std::string{adapter::names::readiness_path},
        [this](io::http_request const&, io::http_reply const& reply)
        {
            reply.send({is_ready() ? status_ok : status_unavailable});
        });
    metrics_server_.route(
        "GET", "/metrics",
        [this](io::http_request const&, io::http_reply const& reply)
        {
            entry_stats instance_stats;
            instance_stats.ready = is_ready();
            instance_stats.owner = scheduler_.owns();
            instance_stats.configuration_version = routes_.version;
            instance_stats.configuration_age =
                configuration_exchange_.age(loop_.now());
            instance_stats.caller_connections =
                caller_server_.connection_count();
            instance_stats.open_request_bytes =
                caller_server_.open_request_bytes();
            instance_stats.request_removals = request_removals_.totals();
            instance_stats.peer_connections = peer_network_.connected_peers();
            instance_stats.open_jobs = gateway_.open_jobs();
            instance_stats.open_job_bytes = gateway_.open_job_bytes();
            instance_stats.owned_job_bytes = scheduler_.job_bytes();
            instance_stats.store_calls = store_.calls();
            instance_stats.log_lines_dropped = log_.dropped();
            reply.send(
                {status_ok,
                 metrics_.render(scheduler_.load(loop_.now()), instance_stats),
                 "text/plain; version=0.0.4",
                 {}});
        });
}

core::job_route const*
entry_instance::find_route(io::http_request const& request) const
{
    return routes_.find(request.header("host").value_or(""), request.path);
}

void entry_instance::refuse_request(io::http_reply const& reply,
                                    std::uint16_t status,
                                    std::string_view reason,
                                    std::string_view detail)
{
    metrics_.count_refused_request(status);
    log_.write(log_line{log_level::info, "request_refused"}
                   .number("status", status)
                   .text("reason", reason)
                   .text("detail", detail)
                   .number("configuration_version",
                           static_cast<std::int64_t>(routes_.version)));
    io::http_response response{status, refusal_body(reason)};
    if (status == status_unavailable)
    {
        response.headers.push_back(retry_after(std::chrono::seconds{1}));
    }
    reply.send(std::move(response));
}

void entry_instance::submit(io::http_request const& request,
                            io::http_reply const& reply)
{
    // The request may have waited in the socket while this process was paused;
    // its caller may have submitted it elsewhere since it left.
    if (reply.caller_disconnected())
    {
        refuse_request(reply, status_unavailable, "caller_left", request.path);
        return;
    }
    if (routes_.version == 0)
    {
        refuse_request(reply, status_unavailable, "no_configuration",
                       request.path);
        return;
    }
    auto const* const route = find_route(request);
    if (route == nullptr)
    {
        // An older configuration does not show that there is no such route.
        bool const is_current = is_configuration_current();
        refuse_request(reply,
                       is_current ? status_not_found : status_unavailable,
                       is_current ? "unknown_queue" : "configuration_outdated",
                       request.path);
        return;
    }
    auto const id = job_id_of(request.path, *route);
    if (!id)
    {
        refuse_request(reply, status_bad_request, "malformed_id", request.path);
        return;
    }
    auto decoding = adapter::decode_job(*id, request.body);
    if (auto const* const fault =
            std::get_if<adapter::malformed_job>(&decoding))
    {
        refuse_request(reply, status_bad_request, "malformed_job",
                       fault->field);
        return;
    }
    auto& submitted = std::get<adapter::submitted_job>(decoding);
    if (!submitted.kept_in_memory || !submitted.unsupported.empty())
    {
        refuse_request(reply, status_unavailable, "unsupported_job",
                       submitted.kept_in_memory ? submitted.unsupported
                                                : "stored jobs");
        return;
    }
    core::apply_route(*route, caller_wait(request), submitted.job);
    // Callers keep using their open connections until the process has ended. A
    // job that would hardly end before that is not accepted.
    if (stopping_ && loop_.now() + submitted.job.objective > exit_time())
    {
        refuse_request(reply, status_unavailable, "instance_stopping",
                       request.path);
        return;
    }
    core::request_id const handle{++last_request_id_};
    pending_replies_.emplace(handle, reply);
    reply.on_caller_disconnect(
        [this, handle]
        {
            pending_replies_.erase(handle);
            std::vector<core::gateway_action> out;
            auto const now = loop_.now();
            gateway_.caller_disconnected(handle, now, out,
                                         now - loop_.input_since());
            apply(out);
        });
    std::vector<core::gateway_action> out;
    gateway_.submit(handle, std::move(submitted.job), owners(), loop_.now(),
                    out);
    apply(out);
}

// A job is kept only until its caller has the answer. A query therefore reports
// an empty queue, and each valid job id as gone.
void entry_instance::query(io::http_request const& request,
                           io::http_reply const& reply) const
{
    if (routes_.version == 0)
    {
        reply.send({status_unavailable});
        return;
    }
    auto const* const route = find_route(request);
    if (route == nullptr)
    {
        reply.send({is_configuration_current() ? status_not_found
                                               : status_unavailable});
        return;
    }
    bool const is_queue_query =
        request.method == "GET" &&
        request.path.size() == route->path_prefix.size();
    if (is_queue_query)
    {
        reply.send({status_ok, R"({"pending":0})"});
        return;
    }
    reply.send(
        {job_id_of(request.path, *route) ? status_gone : status_bad_request});
}

void entry_instance::apply(core::answer_job const& action)
{
    auto const status = status_of(action);
    metrics_.count_answer(action, status);
    log_.write(to_log_line(action, status));
    auto const found = pending_replies_.find(action.request);
    if (found == pending_replies_.end())
    {
        return;
    }
    io::http_response response{status};
    if (status == status_ok)
    {
        response.body = adapter::format_job_state(action.outcome);
    }
    else
    {
        response.body = R"({"error":")" + std::string{action.reason} + "\"}";
        if (action.outcome == core::job_outcome::rejected)
        {
            response.headers.push_back(retry_after(action.retry_after));
        }
    }
    auto const reply = found->second;
    pending_replies_.erase(found);
    reply.send(std::move(response));
}

} // namespace goldcrestgate::app
