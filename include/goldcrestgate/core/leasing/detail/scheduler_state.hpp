#pragma once

#include "goldcrestgate/core/leasing/admission.hpp"
#include "goldcrestgate/core/leasing/caller_bounds.hpp"
#include "goldcrestgate/core/leasing/crash_ledger.hpp"
#include "goldcrestgate/core/leasing/detail/executor_record.hpp"
#include "goldcrestgate/core/leasing/detail/job_record.hpp"
#include "goldcrestgate/core/leasing/detail/placement_round.hpp"
#include "goldcrestgate/core/leasing/detail/service_shares.hpp"
#include "goldcrestgate/core/leasing/given_up_runs.hpp"
#include "goldcrestgate/core/leasing/job_memory.hpp"
#include "goldcrestgate/core/leasing/job_messages.hpp"
#include "goldcrestgate/core/leasing/orders.hpp"
#include "goldcrestgate/core/leasing/owner_probe.hpp"
#include "goldcrestgate/core/leasing/placement.hpp"
#include "goldcrestgate/core/leasing/preemption.hpp"
#include "goldcrestgate/core/leasing/run_time_model.hpp"
#include "goldcrestgate/core/leasing/scheduler_actions.hpp"
#include "goldcrestgate/core/leasing/serving_order.hpp"
#include "goldcrestgate/core/leasing/speed_model.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Time limits and run-time factors that the platform's executors are
/// subject to.
struct scheduler_limits
{
    /// Longest lease that an executor grants.
    duration longest_lease = std::chrono::milliseconds{1000};
    /// Longest time that an executor takes to stop a run.
    duration stop_time = std::chrono::milliseconds{50};
    /// Time after which a caller that lost its connection may resubmit its job
    /// at any instance.
    duration resubmission_delay = std::chrono::milliseconds{1300};
    /// Run-time factor of a task outside the rack that holds its data.
    double remote_rack_factor = 2.0;
    /// Share of a class of jobs divided by that of the next lower one, while
    /// capacity is insufficient.
    double class_weight_ratio = 4.0;
    /// Whether waiting jobs are served by class and share while capacity is
    /// insufficient.
    bool fair_shares = false;
    /// Whether runs are stopped for waiting tasks of a higher class.
    bool preemption = false;
    /// Largest number of reservations for large tasks; 0 disables them.
    std::uint32_t reservations = 0;
    /// Memory for the jobs of the owner.
    std::size_t job_memory_bytes = std::numeric_limits<std::size_t>::max();
};

namespace detail
{

/// @brief Current time and output actions of one call of the scheduler.
struct scheduler_context
{
    time_point now;
    std::vector<scheduler_action>& out;
};

/// @brief Executor and run that an answer refers to.
struct answered_order
{
    executor_record& executor;
    run_record& run;
};

/// Reason of a given-up run that an accepted stop has ended.
inline constexpr std::string_view stop_accepted_reason = "stop_accepted";

/// @brief Lowest and highest slowdown of the usable executors; 1 if there are
/// none.
struct slowdown_range
{
    double fastest = 1.0;
    double slowest = 1.0;

    /// Extends the range by a slowdown.
    /// @param is_first whether the range has no other slowdown yet
    void include(double slowdown, bool is_first)
    {
        fastest = is_first ? slowdown : std::min(fastest, slowdown);
        slowest = is_first ? slowdown : std::max(slowest, slowdown);
    }
};

/// @brief Speed and capacity of an executor that accepts tasks.
struct pool_member
{
    double slowdown = 1.0;
    std::uint32_t millicores = 0;
    std::uint32_t free_millicores = 0;
};

/// @brief The executors of a service that accept tasks.
struct executor_pool
{
    /// @brief Returns the free share of the fast executors' capacity.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] double fast_free_share() const;

