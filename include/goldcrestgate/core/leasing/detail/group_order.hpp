#pragma once

#include "goldcrestgate/core/leasing/detail/job_record.hpp"

#include <cstdint>

namespace goldcrestgate::core::detail
{

// The order of a job's groups and the phases of its tasks. Over the life of a
// job, all calls together take time proportional to its tasks and to the
// entries of `after`, except those that follow @ref forget_shown_ends.

/// @brief Adds the records of the job's groups. The tasks that need no other
/// group are waiting, the others are blocked.
/// @pre the job has no such records yet; each group depends only on groups
/// before it
/// @par Thread safety
/// Not safe; the owner of the job serializes calls.
void add_groups(job_record& job);

/// @brief Makes a blocked or an active task wait for an executor.
/// @par Thread safety
/// Not safe; the owner of the job serializes calls.
void make_waiting(group_record& group, task_record& task);

/// @brief Marks a task as done. The groups for which no other group is left to
/// wait for are unblocked.
/// @pre the job has the task, and it is not done
/// @par Thread safety
/// Not safe; the owner of the job serializes calls.
void complete_task(job_record& job, std::uint16_t group, std::uint16_t index);

/// @brief Marks the tasks of all groups before a group as done, except those
/// that are active.
///
/// A task starts only after all groups before its own are done, so a run of an
/// earlier owner shows that they are.
/// @pre the job has the group
/// @par Thread safety
/// Not safe; the owner of the job serializes calls.
void complete_preceding_groups(job_record& job, std::uint16_t group);

/// @brief Makes the next @ref complete_preceding_groups visit all groups again,
/// as a task of a group that was shown to be done is waiting again.
/// @par Thread safety
/// Not safe; the owner of the job serializes calls.
void forget_shown_ends(job_record& job);

/// @brief Returns whether all tasks of the job are done.
/// @par Thread safety
/// Safe for concurrent readers.
[[nodiscard]] bool is_complete(job_record const& job);

} // namespace goldcrestgate::core::detail
