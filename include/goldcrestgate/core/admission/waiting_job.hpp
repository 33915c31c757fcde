#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/task.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace goldcrestgate::core
{

/// @brief A task that waits for a slot.
struct waiting_task
{
    task_key task;
    service_id service;
    team_id team;
    core::urgency urgency = core::urgency::normal;
    duration expected_run_time{};
    time_point deadline;
    time_point since;
    /// Tasks of the job that have not ended, including this one.
    std::uint32_t open_in_job = 1;
};

/// @brief The rank of a job among the jobs of its flow; lowest first.
struct job_rank
{
    /// Arrival time plus a fixed delay for each open task.
    time_point key;
    std::uint64_t sequence = 0;
    submission_id submission;

    friend auto operator<=>(job_rank const&, job_rank const&) = default;
};

/// @brief The waiting tasks of one job, the longest first.
///
/// The longest task determines when a job ends. Short tasks lose least on a
/// slow server, so slow servers are given tasks from the end.
class waiting_job
{
public:
    /// @param sequence orders jobs whose rank has the same key
    waiting_job(waiting_task const& first, std::uint64_t sequence);

    /// @brief Adds a task.
    ///
    /// A task added after the first call of @ref pop, @ref last or
    /// @ref pop_last counts as a retry and goes ahead of all others.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void push(waiting_task const& task);

    /// @brief Adds a task ahead of all others.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void push_front(waiting_task const& task);

    /// @brief Removes and returns the next task.
    /// @pre not empty
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    waiting_task pop();

    /// @brief Returns the last task.
    /// @pre not empty
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] waiting_task const& last();

    /// @brief Removes and returns the last task.
    /// @pre not empty
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    waiting_task pop_last();

    /// @brief Returns the keys of all waiting tasks.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<task_key> keys() const;

    /// @brief Returns the number of waiting tasks.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::size_t size() const;

    /// @brief Returns the rank of the job among those of its flow.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] job_rank rank() const;

    /// @brief Sets the number of tasks that have not ended.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_open(std::uint32_t open);

    /// @brief Returns the team of the job.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] team_id team() const;

    /// @brief Returns the urgency of the job.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] core::urgency urgency() const;

    /// @brief Returns the time at which the job began to wait.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] time_point since() const;

    /// @brief Returns the deadline of the job.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] time_point deadline() const;

    /// @brief Returns the sum of the expected run times of the waiting tasks.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] duration work() const;

private:
    submission_id submission_;
    team_id team_;
    core::urgency urgency_;
    time_point since_;
    time_point deadline_;
    std::uint32_t open_;
    std::uint64_t sequence_;
    duration work_{};
    void sort();

    /// The tasks from index `next_` on are waiting.
    std::vector<waiting_task> tasks_;
    bool sorted_ = false;
    std::size_t next_ = 0;
    /// Tasks that go ahead of `tasks_`, in reverse order.
    std::vector<waiting_task> front_;
};

} // namespace goldcrestgate::core
