#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/settings/settings_view.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestgate::bench
{

/// A fault that begins at a fixed share of the run.
enum class fault_kind : std::uint8_t
{
    none,
    /// One executor in ten quickly fails every task.
    executors_failing,
    /// One executor in ten becomes four times slower.
    executors_slow,
    /// Half of the open jobs are cancelled at the same time.
    mass_cancellation,
    /// One entry instance is lost.
    instance_lost,
    /// Every executor replies to the tasks of some jobs that it cannot run
    /// them.
    impossible_jobs
};

/// @brief The parameters of one run; equal parameters give equal runs.
struct scenario
{
    std::string name;
    std::uint64_t seed = 1;
    /// Offered work as a share of the executors' capacity.
    double load = 0.8;
    /// Factor on the arrival rate in the first of every ten seconds; the mean
    /// load does not change.
    double burst = 1.0;
    fault_kind fault = fault_kind::none;
    std::uint32_t servers = 50;
    std::uint32_t slots = 8;
    std::uint32_t instances = 7;
    std::uint32_t teams = 43;
    std::uint32_t services = 12;
    core::duration length = std::chrono::seconds{40};
    /// Jobs submitted before this time are not measured.
    core::duration warm_up = std::chrono::seconds{8};
};

/// @brief A task of a workload.
struct task_spec
{
    /// Nominal work time, on an executor of mean speed.
    core::duration nominal{};
    /// Work time that the caller declares.
    core::duration declared{};
};

/// @brief A job of a workload; its tasks are consecutive in @ref
/// workload::tasks.
struct job_spec
{
    core::time_point submitted;
    std::uint32_t instance = 0;
    core::team_id team;
    core::service_id service;
    bool urgent = false;
    bool repeatable = false;
    bool impossible = false;
    core::duration deadline = std::chrono::seconds{30};
    std::uint32_t first_task = 0;
    std::uint32_t task_count = 0;
};

/// @brief Jobs in order of submission, and the executors that run them.
struct workload
{
    scenario parameters;
    std::vector<job_spec> jobs;
    std::vector<task_spec> tasks;
    /// Relative speed of each executor, from 1 to 4.
    std::vector<double> speeds;
    core::settings_ptr settings;

    /// @brief Returns the true work time of a task on an executor.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] core::duration work_time(std::uint32_t job,
                                           std::uint32_t task,
                                           std::uint32_t server) const;

    /// @brief Returns the nominal work time that all executors complete in one
    /// second.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] double capacity() const;
};

/// @brief Generates the workload of a scenario.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] workload make_workload(scenario const& parameters);

} // namespace goldcrestgate::bench
