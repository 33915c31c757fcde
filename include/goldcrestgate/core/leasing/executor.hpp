#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/leasing/leased_job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestgate::core
{

/// An executor; a number that this process gives to the executor's name.
using executor_id = strong_id<struct executor_tag, std::uint32_t>;

/// A fencing token: an executor obeys no token below the highest it has seen.
using fencing_token = strong_id<struct fencing_tag, std::uint64_t>;

/// A time on an executor's own clock, in milliseconds.
using executor_clock = strong_id<struct executor_clock_tag, std::uint64_t>;

/// @brief What an executor says of itself.
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
    /// Whether it takes no new work, as it is about to leave.
    bool draining = false;
    /// Tells the process lifetimes of one executor name apart.
    std::uint64_t incarnation = 0;

    friend bool operator==(executor_description const&,
                           executor_description const&) = default;
};

/// @brief One execution of a task on an executor.
struct task_run
{
    leased_task task;
    /// Numbers the starts of the task, from 1.
    std::uint32_t execution = 0;

    friend auto operator<=>(task_run const&, task_run const&) = default;
};

/// @brief A run that an executor lists as running.
struct listed_run
{
    task_run run;
    /// Part of the run's work that is done, 0 to 100; empty if not known.
    std::optional<std::uint32_t> progress_percent{};
};

/// How a run ended.
enum class run_end : std::uint8_t
{
    done,
    failed,
    /// By an order of this system.
    stopped,
    /// The executor's lease expired.
    lease_expired
};

/// @brief An end that an executor lists until it is acknowledged.
struct finished_run
{
    /// Numbers the ends of one process lifetime of the executor, from 1.
    std::uint64_t number = 0;
    task_run run;
    run_end end = run_end::done;
};

} // namespace goldcrestgate::core
