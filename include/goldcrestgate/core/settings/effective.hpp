#pragma once

#include "goldcrestgate/core/settings/settings_tree.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// @brief A value in force and its origin.
struct effective_value
{
    std::string key;
    nlohmann::json value;
    /// The path of the object that sets the value, or `default`.
    std::string from;
};

/// @brief Returns the paths of all services, for example `roll-desk.release`,
/// in order.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<std::string> list_services(settings_tree const& tree);

/// @brief Returns the names of all teams, in order.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<std::string> list_teams(settings_tree const& tree);

/// @brief Returns each setting of a service after inheritance.
///
/// A value that the schema does not accept is ignored, as if it were not set.
/// @param service a path that @ref list_services returned; the empty path
/// selects the values that all services inherit
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<effective_value>
effective_service(settings_tree const& tree, std::string_view service);

/// @brief Returns each setting of a team.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<effective_value>
effective_team(settings_tree const& tree, std::string_view team);

/// @brief Returns each setting of the rules for urgent jobs.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<effective_value>
effective_urgency(settings_tree const& tree);

/// @brief Writes the body of `GET /v1/admin/services`, without counters.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] nlohmann::json services_report(settings_tree const& tree);

/// @brief Writes the body of `GET /v1/admin/teams`, without counters.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] nlohmann::json teams_report(settings_tree const& tree);

} // namespace goldcrestgate::core
