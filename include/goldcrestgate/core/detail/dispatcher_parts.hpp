#pragma once

#include "goldcrestgate/core/detail/attempt_control.hpp"
#include "goldcrestgate/core/detail/dispatcher_state.hpp"
#include "goldcrestgate/core/detail/forward_control.hpp"
#include "goldcrestgate/core/detail/job_completion.hpp"
#include "goldcrestgate/core/detail/peer_control.hpp"
#include "goldcrestgate/core/detail/server_control.hpp"
#include "goldcrestgate/core/detail/slot_control.hpp"
#include "goldcrestgate/core/detail/submission_control.hpp"
#include "goldcrestgate/core/events.hpp"

namespace goldcrestgate::core::detail
{

/// @brief The components of a dispatcher; passes each event to the one that
/// handles it.
///
/// Not thread-safe; used by one dispatcher only.
struct dispatcher_parts
{
    explicit dispatcher_parts(dispatcher_options options);

    void on(mint_ids& request, event_context& context);
    void on(submit_job& submitted, event_context& context);
    void on(query_job& query, event_context& context);
    void on(cancel_job& cancellation, event_context& context);
    void on(core::caller_disconnected& disconnected, event_context& context);
    void on(core::attempt_ended& ended, event_context& context);
    void on(peer_received& received, event_context& context);
    void on(peer_connected& connected, event_context& context);
    void on(peer_messages_lost& lost, event_context& context);
    void on(peer_lost& lost, event_context& context);
    void on(instance_list& list, event_context& context);
    void on(settings_changed& changed, event_context& context);
    void on(tick& passed, event_context& context);
    void on(begin_stop& request, event_context& context);

    /// @brief Initializes the membership with the time of the first event;
    /// later calls do nothing.
    void begin(event_context& context);

    /// @brief Runs the timers that are due.
    void run_timers(event_context& context);

    /// @brief Completes the handling of an event: updates membership, places
    /// waiting tasks, sends copy records, exchanges slots and checks for the
    /// end of a stop.
    void finish(event_context& context);

    dispatcher_state state;
    job_completion completion{state};
    attempt_control attempts{state, completion};
    submission_control submissions{state, completion, attempts};
    server_control servers{state};
    forward_control forwards{state, completion};
    slot_control slots{state};
    peer_control peers{state,       completion, attempts,
                       submissions, forwards,   slots};

private:
    void run_timer(timer const& due, event_context& context);
    void update_ready(event_context& context);
    void stop_when_idle(event_context& context);
    bool has_settings(reply_target const& target, event_context& context);
};

} // namespace goldcrestgate::core::detail
