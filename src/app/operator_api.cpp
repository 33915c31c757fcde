#include "goldcrestgate/app/operator_api.hpp"

#include "goldcrestgate/app/caller_api.hpp"
#include "goldcrestgate/core/settings/effective.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

using nlohmann::json;

constexpr std::string_view explain_path = "/v1/admin/explain/";

/// Maximum number of submissions in a list.
constexpr std::size_t listed_jobs_limit = 1000;

io::http_response to_response(core::operator_answer answer)
{
    return {answer.status, std::move(answer.body), "application/json", {}};
}

double to_ms(core::duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::string_view decision_name(core::decision_kind kind)
{
    constexpr std::array<std::string_view, 8> names = {
        "place", "hedge",   "retry",   "refuse",
        "eject", "restore", "forward", "cancel"};
    return names.at(static_cast<std::size_t>(kind));
}

json to_json(core::record_decision const& decision)
{
    json entry = {{"kind", decision_name(decision.kind)},
                  {"reason", decision.reason}};
    if (decision.server)
    {
        entry["server"] = decision.server->value();
        entry["score_ms"] = to_ms(decision.score);
    }
    if (decision.runner_up)
    {
        entry["runner_up"] = decision.runner_up->value();
        entry["runner_up_score_ms"] = to_ms(decision.runner_up_score);
    }
    return entry;
}

std::string hexadecimal(core::incarnation incarnation)
{
    std::array<char, 16> digits{};
    auto const written = std::to_chars(
        digits.data(), digits.data() + digits.size(), incarnation.value(), 16);
    return {digits.data(), written.ptr};
}

json to_json(core::instance_view const& peer)
{
    json entry = {{"id", peer.instance.value()},
                  {"domain", peer.domain.value()},
                  {"state", core::state_name(peer.state, peer.leaving)}};
    if (!peer.rack.empty())
    {
        entry["rack"] = peer.rack;
    }
    // The remaining fields are known only after a heartbeat of the peer.
    if (peer.incarnation)
    {
        entry["incarnation"] = hexadecimal(*peer.incarnation);
        entry["settings_version"] = peer.settings.value();
        entry["ready"] = peer.ready;
        entry["open_tasks"] = peer.open_tasks;
    }
    return entry;
}

/// Parses `{id}/{task}` at the end of a path.
std::optional<core::task_key> read_task(std::string_view text)
{
    auto const slash = text.find('/');
    if (slash == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const submission = core::parse_submission_id(text.substr(0, slash));
    auto const task = io::parse_number(text.substr(slash + 1));
    if (!submission || !task || *task > UINT16_MAX)
    {
        return std::nullopt;
    }
    return core::task_key{*submission,
                          core::task_index{static_cast<std::uint16_t>(*task)}};
}

} // namespace

operator_api::operator_api(io::event_loop& loop, io::http_server& server,
                           core::dispatcher const& dispatcher,
                           settings_task& settings,
                           instance_settings const& file_settings,
                           std::function<void()> drain)
    : loop_(loop)
    , dispatcher_(dispatcher)
    , settings_(settings)
    , file_settings_(file_settings)
    , drain_(std::move(drain))
{
    add_settings_routes(server);
    add_list_routes(server);
    add_job_routes(server);
}

void operator_api::add_settings_routes(io::http_server& server)
{
    server.route("GET", "/v1/admin/settings",
                 [this](request const&, reply const& out)
                 {
                     out.send(
                         to_response(core::answer_settings(settings_.state())));
                 });
    server.route(
        "GET", "/v1/admin/settings/status",
        [this](request const&, reply const& out)
        {
            auto const statuses = core::list_instance_statuses(
                {file_settings_.id, file_settings_.failure_domain,
                 settings_.state().version(), core::instance_state::live, false,
                 true},
                dispatcher_.instances());
            out.send(to_response(core::answer_settings_status(
                settings_.state(), settings_.log_reachable(), statuses)));
        });
    server.route("POST", "/v1/admin/settings",
                 [this](request const& in, reply const& out)
                 {
                     settings_.publish(in.body,
                                       [out](core::operator_answer answer)
                                       {
                                           out.send(
                                               to_response(std::move(answer)));
                                       });
                 });
}

void operator_api::add_list_routes(io::http_server& server)
{
    server.route("GET", "/v1/admin/services",
                 [this](request const&, reply const& out)
                 {
                     auto report =
                         core::services_report(settings_.state().tree());
                     report["version"] = settings_.state().version().value();
                     out.send({200, report.dump()});
                 });
    server.route("GET", "/v1/admin/teams",
                 [this](request const&, reply const& out)
                 {
                     auto report = core::teams_report(settings_.state().tree());
                     report["version"] = settings_.state().version().value();
                     out.send({200, report.dump()});
                 });
    server.route("GET", "/v1/admin/servers",
                 [this](request const&, reply const& out)
                 {
                     out.send({200, servers()});
                 });
    server.route("GET", "/v1/admin/instances",
                 [this](request const&, reply const& out)
                 {
                     out.send({200, instances()});
                 });
}

void operator_api::add_job_routes(io::http_server& server)
{
    server.route("GET", "/v1/admin/jobs",
                 [this](request const&, reply const& out)
                 {
                     out.send({200, jobs()});
                 });
    server.route("GET", std::string{explain_path},
                 [this](request const& in, reply const& out)
                 {
                     explain(in, out);
                 });
    server.route(
        "POST", "/v1/admin/drain",
        [this](request const&, reply const& out)
        {
            auto const open = dispatcher_.counts().open_attempts;
            json const body = {{"state", "stopping"}, {"open_tasks", open}};
            out.send({202, body.dump()});
            drain_();
        });
}

std::string operator_api::servers() const
{
    json list = json::array();
    for (auto const& server : dispatcher_.servers())
    {
        list.push_back({{"id", server.server.value()},
                        {"domain", file_settings_.failure_domain.value()},
                        {"rack", server.rack},
                        {"address", server.address},
                        {"slots", server.slots},
                        {"running_tasks", server.open_attempts},
                        {"state", server.leaving ? "leaving" : "live"}});
    }
    return json{{"servers", list}}.dump();
}

std::string operator_api::instances() const
{
    json const self = {
        {"id", file_settings_.id.value()},
        {"domain", file_settings_.failure_domain.value()},
        {"rack", file_settings_.rack},
        {"address", file_settings_.callers_address},
        {"state", "live"},
        {"incarnation", hexadecimal(dispatcher_.self().incarnation)},
        {"settings_version", settings_.state().version().value()},
        {"open_tasks", dispatcher_.counts().open_attempts},
        {"self", true}};
    json list = json::array({self});
    for (auto const& peer : dispatcher_.instances())
    {
        list.push_back(to_json(peer));
    }
    return json{{"instances", list}}.dump();
}

std::string operator_api::jobs() const
{
    json list = json::array();
    for (auto const& job : dispatcher_.jobs(listed_jobs_limit, loop_.now()))
    {
        list.push_back({{"id", core::to_string(job.submission)},
                        {"service", job.service},
                        {"state", core::to_string(job.state)},
                        {"tasks", job.tasks},
                        {"open_tasks", job.open_tasks},
                        {"age_ms", to_ms(job.age)}});
    }
    return json{{"jobs", list}}.dump();
}

void operator_api::explain(request const& in, reply const& out) const
{
    auto const text = in.path.substr(explain_path.size());
    auto const task = read_task(text);
    auto const logged = task ? dispatcher_.explain(*task)
                             : std::vector<core::logged_decision>{};
    if (logged.empty())
    {
        out.send(error_response(core::error_code::not_found,
                                "no decision is recorded for this task"));
        return;
    }
    json decisions = json::array();
    for (auto const& entry : logged)
    {
        decisions.push_back(to_json(entry.decision));
    }
    out.send({200, json{{"id", core::to_string(task->submission)},
                        {"task", task->task.value()},
                        {"decisions", decisions}}
                       .dump()});
}

} // namespace goldcrestgate::app
