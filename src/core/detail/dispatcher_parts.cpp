#include "goldcrestgate/core/detail/dispatcher_parts.hpp"

#include <utility>

namespace goldcrestgate::core::detail
{

dispatcher_parts::dispatcher_parts(dispatcher_options options)
    : state(std::move(options))
{
    // Instances transfer free slots on demand, so none is used beyond the own
    // share.
    state.router.set_borrowing(false);
}

void dispatcher_parts::on(mint_ids& request, event_context& context)
{
    submissions.mint(request, context);
}

void dispatcher_parts::on(submit_job& submitted, event_context& context)
{
    reply_target const target = local_caller{submitted.request};
    if (!has_settings(target, context))
    {
        return;
    }
    if (state.find_minter(submitted.submission.owner) != nullptr)
    {
        submissions.submit(target, submitted.submission,
                           std::move(submitted.job), submitted.wait, context);
        return;
    }
    foreign_request request;
    request.kind = forward_kind::submit;
    request.target = target;
    request.submission = submitted.submission;
    request.body = std::move(submitted.job.body);
    request.body_hash = submitted.job.body_hash;
    request.wait = submitted.wait;
    forwards.begin(std::move(request), context);
}

void dispatcher_parts::on(query_job& query, event_context& context)
{
    reply_target const target = local_caller{query.request};
    if (state.find_minter(query.submission.owner) != nullptr)
    {
        submissions.query(target, query.submission, query.wait, context);
        return;
    }
    foreign_request request;
    request.target = target;
    request.submission = query.submission;
    request.wait = query.wait;
    forwards.begin(std::move(request), context);
}

void dispatcher_parts::on(cancel_job& cancellation, event_context& context)
{
    reply_target const target = local_caller{cancellation.request};
    if (state.find_minter(cancellation.submission.owner) != nullptr)
    {
        submissions.cancel(target, cancellation.submission, context);
        return;
    }
    foreign_request request;
    request.kind = forward_kind::cancel;
    request.target = target;
    request.submission = cancellation.submission;
    request.wait = state.options.cancel_wait;
    forwards.begin(std::move(request), context);
}

void dispatcher_parts::on(core::caller_disconnected& disconnected,
                          event_context& /*context*/)
{
    forwards.drop_caller(disconnected.request);
    submissions.drop_caller(disconnected.request);
}

void dispatcher_parts::on(core::attempt_ended& ended, event_context& context)
{
    attempts.handle_attempt_end(std::move(ended), context);
}

void dispatcher_parts::on(peer_received& received, event_context& context)
{
    peers.handle_message(std::move(received), context);
}

void dispatcher_parts::on(peer_connected& connected, event_context& context)
{
    peers.handle_connected(connected.peer, context);
}

void dispatcher_parts::on(peer_lost& lost, event_context& context)
{
    peers.handle_lost(lost, context);
}

// Only the entry daemon's jobs depend on it.
void dispatcher_parts::on(peer_messages_lost& /*lost*/,
                          event_context& /*context*/)
{
}

void dispatcher_parts::on(instance_list& list, event_context& context)
{
    state.has_instance_list = true;
    state.members->update_list(list.entries, context.now, context.out);
    servers.apply(list, context);
    update_ready(context);
}

void dispatcher_parts::on(settings_changed& changed, event_context& context)
{
    state.settings = std::move(changed.settings);
    state.router.set_settings(state.settings);
    state.queue.set_settings(state.settings);
    update_ready(context);
}

void dispatcher_parts::on(tick& /*passed*/, event_context& /*context*/)
{
}

void dispatcher_parts::on(begin_stop& /*request*/, event_context& context)
{
    state.is_stopping = true;
    update_ready(context);
}

void dispatcher_parts::run_timers(event_context& context)
{
    while (auto const due = state.timers.pop_due(context.now))
    {
        run_timer(*due, context);
    }
}

void dispatcher_parts::run_timer(timer const& due, event_context& context)
{
    switch (due.kind)
    {
    case timer_kind::waiter:
        completion.expire_waiters(due.task.submission, context);
        break;
    case timer_kind::deadline:
        if (job* const owned_job = state.table.find(due.task.submission))
        {
            completion.expire_deadline(*owned_job, context);
        }
        break;
    case timer_kind::retry:
        attempts.retry_due(due.task, context);
        break;
    case timer_kind::hedge:
        attempts.hedge_due(due, context);
        break;
    case timer_kind::retention:
        submissions.drop_due(due.task.submission, context);
        break;
    case timer_kind::place:
        state.is_place_timer_set = false;
        break;
    case timer_kind::forward:
        forwards.timed_out(due.nonce, context);
        break;
    case timer_kind::handover:
        break;
    }
}

void dispatcher_parts::begin(event_context& context)
{
    if (!state.members)
    {
        state.members = membership_builder{}
                            .self(state.options.self)
                            .rack(state.options.rack)
                            .build(context.now);
    }
}

void dispatcher_parts::finish(event_context& context)
{
    peers.update(context);
    if (state.settings)
    {
        attempts.place_waiting(context);
    }
    peers.flush(context);
    slots.exchange(context);
    if (state.is_stopping && !state.is_stopped)
    {
        stop_when_idle(context);
    }
}

void dispatcher_parts::stop_when_idle(event_context& context)
{
    bool const is_idle = state.counts.open_jobs == 0 &&
                         state.counts.open_attempts == 0 &&
                         state.local_requests.empty() && forwards.is_idle();
    if (!is_idle && !state.options.defects.stops_at_once)
    {
        return;
    }
    if (!state.handover_until)
    {
        // Within the time limit for copies, the peers replace this instance in
        // their copy sets and its last records reach its copies.
        bool const has_peers = state.members->live_count() > 1;
        state.handover_until =
            has_peers ? context.now + state.options.copy_wait : context.now;
        timer entry;
        entry.due = *state.handover_until;
        entry.kind = timer_kind::handover;
        state.timers.add(entry);
    }
    if (context.now >= *state.handover_until)
    {
        state.is_stopped = true;
        context.out.emplace_back(stopped{});
    }
}

void dispatcher_parts::update_ready(event_context& context)
{
    bool const ready =
        state.settings && state.has_instance_list && !state.is_stopping;
    if (ready != state.is_ready)
    {
        state.is_ready = ready;
        context.out.emplace_back(set_ready{ready});
    }
}

bool dispatcher_parts::has_settings(reply_target const& target,
                                    event_context& context)
{
    if (!state.settings)
    {
        completion.reply(target, format_no_settings(), context);
        return false;
    }
    return true;
}

} // namespace goldcrestgate::core::detail
