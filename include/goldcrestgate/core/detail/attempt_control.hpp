#pragma once

#include "goldcrestgate/core/detail/dispatcher_state.hpp"
#include "goldcrestgate/core/detail/job_completion.hpp"
#include "goldcrestgate/core/events.hpp"
#include "goldcrestgate/core/submission/job.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace goldcrestgate::core::detail
{

/// @brief Places waiting tasks, sends attempts, and decides on a retry when an
/// attempt ends.
///
/// Not thread-safe; used by one dispatcher only.
class attempt_control
{
public:
    attempt_control(dispatcher_state& state, job_completion& completion);

    /// @brief Places waiting tasks until no capacity is left.
    void place_waiting(event_context& context);

    /// @brief Sends an attempt after all copies have acknowledged its start
    /// record.
    void send_released(attempt_released const& released,
                       event_context& context);

    /// @brief Handles the end of an attempt on a backend server.
    void handle_attempt_end(core::attempt_ended ended, event_context& context);

    /// @brief Queues a task again when its backoff after a refusal has elapsed.
    void retry_due(task_key const& key, event_context& context);

    /// @brief Starts a hedged attempt of a task whose first attempt is a
    /// straggler.
    void hedge_due(timer const& entry, event_context& context);

    /// @brief Queues a task of an admitted job.
    void enqueue(job& owned_job, std::size_t index, event_context& context);

    /// @brief Queues a task for a retry, ahead of the other tasks of its job.
    void requeue(job& owned_job, std::size_t index, event_context& context);

private:
    /// Outcome of an attempt to place a task from the queue.
    enum class queue_outcome : std::uint8_t
    {
        /// The task was started, or must not start any more.
        dequeued,
        /// Only slow servers are free; a busy one is expected to finish the
        /// task earlier.
        better_to_wait,
        no_capacity
    };

    waiting_task make_waiting(job const& owned_job, std::size_t index,
                              event_context& context) const;
    queue_outcome place(waiting_task const& waiting, duration waiting_work,
                        bool is_last, event_context& context);
    bool place_last(event_context& context);
    [[nodiscard]] bool has_excluded_servers(task_key const& key) const;
    placement_result choose(job const& owned_job, job_task const& task,
                            duration waiting_work, event_context& context);
    void begin_attempt(job& owned_job, std::size_t index,
                       placement const& chosen, bool is_hedge,
                       event_context& context);
    void send_attempt(job& owned_job, std::size_t index, task_attempt& attempt,
                      event_context& context);
    void record_placement(task_key const& key, placement const& chosen,
                          decision_kind kind, event_context& context);
    void arm_hedge(job const& owned_job, std::size_t index,
                   task_attempt const& attempt, duration delay);

    void record_server_response(core::attempt_ended const& ended,
                                event_context& context);
    void handle_success(job& owned_job, std::size_t index,
                        core::attempt_ended& ended, event_context& context);
    void handle_unsuccessful_end(job& owned_job, std::size_t index,
                                 core::attempt_ended const& ended,
                                 event_context& context);
    void handle_refusal(job& owned_job, std::size_t index,
                        core::attempt_ended const& ended,
                        event_context& context);
    void handle_failure_or_loss(job& owned_job, std::size_t index,
                                core::attempt_ended const& ended,
                                event_context& context);
    void end_without_retry(job& owned_job, std::size_t index, error_code code,
                           std::string message, event_context& context);
    void record_attempt_decision(task_key const& key, server_id server,
                                 decision_kind kind, std::string_view reason,
                                 event_context& context);

    dispatcher_state& state_;
    job_completion& completion_;
    /// Tasks that found no server and return to the queue.
    std::vector<waiting_task> skipped_;
};

} // namespace goldcrestgate::core::detail
