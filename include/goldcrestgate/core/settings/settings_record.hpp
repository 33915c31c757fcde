#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/settings/settings_tree.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief A change of the published settings by one author.
struct settings_publication
{
    /// Id chosen by the publisher; a publication with a repeated id is ignored.
    std::string publication;
    /// The version on which the author based the changes.
    settings_version base;
    std::string author;
    settings_changes changes;
};

/// @brief The outcome of a publication.
struct publication_outcome
{
    /// The version after the record.
    settings_version version;
    bool applied = false;

    friend auto operator<=>(publication_outcome const&,
                            publication_outcome const&) = default;
};

/// @brief The state that determines the outcome of later records: the tree and
/// the history of recent changes.
struct settings_state
{
    settings_tree tree;
    /// The offset after the last record that was applied.
    settings_version version;
    /// Publications with an older base are refused, because the changes up to
    /// this version are no longer remembered.
    settings_version horizon;
    /// The version after the last change of each path, above the horizon.
    std::map<std::string, settings_version, std::less<>> changed;
    /// The outcome of each publication after the horizon.
    std::map<std::string, publication_outcome, std::less<>> publications;

    friend bool operator==(settings_state const&,
                           settings_state const&) = default;
};

/// @brief A record of the log stream that no instance can use.
struct malformed_record
{
    std::string reason;
};

/// A record of the log stream `settings`; a snapshot holds a complete state.
///
/// Instances of different program versions must agree on which records are
/// malformed, or their trees diverge. A record in a new form may therefore be
/// published only after all instances support it.
using settings_record =
    std::variant<settings_publication, settings_state, malformed_record>;

/// @brief Returns whether a value is allowed in the tree: an object, a number,
/// a string, true or false.
/// @param parts the number of parts by which paths in the value may extend the
/// path of the value
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] bool is_tree_value(nlohmann::json const& value,
                                 std::size_t parts);

/// @brief Parses a record of the log stream.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] settings_record parse_record(std::string_view text);

/// @brief Writes a publication as a log record.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string write_record(settings_publication const& publication);

/// @brief Writes a state as a snapshot record; it covers all records before
/// the state's version.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string write_snapshot(settings_state const& state);

} // namespace goldcrestgate::core
