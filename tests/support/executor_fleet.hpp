#pragma once

#include "goldcrestgate/core/leasing/job_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestgate::tests
{

/// @brief Behaviour of a simulated executor.
struct executor_behaviour
{
    /// Run time divided by the task's true work.
    double slowdown = 1.0;
    /// Seconds that the executor's clock shows per second.
    double clock_rate = 1.0;
    bool fails_tasks = false;
    /// Tasks make no progress and never end.
    bool hangs = false;
    /// Orders to the executor and answers to polls are dropped.
    bool unreachable = false;
    /// Starts are accepted beyond the capacity.
    bool ignores_capacity = false;
    /// Another executor answers at its address.
    bool replaced = false;
    /// The rows of running tasks in answers to polls cannot be read.
    bool rows_unreadable = false;
    /// Orders of a kind get no answer and are carried out after this delay, by
    /// the process that then runs and also while the executor is unreachable.
    std::optional<core::duration> start_delay;
    std::optional<core::duration> stop_delay;
    std::optional<core::duration> poll_delay;
    /// Additional delay of the answers to polls.
    core::duration poll_answer_delay{};
};

/// Kinds of orders to a simulated executor.
enum class order_kind : std::uint8_t
{
    start,
    stop,
    poll
};

/// @brief Simulates executors in virtual time: capacity, leases, fencing tokens
/// and lists of running and finished runs, as in the platform's protocol.
///
/// Counts violations of the protocol's guarantees: concurrent runs of one task,
/// starts of a task that has ended and starts beyond an executor's capacity. It
/// also counts the starts of each job, for checks that a rejected job has none,
/// and the executors that crashed under each task.
class executor_fleet
{
public:
    using order_callback = std::function<void(core::order_answer const&)>;
    using poll_callback = std::function<void(core::poll_answer const&)>;

    explicit executor_fleet(std::size_t count);

    [[nodiscard]] core::time_point now() const
    {
        return now_;
    }

    [[nodiscard]] executor_behaviour& behaviour(core::executor_id id);
    [[nodiscard]] core::executor_description
    description(core::executor_id id) const;
    [[nodiscard]] std::vector<core::executor_id> ids() const;

    /// @brief Sets the true work of a job's tasks.
    void set_work(core::client_job_id job, core::duration work);

    /// @brief Sets the true work of one task, which overrides that of its job.
    void set_work(core::leased_task const& task, core::duration work);

    /// @brief Sets the CPU amount of a job's tasks in millicores; without it,
    /// a task uses 27 cores.
    void set_millicores(core::client_job_id job, std::uint32_t amount);

    /// @brief Sets the rack that holds a job's data; in other racks its tasks
    /// take twice as long.
    void set_data_rack(core::client_job_id job, std::string rack);

    /// @brief Sets the service and the labels of an executor.
    /// @pre no owner has listed the executor yet
    void describe(core::executor_id id, std::string service,
                  std::vector<std::string> labels);

    /// @brief Gives an executor another id, under which it receives orders too.
    void add_alias(core::executor_id alias, core::executor_id id);

    /// @brief Gives the present process of an executor a new id and name,
    /// at the same address; it refuses orders under the earlier ids.
    /// @pre the id is one of @ref ids
    /// @return the description of the process
    core::executor_description supersede(core::executor_id id,
                                         core::executor_id successor);

    /// @brief Restarts an executor's process under its id and at its address:
    /// its runs, its memory and its clock are lost. Orders on their way reach
    /// the new process; polls that wait get no answer.
    void restart(core::executor_id id);

    /// @brief Ends an executor's process; a new one starts after the given
    /// time. Orders that arrive in between are lost.
    /// @pre the executor is not down
    void restart(core::executor_id id, core::duration down_time);

    /// @brief Returns whether an executor has no process.
    [[nodiscard]] bool is_down(core::executor_id id) const;

    /// @brief Makes a task crash each executor that starts it. The executor is
    /// unreachable from then on and comes back as a new process.
    void set_crashing(core::leased_task const& task);

    /// @brief Ends an executor's process; a new one starts after the restart
    /// time.
    void crash(core::executor_id id);

    /// @brief Changes the capacity of an executor; its runs go on.
    void set_capacity(core::executor_id id,
                      core::resource_amounts const& capacity);

    void order(core::start_run const& order, order_callback const& answer);
    void order(core::stop_run const& order, order_callback const& answer);
    void order(core::poll_executor const& order, poll_callback const& answer);

    /// @brief Calls a function after a delay of virtual time.
    void schedule(core::duration delay, std::function<void()> work);

    /// @brief Advances the virtual time.
    void run_for(core::duration time);

    /// @brief Returns the number of a job's active runs.
    [[nodiscard]] std::size_t running(core::client_job_id job) const;

    /// @brief Returns the number of a job's active runs on one executor.
    [[nodiscard]] std::size_t running(core::client_job_id job,
                                      core::executor_id on) const;

    /// @brief Returns an executor that has a run of the job, if any.
    [[nodiscard]] std::optional<core::executor_id>
    executor_of(core::client_job_id job) const;

    /// @brief Returns the number of starts of a job so far.
    [[nodiscard]] std::size_t starts(core::client_job_id job) const;

    /// @brief Returns the number of executors that crashed while they had a run
    /// of the task.
    [[nodiscard]] std::size_t crashes(core::leased_task const& task) const;

    /// @brief Returns the number of runs of the task that ended as failed.
    [[nodiscard]] std::size_t failed_ends(core::leased_task const& task) const;

    /// @brief Returns the largest number of starts of one task after three
    /// executors had crashed under it.
    [[nodiscard]] std::size_t most_starts_after_third_crash() const;

    /// Called when the new process of a crashed executor has started.
    std::function<void(core::executor_id)> on_restarted;
    /// Time from the crash of an executor to the start of its new process.
    core::duration restart_time{std::chrono::seconds{3}};
    /// Number of starts beyond the capacity of executors that do not guard it.
    std::size_t starts_over_capacity = 0;
    /// Number of starts of a task that already had a run.
    std::size_t duplicate_runs = 0;
    /// Number of these starts in which the run or the start beside it was
    /// carried out after its answer timeout.
    std::size_t duplicate_runs_of_late_starts = 0;
    /// Number of starts of a task after an owner acknowledged its end as done.
    std::size_t starts_after_end = 0;
    /// Number of these starts without those after an end whose executor had no
    /// lease at some time until the acknowledgement, which does not count then.
    std::size_t starts_after_leased_end = 0;
    /// Number of starts refused because the executor had no capacity.
    std::size_t capacity_refusals = 0;
    /// Number of orders sent so far.
    std::size_t orders_sent = 0;
    /// Returns the delay of an order that gets no answer, as in @ref
    /// executor_behaviour; empty for other orders.
    std::function<std::optional<core::duration>(order_kind)> late_order;
    /// Every n-th order is dropped; 0 drops none.
    std::size_t drop_every_nth_order = 0;
    /// Network delay of an order or an answer in one direction.
    core::duration one_way_latency{std::chrono::milliseconds{1}};

private:
    struct simulated_run
    {
        core::task_run run;
        core::time_point started;
        core::time_point ends;
        core::duration total;
        bool started_late = false;
    };

    struct simulated_executor
    {
        core::executor_description description;
        executor_behaviour behaviour;
        /// Start of the process, at which its clock shows 0.
        core::time_point started_at{};
        bool down = false;
        std::uint64_t token = 0;
        std::uint64_t last_finished_number = 0;
        core::time_point lease_until{};
        /// Last time at which a lease expired.
        core::time_point lease_expired_at{};
        std::vector<simulated_run> runs;
        std::vector<core::finished_run> finished;
        /// Times of the ends of runs by their numbers.
        std::map<std::uint64_t, core::time_point> ended_at;
        std::map<core::leased_task, std::uint32_t> highest_ended;
        std::vector<std::function<void()>> waiting_polls;
    };

    /// Crash history of a task.
    struct task_history
    {
        std::size_t crashes = 0;
        std::size_t failed_ends = 0;
        std::size_t starts_after_third_crash = 0;
    };

    [[nodiscard]] simulated_executor& target_of(core::executor_id id);
    /// Returns the CPU amount of one of the job's tasks.
    [[nodiscard]] std::uint32_t millicores(core::client_job_id job) const;
    [[nodiscard]] core::order_outcome
    start(simulated_executor& target, core::start_run const& order, bool late);
    [[nodiscard]] core::order_outcome stop(simulated_executor& target,
                                           core::stop_run const& order);
    void count_start(core::start_run const& order, bool late);
    void renew_lease(simulated_executor& target,
                     core::executor_clock lease_until);
    [[nodiscard]] core::duration run_time(simulated_executor const& target,
                                          core::leased_task const& task) const;
    /// Renews the lease and forgets the acknowledged ends, when a poll arrives.
    void receive_poll(simulated_executor& target,
                      core::poll_executor const& order);
    [[nodiscard]] core::poll_answer
    handle_poll(simulated_executor& target, core::poll_executor const& order);
    /// Returns the delay of an order that gets no answer.
    [[nodiscard]] std::optional<core::duration>
    late_delay(std::optional<core::duration> set, order_kind kind) const;
    [[nodiscard]] bool drops_order();
    /// Returns whether another process answers orders under the id.
    [[nodiscard]] bool is_replaced(simulated_executor const& target,
                                   core::executor_id id) const;
    void end_run(simulated_executor& target, core::task_run const& run,
                 core::run_end end);
    void advance(simulated_executor& target);
    [[nodiscard]] core::executor_clock
    clock(simulated_executor const& target) const;
    [[nodiscard]] static core::time_point
    to_time(simulated_executor const& target, core::executor_clock clock);

    core::time_point now_{std::chrono::seconds{1000}};
    std::uint64_t sequence_ = 0;
    std::map<std::pair<core::time_point, std::uint64_t>, std::function<void()>>
        events_;
    std::map<core::executor_id, simulated_executor> executors_;
    std::map<core::client_job_id, core::duration> work_;
    std::map<core::leased_task, core::duration> task_work_;
    std::map<core::client_job_id, std::uint32_t> millicores_;
    std::map<core::client_job_id, std::string> data_racks_;
    std::map<core::client_job_id, std::size_t> starts_;
    std::set<core::leased_task> acknowledged_as_done_;
    std::set<core::leased_task> acknowledged_with_lease_;
    std::map<core::executor_id, core::executor_id> aliases_;
    /// Ids of processes that have ended, with a successor of another id.
    std::set<core::executor_id> superseded_;
    std::set<core::leased_task> crashing_tasks_;
    std::map<core::leased_task, task_history> histories_;
};

} // namespace goldcrestgate::tests
