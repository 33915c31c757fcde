#pragma once

#include "goldcrestgate/core/leasing/leased_job.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace goldcrestgate::core
{

/// Maximum number of tasks in one report of crashes.
inline constexpr std::size_t max_reported_crashes = 256;

/// @brief Number of executors that crashed while they had a run of a task.
struct crash_count
{
    std::uint32_t crashes = 0;
    /// Those on which the task had the only run.
    std::uint32_t alone = 0;

    friend bool operator==(crash_count const&, crash_count const&) = default;
};

/// @brief Crashes under one task, sent to possible successors of an owner.
struct task_crashes
{
    leased_task task;
    /// Crashes that are not refuted, including the confirmed ones.
    crash_count suspected;
    /// Crashes of executors that are known to have lost their runs.
    crash_count confirmed;

    friend bool operator==(task_crashes const&, task_crashes const&) = default;
};

/// @brief Counts the executors that crash under each task.
///
/// A crash shows in the executor's silence first and is confirmed or refuted
/// when the executor answers again. All runs of a crashed executor are suspects
/// until a task was the only one on a crashed executor.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class crash_ledger
{
public:
    /// @brief Counts a crash that is not confirmed yet.
    /// @param alone whether the task had the only run on the executor
    void suspect(leased_task const& task, bool alone, time_point now);

    /// @brief Confirms a crash.
    /// @pre the crash was counted by @ref suspect
    void confirm(leased_task const& task, bool alone, time_point now);

    /// @brief Takes back a crash, as the executor was only silent.
    /// @pre the crash was counted by @ref suspect and not confirmed
    void refute(leased_task const& task, bool alone);

    /// @brief Merges the counts of another owner.
    void adopt(std::span<task_crashes const> counts, time_point now);

    /// @brief Drops the counts of a task that is done.
    void forget(leased_task const& task);

    /// @brief Drops the counts that have not changed for a long time, except
    /// those of open jobs.
    void expire(time_point now,
                std::function<bool(client_job_id)> const& is_open);

    /// @brief Returns whether an executor may have crashed under the task.
    [[nodiscard]] bool is_suspect(leased_task const& task) const;

    /// @brief Returns whether the task must not start, as it crashes its
    /// executors if the suspected crashes are confirmed.
    [[nodiscard]] bool is_withheld(leased_task const& task) const;

    /// @brief Returns whether @ref is_withheld holds for a task of the job.
    [[nodiscard]] bool withholds_task_of(client_job_id job) const;

    /// @brief Returns whether the task certainly crashes its executors.
    [[nodiscard]] bool is_crash_looping(leased_task const& task) const;

    /// @brief Returns the counts of a task; 0 for an unknown one.
    [[nodiscard]] task_crashes counts(leased_task const& task) const;

    /// @brief Returns the time of the last counted crash of a task, if any.
    [[nodiscard]] std::optional<time_point>
    changed_at(leased_task const& task) const;

    /// @brief Returns the tasks of the job that certainly crash their
    /// executors.
    [[nodiscard]] std::vector<leased_task>
    crash_looping_tasks(client_job_id job) const;

    /// @brief Returns the counts that have changed lately, and those of open
    /// jobs, at most @ref max_reported_crashes.
    [[nodiscard]] std::vector<task_crashes>
    report(time_point now,
           std::function<bool(client_job_id)> const& is_open) const;

private:
    struct entry
    {
        crash_count suspected;
        crash_count confirmed;
        time_point changed_at{};
    };

    std::map<leased_task, entry> entries_;
};

} // namespace goldcrestgate::core
