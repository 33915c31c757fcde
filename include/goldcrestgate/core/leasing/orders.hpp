#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// Numbers the orders of one process, so that answers find their order.
using order_id = strong_id<struct order_tag, std::uint64_t>;

/// @brief Start a run on an executor.
struct start_run
{
    order_id order;
    executor_id executor;
    task_run run;
    std::string payload;
    fencing_token token;
    /// The lease of all runs on the executor, on its own clock.
    executor_clock lease_until;
    duration timeout{};
};

/// @brief Stop a run; one that is not there yet is then never started.
struct stop_run
{
    order_id order;
    executor_id executor;
    task_run run;
    fencing_token token;
    duration timeout{};
};

/// @brief Renew the lease of an executor and ask what runs and what ended.
struct poll_executor
{
    order_id order;
    executor_id executor;
    fencing_token token;
    /// Empty to look without a renewal.
    std::optional<executor_clock> lease_until;
    /// The last end that was processed; the executor forgets ends up to it.
    std::uint64_t acknowledged = 0;
    /// The executor answers when a run ends, or after this time.
    duration wait{};
    duration timeout{};
};

/// What became of an order.
enum class order_outcome : std::uint8_t
{
    accepted,
    /// The executor has seen a higher fencing token.
    fenced,
    /// An equal or later execution of the task has ended there.
    stale_execution,
    /// The lease that the order names has passed.
    lease_expired,
    no_room,
    /// The executor does not know how to run the task.
    invalid,
    /// The executor refused all work; it has done nothing.
    unhealthy,
    /// Another process lifetime of the executor answered.
    other_incarnation,
    /// The order surely did not arrive.
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
    /// Process lifetime that answered; 0 when the answer does not name it.
    std::uint64_t incarnation = 0;
    std::vector<listed_run> running;
    std::vector<finished_run> finished;
};

} // namespace goldcrestgate::core