    /// Speeds of all of them.
    slowdown_range speeds;
    /// Those that have unused capacity.
    std::vector<executor_record const*> with_capacity;
    /// Largest CPU amount that was free on one of them when the round began.
    std::uint32_t largest_free_millicores = 0;
    /// Number of executors that are kept for suspect tasks.
    std::size_t reserved = 0;
    /// All of them, with the capacities when the round began.
    std::vector<pool_member> members;
    /// The waiting jobs with their flows, if they need more than the unused
    /// capacity.
    std::unordered_map<job_record const*, fair_job> flows;
};

/// @brief Capacity of an executor that is unused once the stops of its runs are
/// confirmed.
struct expected_capacity
{
    executor_record* executor = nullptr;
    resource_amounts unused;
};

/// @brief State of a @ref job_scheduler, shared by its source files.
class scheduler_state
{
public:
    explicit scheduler_state(scheduler_limits given)
        : limits(given)
        , callers(given.resubmission_delay, given.stop_time)
        , memory(given.job_memory_bytes)
    {
    }

    scheduler_limits limits;
    caller_bounds callers;
    bool owner = false;
    /// Whether no executor gets new tasks, as their failure domain is being
    /// evacuated.
    bool suspended = false;
    bool fenced = false;
    fencing_token token;
    /// Term of the ownership.
    std::uint64_t term = 0;
    /// Last order that was sent with an earlier token. An executor that refuses
    /// it has seen a renewed token, not that of another owner.
    order_id last_order_of_earlier_token;
    /// Renewals of the token since ownership was taken.
    std::uint64_t token_renewals = 0;
    time_point owner_since{};
    /// News of callers, by the instance that has them.
    std::map<instance_id, origin_news> heard;
    /// Whether all executors of the earlier owner are listed.
    bool roster_known = false;
    std::uint64_t last_order = 0;
    owner_probe probe;
    std::optional<time_point> probed_at;
    std::map<executor_id, executor_record> executors;
    std::unordered_map<client_job_id, job_record> jobs;
    job_memory memory;
    std::unordered_map<client_job_id, retained_verdict> retained_verdicts;
    /// Last withdrawals by job and origin.
    std::map<std::pair<client_job_id, instance_id>, withdrawal_record>
        withdrawn;
    /// Tasks that ended `done` without a known job, and when they are
    /// forgotten.
    std::map<leased_task, time_point> done_tasks;
    speed_model speeds;
    run_time_model run_times;
    crash_ledger crashes;
    std::vector<unsettled_crash> unsettled_crashes;
    /// Tasks that must not start, as a start without an answer may still be
    /// carried out by a process that has accepted no later order.
    std::set<leased_task> withheld_tasks;
    given_up_runs given_up;
    /// Shares of the services that were short of capacity within the last
    /// second.
    std::map<std::string, service_shares, std::less<>> shares;
    /// The last placement round, or the present one.
    placement_round round;

