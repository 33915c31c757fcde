#include "goldcrestgate/core/settings/effective.hpp"

#include "goldcrestgate/core/settings/document.hpp"
#include "goldcrestgate/core/settings/tree_schema.hpp"

namespace goldcrestgate::core
{

namespace
{

using nlohmann::json;

constexpr std::string_view services_section = "services";
constexpr std::string_view teams_section = "teams";
constexpr std::string_view urgency_section = "urgency";

void collect_services(json const& service, std::string const& path,
                      std::vector<std::string>& paths)
{
    for (auto const& [name, value] : service.items())
    {
        if (is_child_service(name, value))
        {
            std::string const child_path = join_path(path, name);
            paths.push_back(child_path);
            collect_services(value, child_path, paths);
        }
    }
}

json const* find_accepted_value(settings_tree const& tree,
                                std::string const& path, value_rule const& rule)
{
    json const* const value = tree.find(path);
    bool const accepted = value != nullptr && !check_value(rule, *value);
    return accepted ? value : nullptr;
}

std::string parent_of(std::string const& path)
{
    auto const end = path.rfind('.');
    return end == std::string::npos ? std::string{} : path.substr(0, end);
}

effective_value resolve_value(settings_tree const& tree,
                              std::string object_path, key_schema const& schema)
{
    for (; !object_path.empty(); object_path = parent_of(object_path))
    {
        auto const* const value = find_accepted_value(
            tree, join_path(object_path, schema.key), schema.rule);
        if (value != nullptr)
        {
            return {std::string{schema.key}, *value, object_path};
        }
    }
    return {std::string{schema.key}, default_of(schema.rule), "default"};
}

template <typename Policy>
std::vector<effective_value>
resolve_values(settings_tree const& tree, std::string const& object_path,
               std::span<policy_key<Policy> const> keys)
{
    std::vector<effective_value> values;
    values.reserve(keys.size());
    for (auto const& key : keys)
    {
        values.push_back(resolve_value(tree, object_path, key.schema));
    }
    return values;
}

json values_report(std::vector<effective_value> const& values)
{
    json report = json::object();
    for (auto const& value : values)
    {
        report[value.key] = {{"value", value.value}, {"from", value.from}};
    }
    return report;
}

} // namespace

std::vector<std::string> list_services(settings_tree const& tree)
{
    std::vector<std::string> paths;
    auto const* const services = tree.find(services_section);
    if (services != nullptr && services->is_object())
    {
        collect_services(*services, {}, paths);
    }
    return paths;
}

std::vector<std::string> list_teams(settings_tree const& tree)
{
    std::vector<std::string> names;
    auto const* const teams = tree.find(teams_section);
    if (teams == nullptr || !teams->is_object())
    {
        return names;
    }
    for (auto const& [name, value] : teams->items())
    {
        if (value.is_object())
        {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<effective_value> effective_service(settings_tree const& tree,
                                               std::string_view service)
{
    auto const object_path = service.empty()
                                 ? std::string{services_section}
                                 : join_path(services_section, service);
    return resolve_values(tree, object_path, service_keys());
}

std::vector<effective_value> effective_team(settings_tree const& tree,
                                            std::string_view team)
{
    return resolve_values(tree, join_path(teams_section, team), team_keys());
}

std::vector<effective_value> effective_urgency(settings_tree const& tree)
{
    return resolve_values(tree, std::string{urgency_section}, urgency_keys());
}

json services_report(settings_tree const& tree)
{
    json list = json::array();
    for (auto const& path : list_services(tree))
    {
        list.push_back(
            {{"path", path},
             {"settings", values_report(effective_service(tree, path))}});
    }
    return {{"services", std::move(list)}};
}

json teams_report(settings_tree const& tree)
{
    json list = json::array();
    for (auto const& name : list_teams(tree))
    {
        list.push_back(
            {{"name", name},
             {"settings", values_report(effective_team(tree, name))}});
    }
    return {{"teams", std::move(list)}};
}

} // namespace goldcrestgate::core
