#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/task.hpp"
#include "support/driver/schedule.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace goldcrestgate::test
{

/// @brief Simulated backend server with slots, refusals, failures and the
/// attempts that it runs.
struct fake_server
{
    using attempt_key = std::pair<core::task_key, std::uint32_t>;

    core::server_id id;
    core::domain_id domain;
    std::uint32_t slots = 3;
    /// When the instance list first marked the server as leaving.
    std::optional<sim_time> listed_leaving_at;
    /// When a leaving server begins to refuse starts; the maximum for never.
    std::optional<sim_time> refuses_starts_at;
    sim_time down_until{};
    sim_time failing_until{};
    /// Running attempts with their run numbers.
    std::map<attempt_key, std::uint64_t> running;

    [[nodiscard]] bool is_down(sim_time now) const
    {
        return now < down_until;
    }

    /// @brief Returns the outcome of a refused start, or nothing if the task
    /// runs.
    [[nodiscard]] std::optional<core::task_outcome> refuse(bool is_poisoned,
                                                           sim_time now) const
    {
        if (refuses_starts_at && *refuses_starts_at <= now)
        {
            return core::task_outcome::refused_leaving;
        }
        if (running.size() >= slots)
        {
            return core::task_outcome::refused_busy;
        }
        return is_poisoned ? std::optional{core::task_outcome::cannot_run}
                           : std::nullopt;
    }
};

} // namespace goldcrestgate::test