    // jobs
    void offer(instance_id origin, job_offer const& offered,
               scheduler_context& context);
    /// Rejects a new job for which there is no memory.
    /// @return whether it has been rejected
    [[nodiscard]] bool reject_without_memory(instance_id origin,
                                             job_offer const& offered,
                                             scheduler_context& context) const;
    /// Whether tasks of the job wait and some executor may start them.
    [[nodiscard]] bool may_start_tasks(job_record const& job,
                                       time_point now) const;
    void place_waiting(scheduler_context& context);
    /// Places suspect tasks on executors without runs. An executor that is to
    /// run one next is removed from the pool.
    void place_suspects(job_record& job, executor_pool& pool,
                        scheduler_context& context);
    void place_suspects(job_record& job, std::uint16_t group,
                        executor_pool& pool, scheduler_context& context);
    /// Removes the executor with the fewest runs that can run a task of the
    /// group, so that it has none soon.
    static void reserve_executor(job_record const& job, std::uint16_t group,
                                 executor_pool& pool);
    [[nodiscard]] placement_request
    make_placement_request(job_record const& job, std::uint16_t group,
                           executor_pool const& pool, time_point now) const;
    /// Adds to the request of a group what is known of one of its tasks.
    [[nodiscard]] placement_request for_task(placement_request request,
                                             task_record const& task) const;
    void place_job(job_record& job, executor_pool const& pool,
                   scheduler_context& context);
    void place_group(job_record& job, std::uint16_t group,
                     executor_pool const& pool, scheduler_context& context);
    [[nodiscard]] std::vector<placement_candidate>
    find_candidates(job_record const& job, std::uint16_t group,
                    executor_pool const& pool, time_point now) const;
    /// Pools by service; services without a usable executor are missing.
    [[nodiscard]] std::map<std::string_view, executor_pool>
    executor_pools(time_point now) const;
    void log_placement(job_record const& job, leased_task const& task,
                       placement_choice const& choice,
                       scheduler_context& context) const;
    /// Expected run time of a task of the group on the executor, divided by its
    /// estimate.
    [[nodiscard]] double expected_slowdown(executor_record const& executor,
                                           task_group const& group) const;
    /// Run-time factor of a task of the group in the executor's rack.
    [[nodiscard]] double rack_factor(executor_description const& description,
                                     task_group const& group) const;
    void end_job(client_job_id id, job_outcome outcome, duration retry_after,
                 std::string_view reason, scheduler_context& context);
    void task_ended(executor_record& executor, run_record const& run,
                    run_end end, scheduler_context& context);
    /// Takes back a start that the executor has definitely not carried out.
    void revoke_start(run_record const& run);
    void requeue_task(run_record const& run, scheduler_context& context);
    void attribute_failure(executor_record& executor, task_record& task,
                           time_point now);
    void expire_jobs(scheduler_context& context);
    /// Rejects all jobs of which no task has started.
    void reject_unstarted(std::string_view reason, scheduler_context& context);
    [[nodiscard]] std::size_t waiting_tasks() const;

    // run times
    /// Adds the run time of a task, or its projection, to those of its group.
    void record_run_time(job_record& job, executor_record const& executor,
                         task_run const& run, duration run_time) const;
    /// Learns the speeds of executors and the run times of the route from an
    /// ended job.
    void learn_run_times(job_record const& job);
    void learn_group_run_times(job_record const& job, group_record const& group,
                               task_group const& group_spec);
    /// Factors for the tasks of a group.
    /// @param free_share see @ref executor_pool::fast_free_share
    [[nodiscard]] run_time_factors factors_of(std::string_view route,
                                              duration estimate,
                                              double free_share) const;

    // shares while capacity is insufficient, and preemption
    /// Orders the waiting jobs of each service that need more than its unused
    /// capacity by their shares; the others keep their places.
    void
    order_by_share(std::vector<std::pair<serving_position, job_record*>>& order,
                   std::map<std::string_view, executor_pool>& pools,
                   scheduler_context& context);
    /// Places the job and counts what it starts against its share.
    void place_by_share(job_record& job, executor_pool const& pool,
                        scheduler_context& context);
    /// Work that is served before a new job; empty if the unused capacity is
    /// sufficient for all waiting work.
    [[nodiscard]] std::optional<double>
    work_ahead_by_share(job_record const& job, time_point now,
                        slowdown_range range) const;
    /// Stops runs of lower classes for waiting tasks that would otherwise miss
    /// their objectives.
    void preempt_for_urgent_work(scheduler_context& context);
    void preempt_in_service(std::string_view service, slowdown_range range,
                            std::size_t& in_progress,
                            scheduler_context& context);
    /// Stops a run for a waiting task, if that is worth it.
    /// @return whether a run is being stopped
    bool preempt_for_task(preemption_request const& request,
                          task_group const& group,
                          std::span<expected_capacity> capacities,
                          scheduler_context& context);
    [[nodiscard]] bool was_preempted(leased_task const& task) const;

