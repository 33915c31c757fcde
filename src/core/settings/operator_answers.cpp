#include "goldcrestgate/core/settings/operator_answers.hpp"

#include "goldcrestgate/core/settings/settings_resolver.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace goldcrestgate::core
{

namespace
{

using nlohmann::json;

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_accepted = 202;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::string_view step = "publish settings";

json error_body(error const& failure)
{
    std::string message = failure.step + ": " + failure.message;
    if (!failure.peer.empty())
    {
        message += " (peer " + failure.peer + ')';
    }
    return {{"error",
             {{"name", error_name(failure.code)},
              {"id", error_id(failure.code)},
              {"message", std::move(message)}}},
            {"fate", "not_run"}};
}

operator_answer answer_faults(std::vector<settings_fault> const& faults)
{
    json body = error_body(to_error(faults.front(), step));
    for (auto const& fault : faults)
    {
        body["faults"].push_back(to_string(fault));
    }
    return {status_bad_request, body.dump()};
}

operator_answer answer_conflict(settings_version version,
                                std::string const& cause)
{
    json body = error_body(
        {error_code::settings_conflict, std::string{step}, {}, cause});
    body["version"] = version.value();
    return {status_conflict, body.dump()};
}

operator_answer answer_not_ready()
{
    return answer_error(
        status_unavailable,
        {error_code::settings_missing_key,
         "read settings",
         {},
         "this instance has no settings yet, neither from the log nor from a "
         "peer; ask another instance"});
}

operator_answer answer_outcome(settings_log const& log,
                               std::string const& publication,
                               publication_outcome const& outcome)
{
    if (!outcome.applied)
    {
        return answer_conflict(
            log.version(), "a touched path changed after the base; read the "
                           "settings and publish again");
    }
    return {status_ok, json{{"publication", publication},
                            {"version", outcome.version.value()}}
                           .dump()};
}

std::string explain_conflict(settings_log const& log, std::string const& path)
{
    if (path != "base")
    {
        return path + " changed after the base; read the settings and "
                      "publish again";
    }
    return "the base is not between " +
           std::to_string(log.state().horizon.value()) + " and " +
           std::to_string(log.version().value()) +
           "; if this publication was sent before, read the settings to see "
           "whether it is in force";
}

} // namespace

operator_answer answer_settings(settings_log const& log)
{
    if (!log.ready())
    {
        return answer_not_ready();
    }
    return {status_ok, json{{"version", log.version().value()},
                            {"tree", log.tree().root()}}
                           .dump()};
}

std::string_view state_name(instance_state state, bool leaving)
{
    switch (state)
    {
    case instance_state::gone:
    case instance_state::ended:
        return "gone";
    case instance_state::suspect:
        return "suspect";
    case instance_state::live:
        break;
    }
    return leaving ? "leaving" : "live";
}

std::vector<instance_status>
list_instance_statuses(instance_status const& self,
                       std::span<instance_view const> peers)
{
    std::vector<instance_status> statuses{self};
    for (auto const& peer : peers)
    {
        // The incarnation is unknown before the first contact, and so is the
        // version, which heartbeats report from then on.
        statuses.push_back(
            {peer.instance, peer.domain,
             peer.incarnation ? std::optional{peer.settings} : std::nullopt,
             peer.state, peer.leaving, false});
    }
    return statuses;
}

operator_answer
answer_settings_status(settings_log const& log, bool log_reachable,
                       std::span<instance_status const> statuses)
{
    json body = {{"version", log.version().value()},
                 {"log",
                  {{"reachable", log_reachable},
                   {"next_offset", log.next_offset()},
                   {"seeking_snapshot", log.seeking_snapshot()}}},
                 {"ignored", json::array()},
                 {"instances", json::array()}};
    for (auto const& fault : find_ignored(log.tree()))
    {
        body["ignored"].push_back(to_string(fault));
    }
    for (auto const& status_entry : statuses)
    {
        json entry = {
            {"id", status_entry.id.value()},
            {"domain", status_entry.domain.value()},
            {"state", state_name(status_entry.state, status_entry.leaving)},
            {"self", status_entry.self}};
        if (status_entry.version)
        {
            entry["version"] = status_entry.version->value();
        }
        body["instances"].push_back(std::move(entry));
    }
    return {status_ok, body.dump()};
}

std::optional<operator_answer>
answer_before_append(settings_log const& log, publication_check const& check)
{
    if (!log.ready())
    {
        return answer_not_ready();
    }
    // The outcome is looked up first, because a publication that is already in
    // force can fail the checks against the tree that it produced.
    if (auto const outcome = log.outcome(check.publication.publication))
    {
        return answer_outcome(log, check.publication.publication, *outcome);
    }
    if (!check.faults.empty())
    {
        return answer_faults(check.faults);
    }
    if (auto const path = log.find_conflict(check.publication))
    {
        return answer_conflict(log.version(), explain_conflict(log, *path));
    }
    return std::nullopt;
}

operator_answer answer_after_append(settings_log const& log,
                                    settings_publication const& publication)
{
    if (auto const outcome = log.outcome(publication.publication))
    {
        return answer_outcome(log, publication.publication, *outcome);
    }
    // A snapshot directly after the record may have discarded its outcome.
    return answer_append_unknown(publication);
}

operator_answer answer_append_unknown(settings_publication const& publication)
{
    return {status_accepted,
            json{{"publication", publication.publication}}.dump()};
}

operator_answer answer_error(std::uint16_t status, error const& failure)
{
    return {status, error_body(failure).dump()};
}

} // namespace goldcrestgate::core
