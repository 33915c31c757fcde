#pragma once

#include "goldcrestgate/core/detail/attempt_control.hpp"
#include "goldcrestgate/core/detail/dispatcher_state.hpp"
#include "goldcrestgate/core/detail/forward_control.hpp"
#include "goldcrestgate/core/detail/job_completion.hpp"
#include "goldcrestgate/core/detail/slot_control.hpp"
#include "goldcrestgate/core/detail/submission_control.hpp"
#include "goldcrestgate/core/events.hpp"

#include <optional>

namespace goldcrestgate::core::detail
{

/// @brief Passes messages and connection changes of peers to membership,
/// copies and forwarding, and applies their results to the jobs.
///
/// Not thread-safe; used by one dispatcher only.
class peer_control
{
public:
    peer_control(dispatcher_state& state, job_completion& completion,
                 attempt_control& attempts, submission_control& submissions,
                 forward_control& forwards, slot_control& slots);

    /// @brief Handles a message of a peer.
    void handle_message(peer_received&& received, event_context& context);

    /// @brief Handles an established connection.
    void handle_connected(instance_key const& peer, event_context& context);

    /// @brief Handles a connection that was lost or refused.
    void handle_lost(core::peer_lost const& lost, event_context& context);

    /// @brief Sends due heartbeats and probes and applies changes in membership
    /// and in the copies of other owners.
    void update(event_context& context);

    /// @brief Sends the records of the event to the copies and applies the
    /// outcomes, including releases of attempts.
    void flush(event_context& context);

    /// @brief Returns the time by which the next event must be handled.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

private:
    void on(instance_key const& from, hello const& message,
            event_context& context);
    void on(instance_key const& from, heartbeat const& message,
            event_context& context);
    void on(instance_key const& from, probe_request const& message,
            event_context& context);
    void on(instance_key const& from, probe_reply const& message,
            event_context& context);
    void on(instance_key const& from, copy_batch const& message,
            event_context& context);
    void on(instance_key const& from, copy_ack const& message,
            event_context& context);
    void on(instance_key const& from, copy_refused const& message,
            event_context& context);
    void on(instance_key const& from, seal_request const& message,
            event_context& context);
    void on(instance_key const& from, seal_reply const& message,
            event_context& context);
    void on(instance_key const& from, forward_request& message,
            event_context& context);
    void on(instance_key const& from, forward_reply& message,
            event_context& context);
    void on(instance_key const& from, settings_pull& message,
            event_context& context);
    void on(instance_key const& from, settings_push& message,
            event_context& context);

    void on(instance_key const& from, slot_message& message,
            event_context& context);

    void on(attempt_released const& released, event_context& context);
    void on(chain_lost const& lost, event_context& context);
    void on(incarnation_sealed const& sealed, event_context& context);

    void answer_owned(forward_request& message, reply_target const& target,
                      event_context& context);
    void pull_settings(instance_key const& from, settings_version version,
                       event_context& context);
    void apply_changes(event_context& context);
    void apply(instance_changed const& change, event_context& context);
    void apply(view_changed const& change, event_context& context);

    dispatcher_state& state_;
    job_completion& completion_;
    attempt_control& attempts_;
    submission_control& submissions_;
    forward_control& forwards_;
    slot_control& slots_;
    settings_version requested_version_;
    time_point requested_at_;
};

} // namespace goldcrestgate::core::detail