    // reservations
    /// Reserves capacity for the largest tasks that wait without capacity.
    void plan_reservations(
        std::span<std::pair<serving_position, job_record*> const> order,
        std::map<std::string_view, executor_pool> const& pools,
        scheduler_context& context);
    /// Adds the executors of all services that accept tasks to the plan.
    void add_reservable_executors(
        std::map<std::string_view, executor_pool> const& pools, time_point now);
    /// Reserves capacity for a task of a group if one may start.
    void reserve_capacity(job_record const& job, std::uint16_t group,
                          std::size_t rank, time_point now);
    /// Removes the executors on which a start of the group's tasks would delay
    /// a reservation of a job that is earlier in the serving order.
    void exclude_reserved(job_record const& job, std::uint16_t group,
                          std::vector<placement_candidate>& candidates) const;
    /// Records a start of a task of the group.
    /// @return whether another one may start on the candidate
    [[nodiscard]] bool
    record_start_beside_reservations(job_record const& job, std::uint16_t group,
                                     placement_candidate& candidate);
    /// Whether a start on a candidate is allowed; marks the candidate if the
    /// start delays a reservation of a later job.
    [[nodiscard]] bool allows_start(job_record const& job, std::uint16_t group,
                                    placement_candidate& candidate) const;
    /// Logs the reservations on executors that are new for their jobs.
    void log_reservations(scheduler_context& context);

    // admission; an empty service name selects all services
    [[nodiscard]] admission_verdict evaluate_admission(job_record const& job,
                                                       time_point now) const;
    [[nodiscard]] bool serves(executor_record const& executor,
                              std::string_view service, time_point now) const;
    /// Capacity of the executors up to a slowdown, normalized to executors
    /// whose run times equal the estimates.
    [[nodiscard]] double usable_millicores(std::string_view service,
                                           time_point now,
                                           double slowest) const;
    [[nodiscard]] static serving_position
    serving_position_of(job_record const& job, time_point now, double slowest);
    [[nodiscard]] duration expected_wait(std::string_view service,
                                         time_point now) const;
    /// Retry delay of the caller of a rejected job.
    /// @param rejected_for time for which a resubmission would be rejected
    [[nodiscard]] duration retry_after(job_record const& job,
                                       duration rejected_for,
                                       time_point now) const;
    /// Slowdown range by service; services without a usable executor are
    /// missing.
    [[nodiscard]] std::map<std::string_view, slowdown_range>
    slowdowns(time_point now) const;
    /// Latest start at which the job meets its objective.
    [[nodiscard]] static time_point latest_start(job_record const& job);
    [[nodiscard]] static bool job_needs_fast_executor(job_record const& job,
                                                      time_point now,
                                                      double slowest);

