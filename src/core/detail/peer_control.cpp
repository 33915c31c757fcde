#include "goldcrestgate/core/detail/peer_control.hpp"

#include "goldcrestgate/core/submission/job_body.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

/// Minimum interval between requests for the same version of the settings.
constexpr duration pull_interval = std::chrono::milliseconds{500};

} // namespace

peer_control::peer_control(dispatcher_state& state, job_completion& completion,
                           attempt_control& attempts,
                           submission_control& submissions,
                           forward_control& forwards, slot_control& slots)
    : state_(state)
    , completion_(completion)
    , attempts_(attempts)
    , submissions_(submissions)
    , forwards_(forwards)
    , slots_(slots)
{
}

void peer_control::handle_message(peer_received&& received,
                                  event_context& context)
{
    std::visit(
        [&](auto& message)
        {
            // Messages without a handler belong to instances that lease
            // executors and are ignored by this dispatcher.
            if constexpr (requires { on(received.from, message, context); })
            {
                on(received.from, message, context);
            }
        },
        received.message);
}

void peer_control::handle_connected(instance_key const& peer,
                                    event_context& context)
{
    state_.members->connected(peer, context.now);
    state_.chain.peer_connected(peer, context.now, context.out);
    // Slot transfers may have been lost with the previous connection.
    slots_.restart(context);
    // Requests may be waiting for this peer.
    forwards_.view_changed(context);
}

void peer_control::handle_lost(core::peer_lost const& lost,
                               event_context& context)
{
    state_.members->connection_lost(lost.peer, lost.refused, context.now);
    apply_changes(context);
    forwards_.peer_lost(lost.peer, context);
}

void peer_control::on(instance_key const& /*from*/, hello const& /*message*/,
                      event_context& /*context*/)
{
}

void peer_control::on(instance_key const& from, heartbeat const& message,
                      event_context& context)
{
    state_.members->handle(from, message, context.now);
    pull_settings(from, message.settings, context);
}

void peer_control::on(instance_key const& from, probe_request const& message,
                      event_context& context)
{
    state_.members->handle(from, message, context.now, context.out);
}

void peer_control::on(instance_key const& from, probe_reply const& message,
                      event_context& context)
{
    state_.members->handle(from, message, context.now);
}

void peer_control::on(instance_key const& from, copy_batch const& message,
                      event_context& context)
{
    state_.store.handle(from, message, context.now, context.out);
}

void peer_control::on(instance_key const& from, copy_ack const& message,
                      event_context& context)
{
    state_.chain.handle(from, message, context.now);
}

void peer_control::on(instance_key const& from, copy_refused const& message,
                      event_context& context)
{
    state_.chain.handle(from, message, context.now);
}

void peer_control::on(instance_key const& from, seal_request const& message,
                      event_context& context)
{
    state_.store.handle(from, message, context.now, context.out);
}

void peer_control::on(instance_key const& from, seal_reply const& message,
                      event_context& context)
{
    state_.store.handle(from, message, context.now);
}

void peer_control::on(instance_key const& from, forward_request& message,
                      event_context& context)
{
    reply_target const target = forwarded_caller{from.instance, message.nonce};
    instance_key const& owner = message.submission.owner;
    if (state_.find_minter(owner) != nullptr)
    {
        answer_owned(message, target, context);
        return;
    }
    // This instance holds no copies of the jobs of its earlier processes, and
    // requests for other failure domains are forwarded only once.
    bool const is_misdirected = owner.domain != state_.options.self.domain ||
                                owner.instance == state_.options.self.instance;
    if (is_misdirected)
    {
        completion_.reply(target, {status_misdirected, {}}, context);
        return;
    }
    foreign_request request;
    request.kind = message.kind;
    request.target = target;
    request.submission = message.submission;
    request.body_hash = hash_body(message.body);
    request.body = std::move(message.body);
    request.wait = std::chrono::milliseconds{message.wait_ms};
    request.owner_lost = message.owner_lost;
    forwards_.begin(std::move(request), context);
}

void peer_control::answer_owned(forward_request& message,
                                reply_target const& target,
                                event_context& context)
{
    duration const wait = std::chrono::milliseconds{message.wait_ms};
    if (message.kind == forward_kind::submit && !state_.settings)
    {
        completion_.reply(target, format_no_settings(), context);
        return;
    }
    switch (message.kind)
    {
    case forward_kind::query:
        submissions_.query(target, message.submission, wait, context);
        return;
    case forward_kind::cancel:
        submissions_.cancel(target, message.submission, context);
        return;
    case forward_kind::submit:
        break;
    }
    auto parsed = parse_job_body(message.body);
    if (auto const* const failure = std::get_if<error>(&parsed))
    {
        completion_.reply(
            target,
            format_error(failure->code, failure->message, task_fate::not_run),
            context);
        return;
    }
    submissions_.submit(target, message.submission,
                        std::move(std::get<job_request>(parsed)), wait,
                        context);
}

