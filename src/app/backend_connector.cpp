#include "goldcrestgate/app/backend_connector.hpp"

#include "goldcrestgate/core/submission/answer.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// A short timeout suffices: a cancel is not retried and its answer is
/// ignored.
constexpr core::duration cancel_timeout = std::chrono::seconds{2};

std::string task_path(core::task_key const& task)
{
    return "/run/" + core::to_string(task.submission) + "/" +
           std::to_string(task.task.value());
}

core::task_outcome to_outcome(io::http_result const& result)
{
    if (result.outcome == io::call_outcome::not_sent)
    {
        return core::task_outcome::not_sent;
    }
    if (result.outcome == io::call_outcome::possibly_received)
    {
        return core::task_outcome::lost;
    }
    switch (result.status)
    {
    case 200:
        return core::task_outcome::succeeded;
    case 422:
        return core::task_outcome::cannot_run;
    case 500:
        return core::task_outcome::failed;
    case 503:
        break;
    default:
        return core::task_outcome::lost;
    }
    // Without the header, a 503 does not show that the task was refused before
    // it started.
    auto const refused = result.header("x-refused");
    if (refused == "leaving")
    {
        return core::task_outcome::refused_leaving;
    }
    return refused == "busy" ? core::task_outcome::refused_busy
                             : core::task_outcome::lost;
}

std::optional<std::uint64_t> number_header(io::http_result const& result,
                                           std::string_view name)
{
    auto const text = result.header(name);
    return text ? io::parse_number(*text) : std::nullopt;
}

} // namespace

core::attempt_ended to_attempt_ended(core::start_task const& started,
                                     io::http_result&& result)
{
    core::attempt_ended attempt;
    attempt.task = started.task;
    attempt.attempt = started.attempt;
    attempt.server = started.server;
    attempt.outcome = to_outcome(result);
    if (auto const work = number_header(result, "x-work-us"))
    {
        attempt.work_time = core::duration{static_cast<std::int64_t>(*work)};
    }
    if (auto const open = number_header(result, "x-open-slots"))
    {
        attempt.open_slots = static_cast<std::uint32_t>(*open);
    }
    attempt.body = std::move(result.body);
    if (!core::is_utf8(attempt.body))
    {
        // A result is returned as a JSON string and has to be UTF-8. The task
        // has run, so a success becomes a failure.
        attempt.outcome = attempt.outcome == core::task_outcome::succeeded
                              ? core::task_outcome::failed
                              : attempt.outcome;
        attempt.body = "the server's answer is not UTF-8";
    }
    return attempt;
}

struct backend_connector::server_clients
{
    server_clients(io::event_loop& loop, io::socket_address const& address,
                   instance_settings const& settings)
        : tasks(loop, address,
                {.max_connections = settings.connections_for_each_server,
                 .connect_timeout = settings.server_connect_timeout})
        , control(loop, address,
                  {.max_connections = 1,
                   .connect_timeout = settings.server_connect_timeout})
    {
    }

    io::http_client tasks;
    /// A connection of its own, so that a cancel does not queue behind the
    /// tasks that it cancels.
    io::http_client control;
};

backend_connector::backend_connector(io::event_loop& loop,
                                     instance_settings const& settings,
                                     app::metrics& metrics, event_sink sink)
    : loop_(loop)
    , settings_(settings)
    , metrics_(metrics)
    , sink_(std::move(sink))
{
}

backend_connector::~backend_connector() = default;

void backend_connector::apply(core::connect_server const& action)
{
    auto const address = io::socket_address::parse(action.address);
    if (address)
    {
        clients_[action.server] =
            std::make_shared<server_clients>(loop_, address.value(), settings_);
    }
}

void backend_connector::apply(core::disconnect_server const& action)
{
    clients_.erase(action.server);
}

void backend_connector::apply(core::start_task&& action)
{
    auto const found = clients_.find(action.server);
    if (found == clients_.end())
    {
        io::http_result result;
        result.outcome = io::call_outcome::not_sent;
        loop_.post(
            [this, attempt = to_attempt_ended(action, std::move(result))]
            {
                sink_(attempt);
            });
        return;
    }
    io::http_call call;
    call.method = "POST";
    call.path = "/run";
    call.headers = {{"x-submission", core::to_string(action.task.submission)},
                    {"x-task", std::to_string(action.task.task.value())},
                    {"x-attempt", std::to_string(action.attempt)},
                    {"x-service", action.service}};
    call.body = std::move(action.payload);
    call.timeout = action.timeout;
    auto const started_at = loop_.now();
    found->second->tasks.start(
        std::move(call),
        [this, action = std::move(action), started_at](io::http_result result)
        {
            auto attempt = to_attempt_ended(action, std::move(result));
            metrics_.attempt_ended(loop_.now() - started_at, attempt);
            sink_(std::move(attempt));
        });
}

void backend_connector::apply(core::cancel_task const& action)
{
    auto const found = clients_.find(action.server);
    if (found != clients_.end())
    {
        found->second->control.start({.method = "DELETE",
                                      .path = task_path(action.task),
                                      .timeout = cancel_timeout},
                                     [](io::http_result const&) {});
    }
}

} // namespace goldcrestgate::app
