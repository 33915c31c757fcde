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

/// A cancel is not repeated, so its answer matters little.
constexpr core::duration cancel_timeout = std::chrono::seconds{2};

std::string task_path(core::task_key const& task)
{
    return "/run/" + core::to_string(task.submission) + "/" +
           std::to_string(task.task.value());
}

core::task_outcome to_outcome(io::http_result const& ended)
{
    if (ended.outcome == io::call_outcome::not_sent)
    {
        return core::task_outcome::not_sent;
    }
    if (ended.outcome == io::call_outcome::possibly_received)
    {
        return core::task_outcome::lost;
    }
    switch (ended.status)
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
    // Without the header nothing says that the task did not start.
    auto const refused = ended.header("x-refused");
    if (refused == "leaving")
    {
        return core::task_outcome::refused_leaving;
    }
    return refused == "busy" ? core::task_outcome::refused_busy
                             : core::task_outcome::lost;
}

std::optional<std::uint64_t> number_header(io::http_result const& ended,
                                           std::string_view name)
{
    auto const text = ended.header(name);
    return text ? io::parse_number(*text) : std::nullopt;
}

} // namespace

core::attempt_ended to_attempt(core::start_task const& started,
                               io::http_result&& ended)
{
    core::attempt_ended attempt;
    attempt.task = started.task;
    attempt.attempt = started.attempt;
    attempt.server = started.server;
    attempt.outcome = to_outcome(ended);
    if (auto const work = number_header(ended, "x-work-us"))
    {
        attempt.work_time = core::duration{static_cast<std::int64_t>(*work)};
    }
    if (auto const open = number_header(ended, "x-open-slots"))
    {
        attempt.open_slots = static_cast<std::uint32_t>(*open);
    }
    attempt.body = std::move(ended.body);
    if (!core::is_utf8(attempt.body))
    {
        // A result must be a JSON string; the task did run.
        attempt.outcome = attempt.outcome == core::task_outcome::succeeded
                              ? core::task_outcome::failed
                              : attempt.outcome;
        attempt.body = "the server's answer is not UTF-8";
    }
    return attempt;
}

struct backend_connector::backend
{
    backend(io::event_loop& loop, io::socket_address const& address,
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
    /// Cancels must not wait for the tasks that they are to end.
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

void backend_connector::apply(core::connect_server const& asked)
{
    auto const address = io::socket_address::parse(asked.address);
    if (address)
    {
        backends_[asked.server] =
            std::make_shared<backend>(loop_, address.value(), settings_);
    }
}

void backend_connector::apply(core::disconnect_server const& asked)
{
    backends_.erase(asked.server);
}

void backend_connector::apply(core::start_task&& asked)
{
    auto const found = backends_.find(asked.server);
    if (found == backends_.end())
    {
        io::http_result ended;
        ended.outcome = io::call_outcome::not_sent;
        loop_.post(
            [this, attempt = to_attempt(asked, std::move(ended))]
            {
                sink_(attempt);
            });
        return;
    }
    io::http_call call;
    call.method = "POST";
    call.path = "/run";
    call.headers = {{"x-submission", core::to_string(asked.task.submission)},
                    {"x-task", std::to_string(asked.task.task.value())},
                    {"x-attempt", std::to_string(asked.attempt)},
                    {"x-service", asked.service}};
    call.body = std::move(asked.payload);
    call.timeout = asked.timeout;
    auto const started_at = loop_.now();
    found->second->tasks.start(
        std::move(call),
        [this, asked = std::move(asked), started_at](io::http_result ended)
        {
            auto attempt = to_attempt(asked, std::move(ended));
            metrics_.attempt_ended(loop_.now() - started_at, attempt);
            sink_(std::move(attempt));
        });
}

void backend_connector::apply(core::cancel_task const& asked)
{
    auto const found = backends_.find(asked.server);
    if (found != backends_.end())
    {
        found->second->control.start({.method = "DELETE",
                                      .path = task_path(asked.task),
                                      .timeout = cancel_timeout},
                                     [](io::http_result const&) {});
    }
}

} // namespace goldcrestgate::app
