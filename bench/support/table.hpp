#pragma once

#include "support/policies.hpp"
#include "support/results.hpp"
#include "support/workload.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::bench
{

/// @brief The name and the statistics of one policy.
struct statistics_row
{
    std::string policy;
    policy_statistics values;
};

/// @brief Returns the scenarios of docs/design.md, section 14.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<scenario> all_scenarios();

/// @brief Returns the scenario with the given name.
/// @pre @a name is the name of one of @ref all_scenarios
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] scenario find_scenario(std::string_view name);

/// @brief Returns the names that @ref make_policies accepts.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<std::string> policy_names();

/// @brief Returns one policy for each entry instance.
/// @pre @a name is one of @ref policy_names
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<entry_policy> make_policies(workload const& work,
                                                      std::string_view name);

/// @brief Formats rows as a text table; the first row is the reference.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string format_table(scenario const& parameters,
                                       std::vector<statistics_row> const& rows);

/// @brief Formats rows as one line of JSON.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string format_json(scenario const& parameters,
                                      std::vector<statistics_row> const& rows);

} // namespace goldcrestgate::bench