    // runs and orders
    void start(job_record& job, std::uint16_t group, std::uint16_t index,
               executor_record& executor, duration expected_run_time,
               scheduler_context& context);
    void request_stop(executor_record& executor, run_record& run,
                      scheduler_context& context);
    /// Finds the run that an answer refers to and records the executor's clock;
    /// empty if the executor or the run is not known.
    [[nodiscard]] std::optional<answered_order>
    find_answered(order_answer const& answer, time_point now);
    /// Handles an answer by which the executor is lost; returns whether it is
    /// one.
    bool handle_executor_loss(executor_record& executor, order_outcome outcome,
                              scheduler_context& context);
    void start_answered(order_answer const& answer, scheduler_context& context);
    void stop_answered(order_answer const& answer, scheduler_context& context);
    /// Whether the executor has answered an order since a time.
    [[nodiscard]] static bool answered_since(executor_record const& executor,
                                             time_point sent_at);
    void record_clock(executor_record& executor,
                      std::optional<executor_clock> clock,
                      time_point now) const;
    /// Records a refusal for lack of capacity.
    /// @param refused the amounts of the refused run, which is still recorded
    static void record_refusal(executor_record& executor,
                               run_record const& refused,
                               scheduler_context& context);
    /// Gives all later orders a higher token. An executor that gets one of them
    /// refuses the earlier orders, which may arrive late: a new process of an
    /// executor would carry them out, as it knows no token and no run. The
    /// token stays below that of the next owner, whose clock may be behind.
    void renew_token(std::string_view reason, executor_record const& executor,
                     scheduler_context& context);
    /// Whether an executor refused an order because it has seen a later token
    /// of this owner; the order had no effect.
    [[nodiscard]] bool is_superseded(order_id order,
                                     order_outcome outcome) const;
    /// Handles a refusal by an executor that has seen a higher token.
    void fence_executor(executor_record& executor, scheduler_context& context);
    void lose_executor(executor_record& executor, std::string_view reason,
                       scheduler_context& context);
    /// Handles a new process of an executor at the same address.
    void restart_executor(executor_record& executor, executor_news const& news,
                          scheduler_context& context);
    /// Stops on the present process the runs that an earlier process has
    /// stopped, as their starts may still arrive.
    void repeat_stops(executor_record& executor, scheduler_context& context);
    /// Remembers a start without an answer, as it may arrive late.
    void record_unanswered_start(order_answer const& answer,
                                 scheduler_context& context);
    /// Records that the present process has accepted an order, and so refuses
    /// starts with earlier tokens.
    static void record_accepted_order(executor_record& executor,
                                      order_id order);
    [[nodiscard]] std::set<leased_task> tasks_with_late_starts() const;
    /// Sends the due stop orders of starts without a recorded run.
    void send_due_stops(executor_record& executor, scheduler_context& context);
    /// Ends or continues the stop orders of a start without an answer.
    void record_repeated_stop(order_answer const& answer, time_point now);
    /// Whether an order was sent to the executor's present process.
    [[nodiscard]] static bool
    was_sent_to_present_process(executor_record const& executor,
                                order_id order);
    void remove_run(executor_record& executor, task_run const& run);
    [[nodiscard]] run_record* find_run(executor_record& executor,
                                       task_run const& run) const;
    /// Time on the executor's clock at a time that is not long after now.
    [[nodiscard]] static std::optional<executor_clock>
    clock_at(executor_record const& executor, time_point time);
    [[nodiscard]] order_id next_order();

    // observations for the log
    /// Logs an acceptance that is late or that a process other than the
    /// recorded one may have given, and notes a start without an answer.
    void observe_start_answer(order_answer const& answer,
                              scheduler_context& context);
    /// Logs a stop that was not accepted; the run may go on.
    static void log_refused_stop(executor_record const& executor,
                                 run_record const& run, order_outcome outcome,
                                 scheduler_context& context);
    /// Notes a run that counts as ended although its end is not listed.
    void note_given_up(executor_record const& executor, run_record const& run,
                       std::string_view reason, time_point now);
    /// Logs the listed runs and ends that are not recorded.
    /// @pre the answer is not applied yet
    /// @param list_is_latest whether the answer is to the latest poll; a list
    /// that is older may name runs that have ended since
    void log_late_runs(executor_record& executor, poll_answer const& answer,
                       bool list_is_latest, scheduler_context& context) const;
    void log_late_run(executor_record const& executor, task_run const& run,
                      std::string_view event, poll_answer const& answer,
                      scheduler_context& context) const;

