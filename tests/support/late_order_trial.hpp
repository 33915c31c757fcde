#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace goldcrestgate::tests
{

/// @brief Violations that a random trial of late orders has counted.
struct late_order_violations
{
    /// Starts of a task beside its run.
    std::size_t duplicate_runs = 0;
    /// Those in which a start was carried out after its answer timeout.
    std::size_t duplicate_runs_of_late_starts = 0;
    /// Starts of a task after its end as done was acknowledged under a lease.
    std::size_t starts_after_end = 0;
    /// Jobs that completed; shows that the trial does work.
    std::size_t completed_jobs = 0;
};

/// @brief Faults of a random trial of orders that are carried out late.
struct late_order_trial
{
    /// Whether starts are late too, beside stops and polls.
    bool late_starts = false;
    /// Whether successors replace the owner.
    bool changes_owner = false;
    /// Whether executors restart under their id.
    bool restarts = true;

    /// @brief Runs the trial in virtual time. Beside the faults above, orders
    /// get no answer and are carried out 2 to 12 s later, executors are cut off
    /// and the owner pauses.
    [[nodiscard]] late_order_violations run(std::uint64_t seed) const;

    /// @brief Runs the seeds from 1.
    /// @return the seeds with a start of a task beside its run, separated by
    /// spaces
    [[nodiscard]] std::string
    seeds_with_duplicate_runs(std::uint64_t last_seed) const;

    /// @brief Runs the seeds from 1.
    /// @return the seeds with a start of a task after its acknowledged end,
    /// separated by spaces
    [[nodiscard]] std::string
    seeds_with_starts_after_end(std::uint64_t last_seed) const;
};

} // namespace goldcrestgate::tests
