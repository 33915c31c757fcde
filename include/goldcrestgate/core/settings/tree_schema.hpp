#pragma once

#include "goldcrestgate/core/settings/policies.hpp"
#include "goldcrestgate/core/settings/schema.hpp"
#include "goldcrestgate/core/settings/settings_tree.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief One key of the published tree and the policy member that it sets;
/// times are milliseconds in the tree.
/// @tparam Policy the policy that the key belongs to
template <typename Policy>
struct policy_key
{
    key_schema schema;
    std::variant<duration Policy::*, bool Policy::*, std::uint32_t Policy::*,
                 double Policy::*>
        member;
};

/// @brief Returns the keys of a service; a service inherits each of them.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::span<policy_key<service_policy> const> service_keys();

/// @brief Returns the keys of a team.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::span<policy_key<team_policy> const> team_keys();

/// @brief Returns the keys of the rules for urgent jobs.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::span<policy_key<urgency_policy> const> urgency_keys();

/// @brief Returns the keys of a failure domain.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::span<key_schema const> domain_keys();

/// @brief Finds a key of a policy by its name.
/// @return the key, or null
/// @par Thread safety
/// Safe to call from any thread.
template <typename Policy>
[[nodiscard]] policy_key<Policy> const*
find_policy_key(std::span<policy_key<Policy> const> keys, std::string_view name)
{
    for (auto const& key : keys)
    {
        if (key.schema.key == name)
        {
            return &key;
        }
    }
    return nullptr;
}

/// @brief Returns whether a member of a service is a child service rather than
/// a setting.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] bool is_child_service(std::string_view name,
                                    nlohmann::json const& value);

/// @brief Checks a tree against the schema.
/// @param document the tree, with line numbers if it was parsed from a text
/// @param file the file name that faults report
/// @return all faults; empty for an accepted tree
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<settings_fault>
check_tree(settings_document const& document, std::string_view file);

/// @brief A published tree read from a text, or all of its faults.
struct settings_tree_check
{
    settings_tree tree;
    /// Empty for an accepted text; the tree is empty otherwise.
    std::vector<settings_fault> faults;
};

/// @brief Reads a published tree from JSON with comments.
/// @param file the file name that faults report
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] settings_tree_check parse_settings_tree(std::string_view text,
                                                      std::string_view file);

/// @brief Prints the schema of the published tree as Markdown.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string describe_tree_schema();

} // namespace goldcrestgate::core
