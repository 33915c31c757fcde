#include "goldcrestgate/app/cli/text_table.hpp"
#include "goldcrestgate/app/cli/views.hpp"
#include "goldcrestgate/core/settings/document.hpp"
#include "goldcrestgate/core/settings/effective.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace goldcrestgate::app::cli
{

namespace
{

using nlohmann::json;

constexpr std::string_view services_prefix = "services.";
constexpr std::string_view teams_prefix = "teams.";

void collect_values(json const& value, std::string const& path,
                    text_table& table)
{
    if (!value.is_object() || value.empty())
    {
        table.add_row({path, value.dump()});
        return;
    }
    for (auto const& [name, child] : value.items())
    {
        collect_values(child, core::join_path(path, name), table);
    }
}

bool contains(std::vector<std::string> const& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::optional<std::vector<core::effective_value>>
find_effective(core::settings_tree const& tree, std::string_view path)
{
    if (path == "urgency")
    {
        return core::effective_urgency(tree);
    }
    if (path == "services")
    {
        return core::effective_service(tree, {});
    }
    if (path.starts_with(services_prefix))
    {
        auto const service = path.substr(services_prefix.size());
        return contains(core::list_services(tree), service)
                   ? std::optional{core::effective_service(tree, service)}
                   : std::nullopt;
    }
    if (path.starts_with(teams_prefix))
    {
        auto const team = path.substr(teams_prefix.size());
        return contains(core::list_teams(tree), team)
                   ? std::optional{core::effective_team(tree, team)}
                   : std::nullopt;
    }
    return std::nullopt;
}

/// The versions in force on the instances of one failure domain.
struct domain_status
{
    /// Lowest and highest version of the instances that are not gone and whose
    /// version is known; lowest exceeds highest if there are none.
    std::uint64_t lowest = UINT64_MAX;
    std::uint64_t highest = 0;
    std::size_t instances = 0;
    std::size_t gone = 0;
};

std::uint64_t number(json const& object, char const* name)
{
    auto const found = object.find(name);
    bool const usable = found != object.end() && found->is_number_unsigned();
    return usable ? found->get<std::uint64_t>() : 0;
}

std::map<std::uint64_t, domain_status> group_by_domain(json const& instances)
{
    std::map<std::uint64_t, domain_status> domains;
    for (auto const& instance : instances)
    {
        if (instance.is_object())
        {
            auto& domain = domains[number(instance, "domain")];
            bool const gone = instance.value("state", json()) == "gone";
            ++(gone ? domain.gone : domain.instances);
            if (!gone && instance.contains("version"))
            {
                auto const version = number(instance, "version");
                domain.lowest = std::min(domain.lowest, version);
                domain.highest = std::max(domain.highest, version);
            }
        }
    }
    return domains;
}

std::string view_log_state(json const& body)
{
    auto const log = body.value("log", json::object());
    std::string text = "version " + std::to_string(number(body, "version"));
    if (!log.is_object())
    {
        return text + '\n';
    }
    auto const is_true = [&log](char const* name)
    {
        auto const found = log.find(name);
        return found != log.end() && found->is_boolean() && found->get<bool>();
    };
    text += is_true("reachable") ? ", the log is reachable"
                                 : ", the log is NOT reachable";
    if (is_true("seeking_snapshot"))
    {
        text +=
            ", records are missing; waiting for a snapshot that covers them";
    }
    return text + '\n';
}

} // namespace

std::string view_settings_status(json const& body)
{
    if (!body.is_object())
    {
        return {};
    }
    std::string text = view_log_state(body);
    text_table table({"DOMAIN", "INSTANCES", "GONE", "LOWEST", "HIGHEST"});
    for (auto const& [domain, status] :
         group_by_domain(body.value("instances", json::array())))
    {
        bool const known = status.lowest <= status.highest;
        table.add_row({std::to_string(domain), std::to_string(status.instances),
                       std::to_string(status.gone),
                       known ? std::to_string(status.lowest) : "-",
                       known ? std::to_string(status.highest) : "-"});
    }
    text += table.format();
    for (auto const& fault : body.value("ignored", json::array()))
    {
        text += "ignored: " +
                printable(fault.is_string() ? fault.get<std::string>()
                                            : fault.dump()) +
                '\n';
    }
    return text;
}

std::optional<std::string> view_settings(core::settings_tree const& tree,
                                         std::string_view path)
{
    auto const* const value = tree.find(path);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    text_table table({"PATH", "VALUE"});
    collect_values(*value, std::string{path}, table);
    return table.format();
}

std::optional<std::string> view_effective(core::settings_tree const& tree,
                                          std::string_view path)
{
    auto const values = find_effective(tree, path);
    if (!values)
    {
        return std::nullopt;
    }
    text_table table({"KEY", "VALUE", "FROM"});
    for (auto const& value : *values)
    {
        table.add_row({value.key, value.value.dump(), value.from});
    }
    return table.format();
}

std::string view_changes(core::settings_tree const& from,
                         core::settings_changes const& changes)
{
    text_table table({"CHANGE", "PATH", "BEFORE", "AFTER"});
    auto const before = [&from](std::string const& path)
    {
        auto const* const value = from.find(path);
        return value == nullptr ? std::string{"-"} : value->dump();
    };
    for (auto const& path : changes.unset)
    {
        table.add_row({"unset", path, before(path), "-"});
    }
    for (auto const& [path, value] : changes.set)
    {
        table.add_row({"set", path, before(path), value.dump()});
    }
    return table.format();
}

json changes_to_json(core::settings_changes const& changes)
{
    json set = json::object();
    for (auto const& [path, value] : changes.set)
    {
        set[path] = value;
    }
    return {{"set", std::move(set)}, {"unset", changes.unset}};
}

} // namespace goldcrestgate::app::cli