void peer_control::on(instance_key const& from, forward_reply& message,
                      event_context& context)
{
    forwards_.reply(from, std::move(message), context);
}

void peer_control::on(instance_key const& from, settings_pull& message,
                      event_context& context)
{
    context.out.emplace_back(settings_exchange{from.instance, message});
}

void peer_control::on(instance_key const& from, settings_push& message,
                      event_context& context)
{
    context.out.emplace_back(
        settings_exchange{from.instance, std::move(message)});
}

void peer_control::on(instance_key const& from, slot_message& message,
                      event_context& /*context*/)
{
    slots_.received(from, message);
}

void peer_control::pull_settings(instance_key const& from,
                                 settings_version version,
                                 event_context& context)
{
    settings_version const own =
        state_.settings ? state_.settings->version : settings_version{};
    bool const was_requested = version <= requested_version_ &&
                               context.now - requested_at_ < pull_interval;
    if (version <= own || was_requested)
    {
        return;
    }
    requested_version_ = version;
    requested_at_ = context.now;
    context.out.emplace_back(send_to_peer{from.instance, settings_pull{own}});
}

void peer_control::on(attempt_released const& released, event_context& context)
{
    attempts_.send_released(released, context);
}

void peer_control::on(chain_lost const& lost, event_context& context)
{
    for (submission_id const& id : lost.submissions)
    {
        if (job* const owned_job = state_.table.find(id))
        {
            completion_.forbid_starts(*owned_job, error_code::copy_unavailable,
                                      "the copies of the job cannot be reached",
                                      context);
        }
    }
}

void peer_control::on(incarnation_sealed const& /*sealed*/,
                      event_context& context)
{
    instance_key const before = state_.self();
    std::vector<submission_id> open;
    state_.table.visit(state_.table.size(),
                       [&](job const& owned_job)
                       {
                           if (owned_job.state == job_state::running)
                           {
                               open.push_back(owned_job.id);
                           }
                       });
    std::sort(open.begin(), open.end());
    for (submission_id const& id : open)
    {
        completion_.forbid_starts(
            *state_.table.find(id), error_code::incarnation_sealed,
            "the incarnation that owns the job is sealed", context);
    }
    // The low bits of an incarnation are random, so the next number is
    // unlikely to be in use.
    state_.begin_incarnation(incarnation{before.incarnation.value() + 1});
    state_.chain.set_candidates(state_.members->copy_candidates(), context.now);
}

void peer_control::update(event_context& context)
{
    if (context.now >= state_.members->next_deadline())
    {
        local_status status;
        status.settings =
            state_.settings ? state_.settings->version : settings_version{};
        status.ready = state_.is_ready;
        status.open_tasks =
            static_cast<std::uint32_t>(state_.counts.open_attempts);
        state_.members->advance(context.now, status, context.out);
    }
    apply_changes(context);
    auto const store_due = state_.store.next_deadline();
    if (store_due && context.now >= *store_due)
    {
        state_.store.advance(context.now, context.out);
    }
    for (seal_finished const& seal : state_.store.take_finished_seals())
    {
        forwards_.sealing_finished(seal.owner, context);
    }
}

void peer_control::apply_changes(event_context& context)
{
    auto const changes = state_.members->take_changes();
    for (membership_change const& change : changes)
    {
        std::visit(
            [&](auto const& specific)
            {
                apply(specific, context);
            },
            change);
    }
    if (!changes.empty())
    {
        forwards_.view_changed(context);
    }
}

void peer_control::apply(instance_changed const& change, event_context& context)
{
    if (change.state == instance_state::gone)
    {
        state_.chain.peer_gone(change.instance, context.now);
    }
    if (change.state == instance_state::ended)
    {
        state_.chain.peer_ended(change.instance, change.may_have_sealed,
                                context.now);
        state_.store.peer_ended(change.instance, context.now);
    }
}

void peer_control::apply(view_changed const& /*change*/, event_context& context)
{
    state_.chain.set_candidates(state_.members->copy_candidates(), context.now);
    slots_.view_changed(context);
}

void peer_control::flush(event_context& context)
{
    // Outcomes may end tasks and so add records, which belong to the same batch
    // or, after a seal, to no batch at all.
    bool has_outcomes = true;
    while (has_outcomes)
    {
        state_.chain.flush(context.now, context.out);
        auto const outcomes = state_.chain.take_outcomes();
        for (chain_outcome const& outcome : outcomes)
        {
            std::visit(
                [&](auto const& specific)
                {
                    on(specific, context);
                },
                outcome);
        }
        has_outcomes = !outcomes.empty();
    }
}

std::optional<time_point> peer_control::next_deadline() const
{
    if (!state_.members)
    {
        return std::nullopt;
    }
    time_point earliest = state_.members->next_deadline();
    if (auto const due = state_.chain.next_deadline())
    {
        earliest = std::min(earliest, *due);
    }
    if (auto const due = state_.store.next_deadline())
    {
        earliest = std::min(earliest, *due);
    }
    return earliest;
}

} // namespace goldcrestgate::core::detail
