#pragma once

#include "support/random.hpp"
#include "support/workload.hpp"

#include "goldcrestgate/core/admission/admission_queue.hpp"
#include "goldcrestgate/core/routing/router.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace goldcrestgate::bench
{

/// How a baseline policy chooses among the executors that it may use.
enum class baseline_kind : std::uint8_t
{
    random,
    round_robin,
    least_open,
    two_choices
};

/// How entry instances divide the executors' slots.
enum class sharing_kind : std::uint8_t
{
    /// Every instance may use every slot; collisions lead to refusals.
    anywhere,
    /// Slots are divided by rank; an instance uses only its own.
    divided,
    /// Slots are divided by rank; an instance also uses slots of the others
    /// that replies show to be free.
    borrowed,
    /// Like @ref borrowed, but slots are divided in proportion to the open
    /// tasks that heartbeats report.
    by_demand,
    /// Instances transfer slots to one another according to their needs; an
    /// instance uses only its own.
    exchanged,
    /// Each executor is used by one instance only.
    owned
};

/// @brief Identifies a task of a workload by the index of its job and its index
/// within the job.
struct task_ref
{
    std::uint32_t job = 0;
    std::uint32_t task = 0;
};

/// @brief A task to start and the executor to start it on.
struct start_choice
{
    task_ref task;
    std::uint32_t server = 0;
};

/// @brief The result of an attempt as its entry instance receives it.
struct attempt_report
{
    task_ref task;
    std::uint32_t server = 0;
    core::task_outcome outcome = core::task_outcome::succeeded;
    std::optional<core::duration> work_time;
    std::optional<std::uint32_t> open_slots;
};

/// @brief An entry instance with the router and the admission queue of the
/// dispatcher.
class dispatching_policy
{
public:
    /// @pre @a work outlives the object
    /// @par Thread safety
    /// Not safe.
    dispatching_policy(workload const& work, std::uint32_t instance,
                       sharing_kind sharing);

    /// @brief Sets the rank of this instance among the live instances and their
    /// number.
    /// @par Thread safety
    /// Not safe.
    void set_view(std::uint32_t rank, std::uint32_t count);

    /// @brief Sets the numbers of open tasks of all live instances, by rank.
    /// @par Thread safety
    /// Not safe.
    void set_demands(std::vector<std::uint32_t> const& open_tasks);

    /// @brief Returns the slot updates to send now, addressed by the rank of
    /// the recipient.
    /// @par Thread safety
    /// Not safe.
    std::vector<core::slot_update> exchange(core::time_point now);

    /// @brief Applies a slot update that carries the rank of its sender.
    /// @par Thread safety
    /// Not safe.
    void receive_update(core::slot_update const& update);

    /// @brief Returns whether a job is admitted.
    /// @par Thread safety
    /// Not safe.
    bool admit(std::uint32_t job, core::time_point now);

    /// @brief Adds a task to the queue.
    /// @par Thread safety
    /// Not safe.
    void push(task_ref task, core::time_point now);

    /// @brief Removes the next task that can start from the queue and returns
    /// it with its executor; returns nothing if none can start at @a now.
    /// @par Thread safety
    /// Not safe.
    std::optional<start_choice> next_start(core::time_point now);

    /// @brief Records the end of an attempt; if @a retry is true, puts the task
    /// back at the front of the queue.
    /// @par Thread safety
    /// Not safe.
    void attempt_ended(attempt_report const& report, bool retry,
                       core::time_point now);

    /// @brief Removes the waiting tasks of a job.
    /// @par Thread safety
    /// Not safe.
    void cancel(std::uint32_t job);

    /// @brief Removes the waiting tasks whose deadline has passed and returns
    /// them.
    /// @par Thread safety
    /// Not safe.
    std::vector<task_ref> expire(core::time_point now);

private:
    [[nodiscard]] core::task_key make_key(task_ref task) const;
    core::placement_result place(core::waiting_task const& task,
                                 core::duration waiting_work,
                                 core::time_point now);
    std::optional<start_choice>
    record_start(core::waiting_task const& task,
                 core::placement_result const& placed, core::time_point now);
    [[nodiscard]] core::waiting_task
    make_waiting_task(task_ref task, core::time_point since) const;

    workload const* work_;
    std::uint32_t instance_;
    sharing_kind sharing_;
    core::router router_;
    core::admission_queue queue_;
    std::vector<core::duration> run_times_;
    std::unordered_map<core::task_key, std::vector<core::server_id>> excluded_;
    std::unordered_map<std::uint32_t, std::uint32_t> open_tasks_in_job_;
};

/// @brief An entry instance with a first-in, first-out queue and a standard
/// load-balancing algorithm.
class baseline_policy
{
public:
    /// @pre @a work outlives the object
    /// @par Thread safety
    /// Not safe.
    baseline_policy(workload const& work, std::uint32_t instance,
                    baseline_kind kind);

    /// @copydoc dispatching_policy::set_view
    void set_view(std::uint32_t rank, std::uint32_t count);
    /// @copydoc dispatching_policy::set_demands
    void set_demands(std::vector<std::uint32_t> const& open_tasks);
    /// @copydoc dispatching_policy::exchange
    std::vector<core::slot_update> exchange(core::time_point now);
    /// @copydoc dispatching_policy::receive_update
    void receive_update(core::slot_update const& update);
    /// @copydoc dispatching_policy::admit
    bool admit(std::uint32_t job, core::time_point now);
    /// @copydoc dispatching_policy::push
    void push(task_ref task, core::time_point now);
    /// @copydoc dispatching_policy::next_start
    std::optional<start_choice> next_start(core::time_point now);
    /// @copydoc dispatching_policy::attempt_ended
    void attempt_ended(attempt_report const& report, bool retry,
                       core::time_point now);
    /// @copydoc dispatching_policy::cancel
    void cancel(std::uint32_t job);
    /// @copydoc dispatching_policy::expire
    std::vector<task_ref> expire(core::time_point now);

private:
    [[nodiscard]] std::optional<std::uint32_t> choose();
    [[nodiscard]] bool is_usable(std::uint32_t server) const;
    [[nodiscard]] std::uint32_t choose_least_open() const;
    [[nodiscard]] std::uint32_t pick_random_usable();

    workload const* work_;
    baseline_kind kind_;
    random_source random_;
    std::uint32_t next_server_ = 0;
    std::uint32_t usable_count_ = 0;
    std::vector<std::uint32_t> open_attempts_;
    std::vector<core::time_point> backoff_until_;
    core::time_point now_;
    std::deque<task_ref> tasks_;
};

/// The policy of an entry instance.
using entry_policy = std::variant<dispatching_policy, baseline_policy>;

} // namespace goldcrestgate::bench
