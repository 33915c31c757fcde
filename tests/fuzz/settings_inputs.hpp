#pragma once

#include "goldcrestgate/app/instance_settings.hpp"
#include "goldcrestgate/core/settings/publication_check.hpp"
#include "goldcrestgate/core/settings/settings_log.hpp"
#include "goldcrestgate/core/settings/settings_record.hpp"
#include "goldcrestgate/core/settings/settings_resolver.hpp"
#include "goldcrestgate/core/settings/tree_schema.hpp"

#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

// Properties that hold for any input of the settings parsers; shared by the
// fuzz programs and the unit test that replays their corpus.
namespace goldcrestgate::fuzz
{

inline void require(bool holds, char const* what)
{
    if (!holds)
    {
        throw std::logic_error(what);
    }
}

// Every fault names the file, and accepted settings are within their ranges.
inline void run_instance_settings(std::string_view text)
{
    auto const check = app::check_instance_settings(text, "fuzz");
    for (auto const& fault : check.faults)
    {
        require(to_string(fault).starts_with("fuzz:"), "fault without file");
    }
    auto const& settings = check.settings;
    require(!check.faults.empty() || settings.id.value() > 0,
            "accepted without id");
    require(settings.copy_peers >= 1 && settings.copy_peers <= 2,
            "value out of range");
}

// An accepted tree round-trips through its text form and through a publication.
inline void run_settings_tree(std::string_view text)
{
    auto const check = core::parse_settings_tree(text, "fuzz");
    if (!check.faults.empty())
    {
        return;
    }
    auto const written = check.tree.root().dump();
    require(core::parse_settings_tree(written, "fuzz").tree == check.tree,
            "tree differs after a round trip");
    require(core::find_ignored(check.tree).empty(),
            "accepted tree has ignored values");
    core::settings_resolver resolver;
    require(resolver.resolve(check.tree, {}) != nullptr,
            "accepted tree gives no view");
    core::settings_tree published;
    auto const changes = core::compare_trees(published, check.tree);
    bool const applied = apply_changes(changes, published);
    require(!applied || published == check.tree,
            "tree differs after publication");
}

// A valid record round-trips through its text form, and the log accepts any
// record.
inline void run_settings_record(std::string_view text)
{
    auto const record = core::parse_record(text);
    if (auto const* const state = std::get_if<core::settings_state>(&record))
    {
        auto const again = core::parse_record(write_snapshot(*state));
        auto const* const copy = std::get_if<core::settings_state>(&again);
        require(copy != nullptr && *copy == *state, "snapshot differs");
    }
    if (auto const* const change =
            std::get_if<core::settings_publication>(&record))
    {
        auto const again = core::parse_record(write_record(*change));
        auto const* const copy =
            std::get_if<core::settings_publication>(&again);
        require(copy != nullptr && copy->changes == change->changes,
                "publication differs");
    }
    core::settings_log log;
    log.apply(0, text);
    require(log.version() == core::settings_version{1}, "record not counted");
    core::settings_log reader;
    require(reader.adopt_snapshot(log.snapshot()) &&
                reader.state() == log.state(),
            "state differs after exchange");
}

} // namespace goldcrestgate::fuzz