    // crashes
    /// Describes a run that is lost if the executor's process has ended.
    [[nodiscard]] static possible_crash
    make_possible_crash(executor_record const& executor, run_record const& run,
                        bool alone);
    /// Describes a possible crash for the log.
    [[nodiscard]] crash_evidence evidence_of(executor_record const& executor,
                                             possible_crash const& crash) const;
    /// Records a possible crash until the executor answers again.
    void suspect_crash(executor_record& executor, possible_crash const& crash,
                       scheduler_context& context);
    void suspect_crashes(executor_record& executor,
                         std::span<run_record const> runs,
                         scheduler_context& context);
    /// Records that the executor's process has ended.
    /// @pre its runs are still recorded
    static void record_process_end(executor_record& executor, time_point now);
    /// Records it unless the end is known and no later process has answered.
    static void notice_process_end(executor_record& executor, time_point now);
    /// Records that a new executor has the address of others, whose processes
    /// have ended.
    void record_successor(executor_record& successor, time_point now);
    /// Records the start of the process that has answered, if it is a new one.
    void record_process_start(executor_record& executor,
                              poll_answer const& answer, time_point now);
    /// Refutes the possible crashes of the process that has answered; those of
    /// earlier processes await the news of other executors.
    void resolve_crashes(executor_record& executor, poll_answer const& answer,
                         scheduler_context& context);
    void refute_crash(executor_record const& executor,
                      possible_crash const& crash, scheduler_context& context);
    /// Refutes all possible crashes of an executor whose process lives.
    void refute_crashes(executor_record& executor, scheduler_context& context);
    /// Judges a crash of a process before the present one.
    void judge_crash_before_restart(executor_record& executor,
                                    possible_crash const& crash,
                                    scheduler_context& context);
    void await_other_crashes(executor_record& executor,
                             possible_crash const& crash,
                             scheduler_context& context);
    /// Confirms crashes, or dismisses those that many executors share. Ends the
    /// jobs of tasks that are identified.
    void settle_crashes(scheduler_context& context);
    /// Records and logs the state of a crash.
    void record_crash(executor_record const& executor,
                      possible_crash const& crash, crash_state state,
                      std::string_view event, scheduler_context& context);
    void record_crash(executor_record const& executor,
                      possible_crash const& crash, crash_state state,
                      std::string_view event, crash_evidence const& evidence,
                      scheduler_context& context);
    /// Whether a task of the job that is not done must not start now.
    [[nodiscard]] bool is_withheld(job_record const& job, time_point now) const;
    /// Whether a crash of the executor is not settled yet.
    [[nodiscard]] bool has_unsettled_crash(executor_id executor) const;
    /// Ends the job of tasks that crash their executors, if one of them has
    /// crashed or failed as often as its route allows.
    void end_crash_looping_job(client_job_id id, scheduler_context& context);
    /// Counts a possible crash under each waiting task of an inherited job if
    /// an executor may have crashed without the knowledge of the earlier owner.
    void suspect_unlisted_tasks(job_record const& job,
                                scheduler_context& context);

