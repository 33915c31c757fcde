#include "goldcrestgate/core/settings/settings_record.hpp"

#include "goldcrestgate/core/settings/document.hpp"
#include "goldcrestgate/core/settings/publication_check.hpp"
#include "goldcrestgate/core/settings/schema.hpp"

#include <utility>

namespace goldcrestgate::core
{

namespace
{

using nlohmann::json;

constexpr integer_rule version_rule{0, INT64_MAX, {}};

settings_version read_version(json const& value)
{
    return settings_version{value.get<std::uint64_t>()};
}

bool is_version(json const& value)
{
    return !check_value(version_rule, value);
}

json write_outcomes(settings_state const& state)
{
    json outcomes = json::object();
    for (auto const& [id, outcome] : state.publications)
    {
        outcomes[id] = {{"version", outcome.version.value()},
                        {"applied", outcome.applied}};
    }
    return outcomes;
}

bool read_outcomes(json const& value, settings_state& state)
{
    for (auto const& [id, outcome] : value.items())
    {
        if (!outcome.is_object() || !outcome.contains("version") ||
            !outcome.contains("applied") || !is_version(outcome["version"]) ||
            !outcome["applied"].is_boolean())
        {
            return false;
        }
        state.publications.emplace(
            id, publication_outcome{read_version(outcome["version"]),
                                    outcome["applied"].get<bool>()});
    }
    return true;
}

bool read_changed(json const& value, settings_state& state)
{
    for (auto const& [path, version] : value.items())
    {
        if (!is_settings_path(path) || !is_version(version))
        {
            return false;
        }
        state.changed.emplace(path, read_version(version));
    }
    return true;
}

bool has_snapshot_form(json const& value)
{
    return value.contains("covers") && is_version(value["covers"]) &&
           value.contains("horizon") && is_version(value["horizon"]) &&
           value["snapshot"].is_object() && value.contains("changed") &&
           value["changed"].is_object() && value.contains("publications") &&
           value["publications"].is_object();
}

settings_record read_snapshot(json const& value)
{
    settings_state state;
    if (!has_snapshot_form(value) ||
        !is_tree_value(value["snapshot"], settings_path_part_limit) ||
        !read_changed(value["changed"], state) ||
        !read_outcomes(value["publications"], state))
    {
        return malformed_record{"not a complete snapshot"};
    }
    state.tree = settings_tree(value["snapshot"]);
    state.version = read_version(value["covers"]);
    state.horizon = read_version(value["horizon"]);
    return state;
}

} // namespace

// Null and arrays are not allowed: a missing key and an object express the
// same. No path within the value may have more than `parts` parts.
bool is_tree_value(json const& value, std::size_t parts)
{
    if (!value.is_object())
    {
        return !value.is_null() && !value.is_array();
    }
    for (auto const& [name, member] : value.items())
    {
        if (parts == 0 || !is_settings_path(name) ||
            name.find('.') != std::string::npos ||
            !is_tree_value(member, parts - 1))
        {
            return false;
        }
    }
    return true;
}

settings_record parse_record(std::string_view text)
{
    auto const document = parse_document(text, "settings log");
    if (!document.faults.empty() || !document.value.is_object())
    {
        return malformed_record{document.faults.empty()
                                    ? "not an object"
                                    : to_string(document.faults.front())};
    }
    if (document.value.contains("snapshot"))
    {
        return read_snapshot(document.value);
    }
    auto check = read_publication(document);
    if (!check.faults.empty())
    {
        return malformed_record{to_string(check.faults.front())};
    }
    return std::move(check.publication);
}

std::string write_record(settings_publication const& publication)
{
    json record = {{"publication", publication.publication},
                   {"base", publication.base.value()},
                   {"author", publication.author},
                   {"set", json::object()},
                   {"unset", publication.changes.unset}};
    for (auto const& [path, value] : publication.changes.set)
    {
        record["set"][path] = value;
    }
    return record.dump();
}

std::string write_snapshot(settings_state const& state)
{
    json changed = json::object();
    for (auto const& [path, version] : state.changed)
    {
        changed[path] = version.value();
    }
    return json{{"snapshot", state.tree.root()},
                {"covers", state.version.value()},
                {"horizon", state.horizon.value()},
                {"changed", std::move(changed)},
                {"publications", write_outcomes(state)}}
        .dump();
}

} // namespace goldcrestgate::core
