#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/settings/policies.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// @brief An immutable view of the settings in force, resolved for use.
///
/// Service and team ids stay stable from one view to the next: a name keeps
/// its id for the lifetime of the process.
struct settings_view
{
    settings_version version;
    std::map<std::string, service_id, std::less<>> service_ids;
    std::map<std::string, team_id, std::less<>> team_ids;
    /// Indexed by service id.
    std::vector<service_policy> services;
    /// Indexed by team id.
    std::vector<team_policy> teams;
    urgency_policy urgent;

    /// @brief Finds a service by its path, for example `roll-desk.tolerance`.
    /// @return the id, or nothing for an unknown service
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] std::optional<service_id>
    find_service(std::string_view path) const
    {
        auto const found = service_ids.find(path);
        return found == service_ids.end() ? std::nullopt
                                          : std::optional{found->second};
    }

    /// @brief Finds a team by its name.
    /// @return the id, or nothing for an unknown team
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] std::optional<team_id> find_team(std::string_view name) const
    {
        auto const found = team_ids.find(name);
        return found == team_ids.end() ? std::nullopt
                                       : std::optional{found->second};
    }

    /// @brief Returns the effective settings of a service.
    /// @pre @a service came from @ref find_service of this or an earlier view
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] service_policy const& policy(service_id service) const
    {
        return services.at(service.value());
    }

    /// @brief Returns the effective settings of a team.
    /// @pre @a team came from @ref find_team of this or an earlier view
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] team_policy const& policy(team_id team) const
    {
        return teams.at(team.value());
    }
};

/// Settings are replaced as a whole, never changed in place.
using settings_ptr = std::shared_ptr<settings_view const>;

} // namespace goldcrestgate::core
