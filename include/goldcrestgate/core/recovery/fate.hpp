#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/task.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace goldcrestgate::core
{

/// @brief The state of one task in a copy.
struct task_copy
{
    /// Whether the copy holds a start record of any attempt.
    bool started = false;
    task_fate fate = task_fate::pending;
    std::string body;
};

/// @brief The state of one job in a copy.
struct job_copy
{
    std::uint64_t body_hash = 0;
    std::vector<task_copy> tasks;
    job_state state = job_state::running;
    std::uint16_t error = 0;
    std::string message;
};

/// @brief The fate of one task as derived from a copy; never `pending`.
struct task_fate_entry
{
    task_fate fate = task_fate::unknown;
    /// The result; empty unless the fate is `done`.
    std::string body;
};

/// @brief The fate of a job whose owner is lost.
struct job_fate
{
    submission_id submission;
    std::uint64_t body_hash = 0;
    /// `done`, `failed`, `cancelled` or `unknown`; never `running`.
    job_state state = job_state::unknown;
    /// The number of the error that the owner recorded; 0 without one.
    std::uint16_t error = 0;
    std::string message;
    std::vector<task_fate_entry> tasks;
};

/// @brief Derives the fate of a job from a sealed copy.
///
/// A task with a start record and no result is `unknown`. A task with no start
/// record is `not_run` if the seal is complete or the copy holds the job's
/// final record, and otherwise `unknown`. The job is `done` if all results are
/// held, even without its final record.
/// @param complete whether every member of the newest copy set has sealed
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] job_fate fate_of(submission_id const& submission,
                               job_copy const& copy, bool complete);

/// @brief Returns whether @a left is more informative than @a right, for a
/// choice among the answers of several copies about the same job.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] bool is_more_informative(job_fate const& left,
                                       job_fate const& right);

} // namespace goldcrestgate::core
