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

/// Maximum number of crashes that are remembered for one task.
inline constexpr std::size_t max_observed_crashes = 16;

/// What is known of a crash under a run. Of two opinions the later one in this
/// order holds.
enum class crash_state : std::uint8_t
{
    /// The executor is silent, or the run may not have been there.
    suspected,
    /// The process that had the run has lived on.
    refuted,
    /// The process that had the run ended, and few others did.
    confirmed,
    /// Many executors crashed in the same moment, whatever they ran. An owner
    /// that has seen this knows more than one that has not.
    shared
};

/// @brief A crash of an executor under one run of a task.
struct crash_observation
{
    /// Identifies the run and the process that had it; equal at all owners.
    std::uint64_t id = 0;
    crash_state state = crash_state::suspected;
    /// Whether the task had the only run on the executor.
    bool alone = false;

    friend bool operator==(crash_observation const&,
                           crash_observation const&) = default;
};

/// @brief Crashes under one task, sent to possible successors of an owner.
struct task_crashes
{
    leased_task task;
    std::vector<crash_observation> observations;

    friend bool operator==(task_crashes const&, task_crashes const&) = default;
};

/// @brief Number of executors that crashed while they had a run of a task.
struct crash_count
{
    std::uint32_t crashes = 0;
    /// Those on which the task had the only run.
    std::uint32_t alone = 0;

    friend bool operator==(crash_count const&, crash_count const&) = default;
};

/// @brief Counts the executors that crash under each task.
///
/// A crash is suspected at first, and later confirmed, refuted or found to be
/// shared with many executors. Each crash under a run has an id, so that it
/// counts once although several owners report it. Only confirmed crashes
/// identify a task that crashes its executors; the others delay its starts.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class crash_ledger
{
public:
    /// @brief Records a crash, or a new state of a known one.
    /// @return whether the state has changed
    bool record(leased_task const& task, crash_observation const& observation,
                time_point now);

    /// @brief Merges the crashes that another owner has recorded. The result
    /// does not depend on the order and the number of the reports.
    void adopt(std::span<task_crashes const> reported, time_point now);

    /// @brief Returns whether a crash is recorded.
    [[nodiscard]] bool contains(leased_task const& task,
                                std::uint64_t id) const;

    /// @brief Drops the crashes of a task that is done; reports that are under
    /// way do not bring them back.
    void forget(leased_task const& task, time_point now);

    /// @brief Drops the crashes of tasks that have not changed for a long time,
    /// except those of open jobs.
    void expire(time_point now,
                std::function<bool(client_job_id)> const& is_open);

    /// @brief Returns whether an executor may have crashed under the task; the
    /// task then has no run beside it.
    [[nodiscard]] bool is_suspect(leased_task const& task) const;

    /// @brief Returns whether the task must not start now. The time without
    /// starts doubles with each further crash.
    [[nodiscard]] bool is_withheld(leased_task const& task,
                                   time_point now) const;

    /// @brief Returns the tasks of the job for which @ref is_withheld holds.
    [[nodiscard]] std::vector<leased_task> withheld_tasks(client_job_id job,
                                                          time_point now) const;

    /// @brief Returns whether the task certainly crashes its executors.
    [[nodiscard]] bool is_crash_looping(leased_task const& task) const;

    /// @brief Returns the confirmed crashes of a task.
    [[nodiscard]] crash_count confirmed(leased_task const& task) const;

    /// @brief Returns the suspected and confirmed crashes of a task.
    [[nodiscard]] crash_count suspected(leased_task const& task) const;

    /// @brief Returns the time of the last change of a task's crashes, if any.
    [[nodiscard]] std::optional<time_point>
    changed_at(leased_task const& task) const;

    /// @brief Returns the tasks of the job that certainly crash their
    /// executors.
    [[nodiscard]] std::vector<leased_task>
    crash_looping_tasks(client_job_id job) const;

    /// @brief Returns the crashes of tasks that have changed lately, and of
    /// open jobs, at most @ref max_reported_crashes tasks; those under
    /// suspicion first.
    [[nodiscard]] std::vector<task_crashes>
    report(time_point now,
           std::function<bool(client_job_id)> const& is_open) const;

private:
    struct entry
    {
        std::vector<crash_observation> observations;
        time_point changed_at{};
    };

    static bool merge(entry& known, crash_observation const& observation,
                      time_point now);
    [[nodiscard]] static bool is_withheld(entry const& known, time_point now);
    [[nodiscard]] std::span<crash_observation const>
    observations_of(leased_task const& task) const;
    /// Returns the tasks of the job whose entries meet a condition.
    [[nodiscard]] std::vector<leased_task>
    tasks_with(client_job_id job,
               std::function<bool(entry const&)> const& condition) const;

    std::map<leased_task, entry> entries_;
    /// Tasks whose crashes were dropped, and when.
    std::map<leased_task, time_point> forgotten_;
};

} // namespace goldcrestgate::core
