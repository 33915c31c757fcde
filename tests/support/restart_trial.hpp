#pragma once

#include <cstdint>
#include <string>

namespace goldcrestgate::tests
{

/// @brief Faults of a random trial of restarting executors.
struct restart_trial
{
    /// Whether a successor replaces the owner every 20 steps.
    bool changes_owner = false;
    /// Whether the orders that follow the news of a restart arrive.
    bool sound_restarts = false;

    /// @brief Runs the trial in virtual time: executors restart, are
    /// unreachable, lose orders and carry out starts late, and the owner learns
    /// of a restart at once.
    /// @return the number of starts of a task beside its run
    [[nodiscard]] std::size_t run(std::uint64_t seed) const;

    /// @brief Runs the seeds from 1.
    /// @return the seeds with a start of a task beside its run, separated by
    /// spaces
    [[nodiscard]] std::string failed_seeds(std::uint64_t last_seed) const;
};

} // namespace goldcrestgate::tests
