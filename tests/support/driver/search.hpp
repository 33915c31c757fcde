#pragma once

#include "support/driver/guarantee_checks.hpp"
#include "support/driver/schedule.hpp"
#include "support/driver/simulation.hpp"

#include <string_view>
#include <vector>

namespace goldcrestgate::test
{

/// @brief What a run of a schedule found.
struct run_outcome
{
    std::vector<violation> violations;
    run_counts counts;
};

/// @brief Runs a schedule.
/// @param broken_rule a name of @ref rule_names, or empty
/// @throw std::invalid_argument for an unknown rule
[[nodiscard]] run_outcome run_schedule(schedule const& plan,
                                       std::string_view broken_rule = {});

/// @brief Returns the names of the rules that a run can switch off.
[[nodiscard]] std::vector<std::string_view> rule_names();

/// @brief Removes steps that a schedule does not need to break the same
/// promise.
[[nodiscard]] schedule shorten(schedule plan, std::string_view broken_rule);

/// @brief Adds the counts of a run.
void add(run_counts& total, run_counts const& counts);

} // namespace goldcrestgate::test
