#pragma once

#include "goldcrestgate/core/admission/waiting_job.hpp"
#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/settings/settings_view.hpp"
#include "goldcrestgate/core/task.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestgate::core
{

/// @brief The properties of a job that decide its admission.
struct job_demand
{
    service_id service;
    team_id team;
    core::urgency urgency = core::urgency::normal;
    /// Expected run times of all its tasks.
    std::span<duration const> run_times;
    time_point deadline;
};

/// @brief The queue of tasks that wait for slots, with admission control.
///
/// The tasks of a team with one urgency form a flow. Flows share the slots by
/// weighted fair queueing: the next task comes from the flow whose first job
/// would end first if all flows were served at once by weight. Within a flow,
/// jobs with few open tasks go first, but a large job loses this disadvantage
/// as it waits, so that no job starves. Each operation takes logarithmic time
/// in the number of waiting jobs.
class admission_queue
{
public:
    /// @brief Replaces the settings.
    /// @pre @a settings is not null
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_settings(settings_ptr settings);

    /// @brief Decides whether to admit a job.
    /// @param slots the slots that this instance can get for its waiting work,
    /// see @ref slot_exchange::expected_slots
    /// @return nothing if the job is admitted, otherwise the error for the
    /// caller: `deadline_unreachable`, or `overloaded` if work waits ahead of
    /// the job and that work together with the job's own would take longer
    /// than the service's `max_queue_wait`
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<error_code>
    admit(job_demand const& demand, std::uint32_t slots, time_point now);

    /// @brief Adds a task of an admitted job, or a task to retry.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void push(waiting_task task);

    /// @brief Removes and returns the next task to place.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<waiting_task> pop(time_point now);

    /// @brief Returns the work that faster servers complete first if a task
    /// from @ref pop waits for one of them, its own run time included.
    ///
    /// At first only the task's own run time counts, as it only waits for the
    /// next slot. Once the task has waited for longer than its run time, all
    /// waiting work counts, so that in a long queue it accepts any slot that
    /// ends it earlier than waiting.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] duration work_before(waiting_task const& task,
                                       time_point now) const;

    /// @brief Returns the task that a slow server may run while the tasks ahead
    /// of it wait for faster servers.
    ///
    /// This is the last task of the next job or, if that job has a single
    /// task, the last task of the last job.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<waiting_task> last(time_point now);

    /// @brief Removes the task that @ref last returns.
    /// @pre @ref last returns a task
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void pop_last(time_point now);

    /// @brief Puts back a task that could not be placed, ahead of the other
    /// tasks of its job, and refunds its charge to the flow.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void push_front(waiting_task task);

    /// @brief Records that a task has left the queue for good and is running.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void task_running(team_id team, core::urgency urgency);

    /// @brief Records that a running task has ended.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void task_ended(team_id team, core::urgency urgency);

    /// @brief Sets the number of tasks of a job that have not ended; the fewer
    /// they are, the earlier the job is served.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_open_in_job(submission_id submission, std::uint32_t open);

    /// @brief Removes all waiting tasks of a job.
    /// @return the number of removed tasks
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    std::size_t cancel(submission_id submission);

    /// @brief Removes the tasks whose deadline has passed.
    /// @return the removed tasks
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<task_key> expire(time_point now);

    /// @brief Returns the earliest deadline of a waiting task.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    /// @brief Returns the number of waiting tasks.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::size_t size() const;

    /// @brief Returns the sum of the expected run times of all waiting tasks.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] duration waiting_work() const;

private:
    // The waiting jobs of a team with one urgency.
    struct flow
    {
        std::set<job_rank> jobs;
        /// Work received, divided by weight.
        double normalized_work = 0.0;
        duration waiting_work{};
        /// Order among the flows with waiting tasks; see `reposition`.
        double finish_tag = 0.0;
        /// Weight while the flow has waiting tasks, otherwise 0.
        double active_weight = 0.0;
    };

    using flow_index = std::uint32_t;
    using job_map = std::unordered_map<submission_id, waiting_job>;

    static flow_index index_of(team_id team, core::urgency urgency);
    [[nodiscard]] double weight(flow_index index) const;
    [[nodiscard]] bool within_quota(flow_index index) const;
    [[nodiscard]] bool urgent_within_limit() const;
    [[nodiscard]] duration work_ahead(job_demand const& demand) const;
    [[nodiscard]] duration max_wait(service_id service) const;
    [[nodiscard]] std::optional<flow_index> choose_flow() const;
    job_map::iterator choose_job(time_point now);
    [[nodiscard]] std::optional<submission_id> last_job() const;
    job_map::iterator job_for_slow_server(time_point now);
    void account_removal(job_map::iterator job, waiting_task const& task);

    flow& flow_at(flow_index index);
    waiting_job& job_for(waiting_task const& task);
    void add_work(flow_index index, duration work);
    void charge(flow_index index, duration work);
    void reposition(flow_index index);
    void remove_job(job_map::iterator job);

    std::vector<flow> flows_;
    /// Flows with waiting tasks by finish tag: normal flows, urgent flows.
    std::set<std::pair<double, flow_index>> active_flows_[2];
    /// Work that a flow of weight 1 would have received so far if all flows
    /// with waiting tasks were served at once. A flow that becomes active
    /// starts from here, so that idle time earns no credit.
    double virtual_time_ = 0.0;
    double active_weight_sum_ = 0.0;
    job_map jobs_;
    std::set<std::pair<time_point, submission_id>> deadlines_;
    /// Waiting jobs by arrival; an overdue job goes first.
    std::set<std::pair<time_point, submission_id>> arrivals_;
    std::vector<std::uint32_t> running_by_team_;
    std::uint32_t running_ = 0;
    std::uint32_t running_urgent_ = 0;
    std::size_t size_ = 0;
    std::uint64_t next_sequence_ = 0;
    duration waiting_work_{};
    settings_ptr settings_;
};

} // namespace goldcrestgate::core
