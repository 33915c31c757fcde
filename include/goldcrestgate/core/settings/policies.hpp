#pragma once

#include "goldcrestgate/core/time.hpp"

#include <chrono>
#include <cstdint>

namespace goldcrestgate::core
{

/// @brief The effective settings of one service, after inheritance.
struct service_policy
{
    /// Run time assumed for a task that declares none and has no history.
    duration default_run_time = std::chrono::milliseconds{250};
    /// An attempt without an answer after this time counts as lost.
    duration attempt_timeout = std::chrono::seconds{30};
    /// Deadline of a job that specifies none, relative to its arrival.
    duration default_deadline = std::chrono::seconds{60};
    /// A job that would wait behind other work is refused when that work and
    /// its own are expected to take longer than this.
    duration max_queue_wait = std::chrono::milliseconds{3500};
    /// Whether tasks are repeatable when the caller does not specify it.
    bool repeatable = false;
    /// Maximum number of starts of a repeatable task, including the first.
    std::uint32_t max_attempts = 3;
    /// Retries allowed per first start, as a ratio from 0 to 1.
    double retry_budget_ratio = 0.1;
    /// Hedged attempts allowed per first start, as a ratio from 0 to 1.
    double hedge_budget_ratio = 0.0;
    /// A hedged attempt starts when the first one has run for this multiple of
    /// its expected run time.
    double hedge_after_ratio = 2.0;
    /// Maximum share of the servers that may be ejected because of failures of
    /// this service.
    double ejection_max_ratio = 0.3;
};

/// @brief The effective settings of one team.
struct team_policy
{
    /// Share of the capacity under contention, relative to other teams.
    double weight = 1.0;
    /// Maximum number of the team's tasks that run concurrently in one failure
    /// domain; 0 means no limit.
    std::uint32_t max_running_tasks = 0;
    /// Whether the team's jobs may be urgent.
    bool may_be_urgent = true;
};

/// @brief The operators' rules for urgent jobs.
struct urgency_policy
{
    /// Weight of an urgent task relative to a normal one of the same team.
    double urgent_weight = 4.0;
    /// Share of the capacity that urgent tasks may take under contention.
    double urgent_max_ratio = 0.5;
};

} // namespace goldcrestgate::core
