#pragma once

#include "goldcrestgate/core/leasing/admission.hpp"
#include "goldcrestgate/core/leasing/executor_health.hpp"
#include "goldcrestgate/core/leasing/job_messages.hpp"
#include "goldcrestgate/core/leasing/orders.hpp"
#include "goldcrestgate/core/leasing/placement.hpp"
#include "goldcrestgate/core/leasing/scheduler_actions.hpp"
#include "goldcrestgate/core/leasing/serving_order.hpp"
#include "goldcrestgate/core/leasing/speed_model.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Times that the platform's executors are bound to.
struct scheduler_limits
{
    /// Longest lease that an executor grants.
    duration longest_lease = std::chrono::milliseconds{1000};
    /// Time that a stop may take on an executor.
    duration stop_time = std::chrono::milliseconds{50};
    /// After this time a caller that lost its connection may come again at
    /// any instance.
    duration resubmission_delay = std::chrono::milliseconds{1300};
    /// How many times longer a task takes away from the rack of its data.
    double remote_rack_factor = 2.0;
};

namespace detail
{

/// @brief The time and the actions of one call of the scheduler.
struct scheduler_turn
{
    time_point now;
    std::vector<scheduler_action>& out;
};

/// Where a run stands, as far as this instance knows.
enum class run_phase : std::uint8_t
{
    /// The start order has no answer yet.
    starting,
    running,
    /// A stop is to be sent or has no answer yet.
    stopping,
    /// The stop was accepted; the run ends within the stop time.
    stop_accepted
};

/// @brief A run that may be on an executor.
struct run_record
{
    task_run run;
    run_phase phase = run_phase::starting;
    resource_amounts amounts;
    /// The run time expected on an executor of average speed; 0 for a run
    /// whose start was not seen, which says nothing of the executor's speed.
    duration estimate{};
    duration expected{};
    time_point sent_at{};
    /// When the executor accepted the order or first listed the run.
    time_point confirmed_at{};
    /// Next attempt to stop, or the end of the stop time.
    time_point stop_due{};
    bool stop_in_flight = false;
    /// When the executor last listed the run as running.
    time_point listed_at{};
    /// The last progress that was listed and when it was seen first.
    std::uint32_t progress_percent = 0;
    time_point progress_at{};
    /// When the run ends at the earliest, as its progress shows.
    std::optional<time_point> ends_at;
    /// Set for a run of an earlier owner whose job was not offered again yet;
    /// it is stopped at this time.
    std::optional<time_point> orphan_until;
};

/// @brief What an owner knows of one executor.
struct executor_record
{
    executor_id id;
    executor_description description;
    bool listed = true;
    /// A new executor is used from then on, when the other instances know it.
    time_point usable_at{};
    time_point unlisted_at{};
    /// Whether a hold with the present token was answered.
    bool claimed = false;
    /// After an order was refused with a higher token.
    bool fenced = false;
    std::optional<executor_clock> clock;
    time_point clock_at{};
    /// From this time on nothing that was there still runs, unless an order
    /// renews the lease.
    time_point lapses_at{};
    std::uint64_t acknowledged = 0;
    std::optional<order_id> hold;
    time_point hold_sent_at{};
    time_point next_hold_at{};
    /// Whether the last order had no answer; orders then renew no lease.
    bool silent = false;
    /// Whether free room is to be confirmed before the next start.
    bool recount = false;
    resource_amounts used;
    std::vector<run_record> runs;
    executor_health health;

