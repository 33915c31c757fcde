#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/leasing/leased_job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestgate::core
{

/// Identifies an executor; a number that this process assigns to the executor's
/// name.
using executor_id = strong_id<struct executor_tag, std::uint32_t>;

/// Fencing token; an executor rejects orders with a token below the highest
/// that it has seen.
using fencing_token = strong_id<struct fencing_tag, std::uint64_t>;

/// Time on an executor's own clock, in milliseconds.
using executor_clock = strong_id<struct executor_clock_tag, std::uint64_t>;

/// @brief Description that an executor publishes of itself.
struct executor_description
{
    std::string name;
    /// `IP:port` for orders.
    std::string address;
    std::string service;
    domain_id domain;
    resource_amounts capacity;
    /// The executor's kind and rack.
    std::vector<std::string> labels;
    /// Whether it accepts no new tasks because it is about to leave.
    bool draining = false;
    /// Distinguishes the process lifetimes of executors with one name.
    std::uint64_t incarnation = 0;

    friend bool operator==(executor_description const&,
                           executor_description const&) = default;
};

/// @brief One execution of a task on an executor.
struct task_run
{
    leased_task task;
    /// Number of this start of the task, from 1.
    std::uint32_t execution = 0;

    friend auto operator<=>(task_run const&, task_run const&) = default;
};

/// @brief A run that an executor lists as running.
struct listed_run
{
    task_run run;
    /// Part of the run's work that is done, 0 to 100; empty if unknown.
    std::optional<std::uint32_t> progress_percent{};
};

/// How a run ended.
enum class run_end : std::uint8_t
{
    done,
    failed,
    /// Stopped by a stop order.
    stopped,
    /// The executor's lease expired.
    lease_expired
};

/// @brief A finished run, listed by its executor until it is acknowledged.
struct finished_run
{
    /// Sequence number of the finished run within one process lifetime of the
    /// executor, from 1.
    std::uint64_t number = 0;
    task_run run;
    run_end end = run_end::done;
};

} // namespace goldcrestgate::core
