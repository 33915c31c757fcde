#pragma once

#include "goldcrestgate/core/leasing/job_messages.hpp"
#include "goldcrestgate/core/leasing/placement.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace goldcrestgate::core::detail
{

/// State of a task.
enum class task_phase : std::uint8_t
{
    /// Waits for earlier groups.
    blocked,
    waiting,
    active,
    done
};

struct task_record
{
    task_phase phase = task_phase::blocked;
    std::uint16_t failures = 0;
    std::uint32_t last_execution = 0;
    std::optional<executor_id> failed_on;
    /// Executor on which the task last failed or was too slow.
    std::optional<executor_id> avoided;
    /// Run time on an executor whose run times equal the estimates, known from
    /// the progress of a run that was stopped; 0 if it is not known.
    duration known_work{};
    /// Whether a run was stopped for urgent work; it happens at most once.
    bool preempted = false;
};

/// @brief Run time of a task of a group, or its projection for a run that was
/// stopped.
struct run_time_sample
{
    executor_id executor;
    duration run_time{};
    /// Slowdown that was expected on the executor.
    double expected_slowdown = 1.0;
    /// Run-time factor of the executor's rack.
    double rack_factor = 1.0;
};

struct group_record
{
    std::uint16_t done = 0;
    std::uint16_t waiting = 0;
    /// Whether a run or an end of a later group has shown that the group is
    /// done. Its active tasks are those that an earlier owner repeated.
    bool shown_done = false;
    /// Whether all groups before it are shown to be done.
    bool preceding_shown_done = false;
    /// Number of entries in its `after` whose tasks are not all done.
    std::size_t awaited = 0;
    /// The group of each entry in an `after` that names this group.
    std::vector<std::uint16_t> following;
    std::vector<task_record> tasks;
    /// Learned from when the job ends.
    std::vector<run_time_sample> run_times;
};

/// @brief Cancellation of a job whose caller no longer waits or whose instance
/// is lost.
struct job_cancellation
{
    /// Time at which the job's runs are stopped.
    time_point at{};
    /// Whether the only cause is that the job's instance seems lost.
    bool origin_lost = false;
};

struct job_record
{
    leased_job job;
    /// Counted in the owner's @ref job_memory.
    std::size_t memory_bytes = 0;
    instance_id origin;
    /// Time at which the caller waited when its instance last offered the job,
    /// or was last known to wait if messages no longer confirm it.
    time_point caller_seen_at{};
    /// Connection of the last offer. Messages on it confirm that the caller
    /// waits, as a withdrawal would have come before them; empty if nothing
    /// confirms it.
    std::optional<std::uint64_t> caller_connection;
    /// Number of the last offer.
    std::uint64_t sequence = 0;
    time_point due{};
    time_point deadline{};
    duration critical_path_time{};
    /// Factors of the critical path's run time, as known when the job was
    /// offered: each placement round orders all waiting jobs by them.
    run_time_factors path_factors;
    std::vector<group_record> groups;
    /// Number of groups with a task that is not done.
    std::size_t unfinished_groups = 0;
    /// Whether a task that is not done may have an end that is recorded.
    bool has_unapplied_ends = false;
    /// Whether a task may have started under an earlier owner or an earlier
    /// submission of the job.
    bool inherited = false;
    /// Start orders of this owner that no executor has definitely refused.
    std::uint32_t unrefused_starts = 0;
    /// Whether runs of an earlier owner may exist on executors that are not
    /// claimed yet.
    bool awaits_claims = false;
    /// Time at which the runs on executors that are not claimed have ended,
    /// also if an earlier owner is alive.
    time_point unknown_runs_end{};
    /// Set when the caller has disconnected or its instance is lost.
    std::optional<job_cancellation> cancellation;
    /// Executors on which reservations for the job have been logged.
    std::vector<executor_id> reserved_on;

    /// Whether a task may have started.
    [[nodiscard]] bool started() const
    {
        return inherited || unrefused_starts > 0;
    }
};

/// @brief Returns whether the job has a task at this position. A run of an
/// ended job may be known while a job of another shape is submitted under the
/// same id.
[[nodiscard]] inline bool has_task(job_record const& job,
                                   leased_task const& task)
{
    return task.group < job.groups.size() &&
           task.index < job.groups[task.group].tasks.size();
}

/// @brief News of the callers of an instance.
struct origin_news
{
    /// Connection of the last message.
    std::uint64_t connection = 0;
    /// Time at which the callers of its open jobs were last known to wait.
    time_point callers_seen_at{};
    /// Time as of which the last message told it.
    time_point message_as_of{};
};

/// @brief A withdrawal, after which offers with lower numbers are not valid.
struct withdrawal_record
{
    std::uint64_t sequence = 0;
    time_point expires_at{};
};

/// @brief Verdict of an ended job, repeated when the job is offered again.
struct retained_verdict
{
    job_verdict verdict;
    time_point expires_at{};
    /// Attempts that the job's route allowed.
    std::uint16_t max_attempts = 1;
};

} // namespace goldcrestgate::core::detail
