#include "goldcrestgate/app/cli/views.hpp"

#include "goldcrestgate/app/cli/text_table.hpp"
#include "goldcrestgate/app/error_guide.hpp"

#include <array>
#include <cstddef>
#include <span>
#include <utility>

namespace goldcrestgate::app::cli
{

namespace
{

using nlohmann::json;

constexpr std::size_t cell_limit_bytes = 60;

/// One column of a list: its title and the JSON member that it shows.
struct column
{
    std::string_view title;
    std::string_view member;
};

json const& member(json const& value, std::string_view name)
{
    static json const none;
    if (!value.is_object())
    {
        return none;
    }
    auto const found = value.find(std::string{name});
    return found == value.end() ? none : *found;
}

std::string format_cell(json const& value)
{
    std::string text;
    if (value.is_string())
    {
        text = value.get<std::string>();
    }
    else if (value.is_boolean())
    {
        text = value.get<bool>() ? "yes" : "no";
    }
    else if (!value.is_null())
    {
        text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    }
    if (text.size() > cell_limit_bytes)
    {
        auto end = cell_limit_bytes;
        // Does not cut inside a multi-byte UTF-8 character.
        while ((static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U)
        {
            --end;
        }
        text.resize(end);
        text += "...";
    }
    return text;
}

std::string view_list(json const& list, std::span<column const> columns)
{
    std::vector<std::string> titles;
    titles.reserve(columns.size());
    for (auto const& entry : columns)
    {
        titles.emplace_back(entry.title);
    }
    text_table table(std::move(titles));
    for (auto const& item : list)
    {
        std::vector<std::string> cells;
        cells.reserve(columns.size());
        for (auto const& entry : columns)
        {
            cells.push_back(format_cell(member(item, entry.member)));
        }
        table.add_row(std::move(cells));
    }
    return table.format();
}

// The operator API reports a setting as an object with its value and origin;
// the table shows the value only.
json flatten_settings(json const& list)
{
    json flat = json::array();
    for (auto const& item : list)
    {
        json row = item.is_object() ? item : json::object();
        for (auto const& [key, setting] : member(item, "settings").items())
        {
            row[key] = member(setting, "value");
        }
        flat.push_back(std::move(row));
    }
    return flat;
}

// Returns a string without control characters and, unlike a cell, in full
// length.
std::string printable_text(json const& value)
{
    return value.is_string() ? printable(value.get<std::string>())
                             : std::string{};
}

std::string error_line(json const& failure)
{
    return '[' + printable_text(member(failure, "id")) + "] " +
           printable_text(member(failure, "name")) + ": " +
           printable_text(member(failure, "message"));
}

// The service settings that fit on a line; `--output json` prints all.
constexpr std::array<column, 7> service_columns = {
    {{"SERVICE", "path"},
     {"REPEATABLE", "repeatable"},
     {"ATTEMPTS", "max_attempts"},
     {"TIMEOUT_MS", "attempt_timeout_ms"},
     {"DEADLINE_MS", "default_deadline_ms"},
     {"RETRY", "retry_budget_ratio"},
     {"HEDGE", "hedge_budget_ratio"}}};

constexpr std::array<column, 6> team_columns = {
    {{"TEAM", "name"},
     {"WEIGHT", "weight"},
     {"MAX_RUNNING", "max_running_tasks"},
     {"URGENT", "may_be_urgent"},
     {"WAITING", "waiting_tasks"},
     {"RUNNING", "running_tasks"}}};

constexpr std::array<column, 8> instance_columns = {
    {{"INSTANCE", "id"},
     {"DOMAIN", "domain"},
     {"RACK", "rack"},
     {"ADDRESS", "address"},
     {"STATE", "state"},
     {"SETTINGS", "settings_version"},
     {"OPEN_TASKS", "open_tasks"},
     {"INCARNATION", "incarnation"}}};

constexpr std::array<column, 7> server_columns = {
    {{"SERVER", "id"},
     {"DOMAIN", "domain"},
     {"RACK", "rack"},
     {"ADDRESS", "address"},
     {"STATE", "state"},
     {"SLOTS", "slots"},
     {"RUNNING", "running_tasks"}}};

constexpr std::array<column, 6> job_columns = {{{"ID", "id"},
                                                {"SERVICE", "service"},
                                                {"STATE", "state"},
                                                {"TASKS", "tasks"},
                                                {"OPEN", "open_tasks"},
                                                {"AGE_MS", "age_ms"}}};

constexpr std::array<column, 6> decision_columns = {
    {{"DECISION", "kind"},
     {"SERVER", "server"},
     {"SCORE_MS", "score_ms"},
     {"RUNNER_UP", "runner_up"},
     {"SCORE_MS", "runner_up_score_ms"},
     {"REASON", "reason"}}};

} // namespace

std::string view_services(json const& body)
{
    return view_list(flatten_settings(member(body, "services")),
                     service_columns);
}

std::string view_teams(json const& body)
{
    return view_list(flatten_settings(member(body, "teams")), team_columns);
}

std::string view_instances(json const& body)
{
    return view_list(member(body, "instances"), instance_columns);
}

std::string view_servers(json const& body)
{
    return view_list(member(body, "servers"), server_columns);
}

std::string view_jobs(json const& body)
{
    return view_list(member(body, "jobs"), job_columns);
}

std::string view_job(json const& body)
{
    std::string text = format_cell(member(body, "id")) + ": " +
                       format_cell(member(body, "state")) + '\n';
    if (member(body, "error").is_object())
    {
        text += error_line(member(body, "error")) + '\n';
    }
    text_table table({"TASK", "FATE", "RESULT"});
    std::size_t index = 0;
    for (auto const& task : member(body, "tasks"))
    {
        table.add_row({std::to_string(index++),
                       format_cell(member(task, "fate")),
                       format_cell(member(task, "result"))});
    }
    return index == 0 ? text : text + table.format();
}

std::string view_decisions(json const& body)
{
    return view_list(member(body, "decisions"), decision_columns);
}

std::string view_error(json const& body)
{
    auto const& failure = member(body, "error");
    std::string text = error_line(failure) + '\n';
    // The message already contains the first fault.
    auto const& faults = member(body, "faults");
    for (std::size_t i = 1; faults.is_array() && i < faults.size(); ++i)
    {
        text += "  " + printable_text(faults[i]) + '\n';
    }
    auto const* const advice =
        find_advice(format_cell(member(failure, "name")));
    if (advice != nullptr)
    {
        text += "What to do: ";
        text += advice->action;
        text += '\n';
    }
    return text;
}

} // namespace goldcrestgate::app::cli
