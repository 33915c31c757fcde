#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// Sequence number of an order within one process; matches an answer to its
/// order.
using order_id = strong_id<struct order_tag, std::uint64_t>;

/// @brief Start a run on an executor.
struct start_run
{
    order_id order;
    executor_id executor;
    task_run run;
    std::string payload;
    fencing_token token;
    /// End of the lease of all runs on the executor, on the executor's clock.
    executor_clock lease_until;
    duration timeout{};
};

/// @brief Stop a run; a run that has not started yet then never starts.
struct stop_run
{
    order_id order;
    executor_id executor;
    task_run run;
    fencing_token token;
    duration timeout{};
};

/// @brief Poll an executor for its running and finished runs, and renew its
/// lease; the metrics count these orders as `hold`.
struct poll_executor
{
    order_id order;
    executor_id executor;
    fencing_token token;
    /// Empty to poll without renewing the lease.
    std::optional<executor_clock> lease_until;
    /// Number of the last finished run that was processed; the executor drops
    /// finished runs up to it.
    std::uint64_t acknowledged = 0;
    /// Long-poll wait: the executor answers when a run ends, or after this
    /// time.
    duration wait{};
    duration timeout{};
};

/// Outcome of an order.
enum class order_outcome : std::uint8_t
{
    accepted,
    /// The executor has seen a higher fencing token.
    fenced,
    /// The same or a later execution of the task has ended on the executor.
    stale_execution,
    /// The lease in the order has expired.
    lease_expired,
    no_room,
    /// The executor cannot run the task.
    invalid,
    /// The executor refuses all work; the order had no effect.
    unhealthy,
    /// Another process lifetime of the executor answered.
    other_incarnation,
    /// The order certainly did not arrive.
    not_sent,
    /// The order may have arrived, or may arrive later.
    unanswered
};

/// @brief Returns the stable snake_case name of an outcome, for logs.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string_view outcome_name(order_outcome outcome);

/// @brief Answers a @ref start_run or @ref stop_run.
struct order_answer
{
    order_id order;
    executor_id executor;
    task_run run;
    order_outcome outcome = order_outcome::unanswered;
    std::optional<executor_clock> clock;
};

/// @brief Answers a @ref poll_executor.
struct poll_answer
{
    order_id order;
    executor_id executor;
    order_outcome outcome = order_outcome::unanswered;
    std::optional<executor_clock> clock;
    /// Process lifetime that answered; 0 if the answer does not name it.
    std::uint64_t incarnation = 0;
    std::vector<listed_run> running;
    std::vector<finished_run> finished;
    /// Whether both lists could be read as a whole; a run that is not in an
    /// incomplete list may still exist.
    bool complete = true;
};

} // namespace goldcrestgate::core
