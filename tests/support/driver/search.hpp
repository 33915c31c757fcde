#pragma once

#include "support/driver/guarantee_checks.hpp"
#include "support/driver/schedule.hpp"
#include "support/driver/simulation.hpp"

#include <string_view>
#include <vector>

namespace goldcrestgate::test
{

/// @brief Violations and counts of a run.
struct run_outcome
{
    std::vector<violation> violations;
    run_counts counts;
};

/// @brief Runs a schedule.
/// @param defect a name of @ref defect_names to inject, or empty
/// @throw std::invalid_argument for an unknown defect
[[nodiscard]] run_outcome run_schedule(schedule const& plan,
                                       std::string_view defect = {});

/// @brief Returns the names of the defects that a run can inject.
[[nodiscard]] std::vector<std::string_view> defect_names();

/// @brief Removes the steps that a schedule does not need to violate the same
/// guarantee.
[[nodiscard]] schedule shrink(schedule plan, std::string_view defect);

/// @brief Adds the counts of a run to a total.
void add(run_counts& total, run_counts const& counts);

} // namespace goldcrestgate::test