    /// Room that no run takes.
    [[nodiscard]] resource_amounts room() const
    {
        auto room = description.capacity;
        room -= used;
        return room;
    }
};

/// What a task of a job waits for.
enum class task_phase : std::uint8_t
{
    /// For earlier groups.
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
    /// Where the task has failed or was too slow last.
    std::optional<executor_id> avoided;
};

struct group_record
{
    std::uint16_t done = 0;
    std::uint16_t waiting = 0;
    std::vector<task_record> tasks;
};

struct job_record
{
    leased_job job;
    instance_id origin;
    time_point due{};
    time_point limit{};
    duration chain{};
    std::vector<group_record> groups;
    /// Whether a task may have started, here or with an earlier owner.
    bool started = false;
    /// Whether runs of an earlier owner may exist that are not known yet.
    bool awaits_claims = false;
    /// Set when the caller has left or its instance is gone; the runs are
    /// stopped at this time.
    std::optional<time_point> unwanted_at;
};

/// @brief A verdict that is repeated when its job is offered again.
struct past_verdict
{
    job_verdict verdict;
    time_point forget_at{};
};

/// @brief The run that an answer is about.
struct answered_order
{
    executor_record& executor;
    run_record& run;
};

/// @brief The least and the greatest slowdown of the usable executors; 1 if
/// there are none.
struct slowdown_range
{
    double fastest = 1.0;
    double slowest = 1.0;
};

/// @brief The state of a @ref job_scheduler and what its parts share.
class scheduler_state
{
public:
    explicit scheduler_state(scheduler_limits given)
        : limits(given)
    {
    }

    scheduler_limits limits;
    bool owner = false;
    bool fenced = false;
    fencing_token token;
    time_point owner_since{};
    /// Whether the executors of the earlier owner are all known.
    bool roster_known = false;
    std::uint64_t last_order = 0;
    std::map<executor_id, executor_record> executors;
    std::unordered_map<client_job_id, job_record> jobs;
    std::unordered_map<client_job_id, past_verdict> past;
    speed_model speeds;

    // jobs
    void offer(instance_id origin, job_offer const& offered,
               scheduler_turn& turn);
    void place_waiting(scheduler_turn& turn);
    void place_job(job_record& job, double fastest, scheduler_turn& turn);
    void place_group(job_record& job, std::uint16_t group, double fastest,
                     scheduler_turn& turn);
    [[nodiscard]] std::vector<placement_candidate>
    find_candidates(job_record const& job, std::uint16_t group,
                    time_point now) const;
    static void note_placement(job_record const& job, leased_task const& task,
                               placement_choice const& choice,
                               scheduler_turn& turn);
    /// How many times longer than estimated a task of the group takes there.
    [[nodiscard]] double expected_slowdown(executor_record const& executor,
                                           task_group const& group) const;
    /// How many times longer a task of the group takes in the executor's rack.
    [[nodiscard]] double rack_factor(executor_description const& description,
                                     task_group const& group) const;
    void close(client_job_id id, job_outcome outcome, duration retry_after,
               std::string_view reason, scheduler_turn& turn);
    void task_ended(executor_record& executor, run_record const& run,
                    run_end end, scheduler_turn& turn);
    void return_task(run_record const& run);
    void blame(executor_record& executor, task_record& task, time_point now);
    void expire_jobs(scheduler_turn& turn);
    [[nodiscard]] std::size_t waiting_tasks() const;

    // admission; an empty service stands for all services
    [[nodiscard]] admission_verdict judge_admission(job_record const& job,
                                                    time_point now) const;
    [[nodiscard]] bool serves(executor_record const& executor,
                              std::string_view service, time_point now) const;
    /// Room of the executors up to a slowdown, as that of executors whose run
    /// times equal the estimates.
    [[nodiscard]] double usable_millicores(std::string_view service,
                                           time_point now,
                                           double slowest) const;
    [[nodiscard]] static serving_position
    position_of(job_record const& job, time_point now, double slowest);
    [[nodiscard]] duration expected_wait(std::string_view service,
                                         time_point now) const;
    /// By service; services without a usable executor are missing.
    [[nodiscard]] std::map<std::string_view, slowdown_range>
    slowdowns(time_point now) const;
    /// The moment at which the job must begin to meet its objective.
    [[nodiscard]] static time_point latest_start(job_record const& job);
    [[nodiscard]] static bool needs_fast(job_record const& job, time_point now,
                                         double slowest);

