#pragma once

#include "goldcrestgate/core/leasing/executor_health.hpp"
#include "goldcrestgate/core/leasing/orders.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace goldcrestgate::core::detail
{

/// State of a run as known to this instance.
enum class run_phase : std::uint8_t
{
    /// The start order is not answered yet.
    starting,
    running,
    /// A stop order is due or not answered yet.
    stopping,
    /// The stop was accepted; the run ends within the stop time.
    stop_accepted
};

/// @brief A run that an executor may have had when its process ended.
struct possible_crash
{
    task_run run;
    /// Identifies the run and the process, see @ref crash_observation.
    std::uint64_t id = 0;
    /// How the executor showed that it had the run, see @ref crash_evidence.
    std::string_view start{};
    /// Process that may have had the run; 0 if it is not known.
    std::uint64_t incarnation = 0;
    /// Time of the last sign of the run.
    time_point seen_at{};
    /// Whether the executor had no other run.
    bool alone = false;
    /// Whether the task was a suspect already.
    bool isolated = false;

    /// Whether the executor has shown that it had the run.
    [[nodiscard]] bool is_run_confirmed() const
    {
        return seen_at != time_point{};
    }
};

/// @brief Returns the start of a process, at which its clock showed 0, from a
/// reading of the clock.
[[nodiscard]] inline time_point process_start(executor_clock clock,
                                              time_point read_at)
{
    return read_at - std::chrono::milliseconds{clock.value()};
}

/// @brief End of an executor's process.
struct process_end
{
    time_point noticed_at{};
    /// Start of the next process, once it has answered.
    std::optional<time_point> next_start{};
    /// Whether the process ran a suspect task, which explains its end.
    bool had_suspect = false;

    /// Latest time at which the process may have ended.
    [[nodiscard]] time_point latest() const
    {
        return next_start.value_or(noticed_at);
    }
};

/// @brief A crash of an executor that has restarted. It is judged when the
/// restarts of other executors are known.
struct unsettled_crash
{
    executor_id executor;
    possible_crash crash;
    /// Time at which it is confirmed, unless it is shared.
    time_point due{};
    /// Time until which the start of the next process may become known.
    time_point expires_at{};
};

/// @brief A run that may be on an executor.
struct run_record
{
    task_run run;
    run_phase phase = run_phase::starting;
    resource_amounts amounts;
    /// Estimated run time on an executor of average speed; 0 for a run that an
    /// earlier owner started, which is no sample of the executor's speed.
    duration estimate{};
    duration expected_run_time{};
    time_point sent_at{};
    /// Time at which the executor accepted the start order or first listed the
    /// run.
    time_point confirmed_at{};
    /// Time of the next stop order, or the end of the stop time.
    time_point stop_due{};
    bool stop_in_flight = false;
    /// Time at which the executor last listed the run as running.
    time_point listed_at{};
    /// Highest progress that was listed, and when it was first seen.
    std::uint32_t progress_percent = 0;
    time_point progress_at{};
    /// Earliest end of the run, projected from its progress.
    std::optional<time_point> projected_end;
    /// Set for a run whose job is not known here, such as that of an earlier
    /// owner until its job is offered again; the run is stopped at this time.
    std::optional<time_point> orphan_deadline;
    /// Whether an executor may have crashed under the task; nothing is started
    /// beside the run.
    bool isolated = false;
    /// Set if the executor has restarted since the start was sent, and an
    /// earlier process may have had the run.
    std::optional<possible_crash> before_restart;
};

/// @brief Amounts that an executor has refused for lack of capacity, although
/// its listed capacity has room for them.
struct capacity_refusal
{
    /// Amounts of all runs with the refused one.
    resource_amounts total;
    /// Time until which no start may reach the total.
    time_point expires_at{};
    /// Number of refusals in a row.
    std::uint32_t count = 0;
};

/// @brief A start that got no answer and may arrive late.
struct unanswered_start
{
    task_run run;
    /// Time until which the start may arrive.
    time_point until{};
    /// Time of the next stop order, unless the present process has accepted a
    /// stop of the run.
    std::optional<time_point> stop_due;
    /// Last order with the token of the start. The present process refuses the
    /// start after it has accepted a later order.
    order_id last_order_of_token;
    /// Whether the present process has accepted a later order.
    bool refused_if_late = false;
};

/// @brief State of one executor as known to its owner.
struct executor_record
{
    executor_id id;
    executor_description description;
    bool listed = true;
    /// Time from which a new executor gets tasks; by then the other instances
    /// know it.
    time_point usable_at{};
    time_point unlisted_at{};
    /// Whether a poll with the current token was answered.
    bool claimed = false;
    /// Whether an order was refused because the executor has seen a higher
    /// token.
    bool fenced = false;
    std::optional<executor_clock> clock;
    time_point clock_at{};
    /// Time at which all runs on the executor have ended because its lease
    /// expired, unless an order renews the lease.
    time_point lease_expires_at{};
    /// End of the longest lease that this owner has granted.
    time_point granted_until{};
    /// Whether the last poll granted a much shorter lease than the longest one.
    bool lease_withheld = false;
    std::uint64_t acknowledged = 0;
    /// Last order that was sent before this instance knew of the executor's
    /// present process or took ownership. An earlier process may have answered
    /// it and the orders before it, or the token may have been an earlier one.
    order_id last_uncertain_order;
    /// Starts that got no answer, until they can no longer arrive; their runs
    /// are stopped.
    std::vector<unanswered_start> unanswered_starts;
    std::optional<order_id> poll;
    time_point poll_sent_at{};
    time_point next_poll_at{};
    /// Whether the last poll failed; polls then do not renew the lease.
    bool unresponsive = false;
    /// Whether a poll must confirm the free capacity before the next start.
    bool capacity_unconfirmed = false;
    resource_amounts used;
    std::optional<capacity_refusal> refusal;
    std::vector<run_record> runs;
    /// Runs of a process that may have ended under them, until the executor
    /// answers again.
    std::vector<possible_crash> possible_crashes;
    /// End of the latest process that ended.
    std::optional<process_end> last_process_end;
    /// Executor that had the address before; its process has ended.
    std::optional<executor_id> predecessor;
    executor_health health;

    /// Capacity that no run uses.
    [[nodiscard]] resource_amounts free_capacity() const
    {
        auto free_capacity = description.capacity;
        free_capacity -= used;
        return free_capacity;
    }

    /// Whether the executor would refuse the amounts, as it has refused as much
    /// shortly before.
    [[nodiscard]] bool would_refuse(resource_amounts const& amounts,
                                    time_point now) const
    {
        auto total = used;
        total += amounts;
        return refusal && now < refusal->expires_at &&
               refusal->total.fits_into(total);
    }
};

/// @brief News about the process of an executor.
struct executor_news
{
    /// Origin of the news; see @ref executor_change.
    std::string_view source{};
    /// The present process; 0 if the news does not name it.
    std::uint64_t incarnation = 0;
};

} // namespace goldcrestgate::core::detail
