#include "goldcrestgate/core/leasing/detail/order_timing.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

namespace
{

/// Time for which an order without an answer may still arrive. The platform
/// names no bound but "seconds later"; delays of up to 12 s were seen.
constexpr duration late_order_time = std::chrono::seconds{13};

void forget_old_starts(executor_record& executor, time_point now)
{
    std::erase_if(executor.unanswered_starts,
                  [now](unanswered_start const& start)
                  {
                      return start.until <= now;
                  });
}

} // namespace

// The run may have been removed after an accepted stop. That stop and the start
// were sent to an earlier process if the executor has restarted since.
void scheduler_state::record_unanswered_start(order_answer const& answer,
                                              scheduler_context& context)
{
    auto const found = executors.find(answer.executor);
    if (!owner || found == executors.end())
    {
        return;
    }
    auto& executor = found->second;
    forget_old_starts(executor, context.now);
    std::optional<time_point> stop_due;
    if (!was_sent_to_present_process(executor, answer.order))
    {
        stop_due = context.now;
    }
    if (answer.order.value() > last_order_of_earlier_token.value())
    {
        renew_token("start_unanswered", executor, context);
    }
    executor.unanswered_starts.push_back(
        {answer.run, context.now + late_order_time, stop_due,
         last_order_of_earlier_token});
}

void scheduler_state::repeat_stops(executor_record& executor,
                                   scheduler_context& context)
{
    for (auto& run : executor.runs)
    {
        if (run.phase == run_phase::stop_accepted)
        {
            run.phase = run_phase::stopping;
            request_stop(executor, run, context);
        }
    }
    for (auto& start : executor.unanswered_starts)
    {
        start.stop_due = context.now;
        start.refused_if_late = false;
    }
    send_due_stops(executor, context);
}

void scheduler_state::record_accepted_order(executor_record& executor,
                                            order_id order)
{
    for (auto& start : executor.unanswered_starts)
    {
        if (order.value() > start.last_order_of_token.value())
        {
            start.refused_if_late = true;
        }
    }
}

std::set<leased_task> scheduler_state::tasks_with_late_starts() const
{
    std::set<leased_task> tasks;
    for (auto const& [id, executor] : executors)
    {
        for (auto const& start : executor.unanswered_starts)
        {
            if (!start.refused_if_late)
            {
                tasks.insert(start.run.task);
            }
        }
    }
    return tasks;
}

// A recorded run has stop orders of its own.
void scheduler_state::send_due_stops(executor_record& executor,
                                     scheduler_context& context)
{
    forget_old_starts(executor, context.now);
    if (executor.fenced)
    {
        return;
    }
    for (auto& start : executor.unanswered_starts)
    {
        bool const is_due = start.stop_due && *start.stop_due <= context.now;
        if (!is_due || find_run(executor, start.run) != nullptr)
        {
            continue;
        }
        start.stop_due = context.now + order_answer_timeout + stop_retry_delay;
        context.out.emplace_back(stop_run{next_order(), executor.id, start.run,
                                          token, order_answer_timeout});
    }
}

void scheduler_state::record_repeated_stop(order_answer const& answer,
                                           time_point now)
{
    auto const found = executors.find(answer.executor);
    if (found == executors.end() ||
        !was_sent_to_present_process(found->second, answer.order))
    {
        return;
    }
    auto& starts = found->second.unanswered_starts;
    auto const start =
        std::ranges::find(starts, answer.run, &unanswered_start::run);
    if (start == starts.end() || !start->stop_due)
    {
        return;
    }
    bool const accepted = answer.outcome == order_outcome::accepted ||
                          answer.outcome == order_outcome::stale_execution;
    start->stop_due =
        accepted ? std::nullopt : std::optional{now + stop_retry_delay};
}

} // namespace goldcrestgate::core::detail