    // runs and orders
    void start(job_record& job, std::uint16_t group, std::uint16_t index,
               executor_record& executor, duration expected,
               scheduler_turn& turn);
    void request_stop(executor_record& executor, run_record& run,
                      scheduler_turn& turn);
    /// Finds what an answer is about and notes the executor's clock; nothing
    /// if it concerns nothing that is known.
    [[nodiscard]] std::optional<answered_order>
    find_answered(order_answer const& answer, time_point now);
    /// Returns whether the answer tells that the executor is lost.
    bool lose_by_answer(executor_record& executor, order_outcome outcome,
                        scheduler_turn& turn);
    void start_answered(order_answer const& answer, scheduler_turn& turn);
    void stop_answered(order_answer const& answer, scheduler_turn& turn);
    /// Whether the executor has answered an order since a time.
    [[nodiscard]] static bool answered_since(executor_record const& executor,
                                             time_point sent_at);
    void note_clock(executor_record& executor,
                    std::optional<executor_clock> clock, time_point now) const;
    /// The executor has seen a higher token than the own one.
    void fence_executor(executor_record& executor, scheduler_turn& turn);
    void lose_executor(executor_record& executor, std::string_view reason,
                       scheduler_turn& turn);
    void remove_run(executor_record& executor, task_run const& run);
    [[nodiscard]] run_record* find_run(executor_record& executor,
                                       task_run const& run) const;
    [[nodiscard]] std::optional<executor_clock>
    lease_end(executor_record& executor, time_point now) const;
    [[nodiscard]] order_id next_order();

    // leases
    void send_hold(executor_record& executor, scheduler_turn& turn);
    void poll_answered(poll_answer const& answer, scheduler_turn& turn);
    void hold_failed(executor_record& executor, order_outcome outcome,
                     time_point sent_at, scheduler_turn& turn);
    /// Adds a run that only the executor knows; it is stopped at the given
    /// time unless its job is offered before.
    static run_record& add_listed(executor_record& executor,
                                  task_run const& run, time_point now,
                                  time_point orphan_until);
    void claim_answered(executor_record& executor, poll_answer const& answer,
                        scheduler_turn& turn);
    void apply_ends(executor_record& executor, poll_answer const& answer,
                    scheduler_turn& turn);
    void compare_running(executor_record& executor, poll_answer const& answer,
                         time_point sent_at, scheduler_turn& turn);
    void adopt_runs(job_record& job, scheduler_turn& turn);
    void check_runs(executor_record& executor, scheduler_turn& turn);
    void note_progress(executor_record& executor, listed_run const& listed,
                       scheduler_turn& turn);
    [[nodiscard]] bool wants_look(executor_record const& executor,
                                  time_point now) const;
    [[nodiscard]] static bool is_stalled(run_record const& run);
    void give_up_hopeless(scheduler_turn& turn);
    /// Stops a run, for its task to be started elsewhere.
    void move_run(executor_record& executor, run_record& run, job_record& job,
                  scheduler_turn& turn);
    /// When an executor has room at the earliest; it may not suffice then.
    [[nodiscard]] static time_point room_at(executor_record const& executor,
                                            resource_amounts const& amounts,
                                            time_point now);
    /// Run time of a task on an executor of average speed, judged by its
    /// progress.
    [[nodiscard]] duration likely_work(executor_record const& executor,
                                       run_record const& run,
                                       task_group const& group) const;
    /// Whether another executor can end a run before its caller leaves.
    [[nodiscard]] bool ends_elsewhere(executor_record const& executor,
                                      run_record const& run,
                                      job_record const& job,
                                      time_point now) const;
    void tick(scheduler_turn& turn);
    [[nodiscard]] bool claims_settled(time_point now) const;
    [[nodiscard]] duration lapse_time() const;
    [[nodiscard]] bool accepts(executor_record const& executor,
                               time_point now) const;
};

} // namespace detail

} // namespace goldcrestgate::core