    // leases
    /// Polls a sample of the executors with the token of a silent owner.
    void probe_owner(fencing_token silent_token, scheduler_context& context);
    /// Sends a poll.
    /// @param acknowledged last finished run that the executor may drop. Only a
    /// poll that follows an answer at once, or the first start on an idle
    /// executor, acknowledges any: a process that has started since the last
    /// answer numbers its own runs from 1 and would drop them unseen.
    void send_poll(executor_record& executor, scheduler_context& context,
                   std::uint64_t acknowledged = 0);
    void poll_answered(poll_answer const& answer, scheduler_context& context);
    void poll_failed(executor_record& executor, order_outcome outcome,
                     time_point sent_at, scheduler_context& context);
    /// Adds a run that only the executor has listed; it is stopped at the given
    /// time unless its job is offered before.
    static void add_listed_run(executor_record& executor, task_run const& run,
                               time_point now, time_point orphan_deadline);
    void claim_answered(executor_record& executor, poll_answer const& answer,
                        scheduler_context& context);
    void apply_finished_runs(executor_record& executor,
                             poll_answer const& answer,
                             scheduler_context& context);
    void reconcile_runs(executor_record& executor, poll_answer const& answer,
                        time_point sent_at, scheduler_context& context);
    /// Makes waiting tasks responsible for runs that the executor has listed
    /// unexpectedly, and stops those of other tasks.
    void adopt_or_stop_orphans(executor_record& executor,
                               scheduler_context& context);
    /// Delays the starts of a job that an earlier owner may have started until
    /// its runs are known.
    void await_claims(job_record& job, time_point now) const;
    /// Records a task that ended `done` under an earlier owner or an earlier
    /// submission of its job.
    void note_done_task(leased_task const& task, scheduler_context& context);
    /// Marks a task that is recorded as done, if it is waiting, and the groups
    /// before its own as done.
    static void complete_done_task(job_record& job, leased_task const& task,
                                   scheduler_context& context);
    /// Marks the waiting tasks of a job that are recorded as done.
    void complete_done_tasks(job_record& job, scheduler_context& context);
    void adopt_runs(job_record& job, scheduler_context& context);
    /// Makes the job responsible for a run that an earlier owner or an earlier
    /// submission of the job started.
    void adopt_run(job_record& job, executor_record& executor, run_record& run,
                   scheduler_context& context);
    /// Whether a run is to be stopped because no job has been offered for it.
    [[nodiscard]] static bool is_orphaned(executor_record const& executor,
                                          run_record const& run,
                                          time_point now);
    void check_runs(executor_record& executor, scheduler_context& context);
    void record_progress(executor_record& executor, listed_run const& listed,
                         scheduler_context& context);
    [[nodiscard]] bool needs_extra_poll(executor_record const& executor,
                                        time_point now) const;
    [[nodiscard]] static bool is_stalled(run_record const& run);
    void move_or_abandon_late_runs(scheduler_context& context);
    /// Stops a run so that its task can start on another executor.
    void move_run(executor_record& executor, run_record& run, job_record& job,
                  scheduler_context& context);
    /// Earliest time at which an executor may have the capacity; the capacity
    /// that is freed by then may still be too small.
    [[nodiscard]] static time_point
    capacity_available_at(executor_record const& executor,
                          resource_amounts const& amounts, time_point now);
    /// Projected run time of a run's task on an executor of average speed,
    /// based on its progress.
    [[nodiscard]] duration projected_work(executor_record const& executor,
                                          run_record const& run,
                                          job_record const& job) const;
    /// Whether another executor can finish a run's task before the deadline of
    /// its job.
    [[nodiscard]] bool can_finish_elsewhere(executor_record const& executor,
                                            run_record const& run,
                                            job_record const& job,
                                            time_point now) const;
    void tick(scheduler_context& context);
    [[nodiscard]] bool claims_complete(time_point now) const;
    /// Whether no executor can have a run that is not listed here.
    [[nodiscard]] bool all_runs_known() const;
    /// Time after which a lease has surely expired that is granted now.
    [[nodiscard]] duration lease_expiry_time() const;
    [[nodiscard]] static duration lease_expiry_time(duration lease);
    /// Time until which an order may extend the executor's lease. A run must
    /// have ended before its caller may resubmit the job, also if this owner is
    /// paused or lost.
    [[nodiscard]] time_point lease_limit(executor_record const& executor,
                                         time_point now) const;
    [[nodiscard]] time_point lease_limit(run_record const& run) const;
    /// Records news of the callers of an instance.
    void note_callers(instance_id instance, origin_news const& news);
    /// Time as of which the last message of an instance told its state; now if
    /// it has sent none.
    [[nodiscard]] time_point message_as_of(instance_id instance,
                                           time_point now) const;
    /// Records that the instance of a job's caller has offered the job.
    void note_offer(job_record& job, instance_id origin,
                    std::uint64_t sequence) const;
    /// Records that the caller may have left since a time; nothing but a new
    /// offer shows that it waits.
    void note_absence(job_record& job, time_point left_at) const;
    /// Refuses an offer whose caller may be back elsewhere.
    /// @return whether it has been refused
    [[nodiscard]] bool refuse_outdated(instance_id origin,
                                       job_offer const& offered,
                                       scheduler_context& context) const;
    /// Time at which the caller of a job was last known to wait;
    /// `time_point::max()` if no message of its instance has arrived.
    [[nodiscard]] time_point caller_waiting_at(job_record const& job) const;
    /// End of the lease that a start grants: it does not extend the lease
    /// beyond its limit.
    [[nodiscard]] time_point start_lease_end(executor_record const& executor,
                                             time_point now) const;
    /// Records that an order grants a lease until a time.
    static void grant_lease(executor_record& executor, time_point until,
                            time_point now);
    [[nodiscard]] bool accepts(executor_record const& executor,
                               time_point now) const;
};

} // namespace detail

} // namespace goldcrestgate::core
