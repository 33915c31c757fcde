#include "goldcrestgate/core/detail/peer_control.hpp"

#include "goldcrestgate/core/submission/job_body.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace goldcrestgate::core::detail
{

namespace
{

/// The same version of the settings is asked for again after this time.
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

void peer_control::received(peer_received&& received, turn& now)
{
    std::visit(
        [&](auto& message)
        {
            // Instances that lease executors have messages of their own, which
            // say nothing to this dispatcher.
            if constexpr (requires { on(received.from, message, now); })
            {
                on(received.from, message, now);
            }
        },
        received.message);
}

void peer_control::connected(instance_key const& peer, turn& now)
{
    state_.members->connected(peer, now.now);
    state_.chain.peer_connected(peer, now.now, now.out);
    // Slots may have been lost with the earlier connection.
    slots_.restart(now);
    // Requests may wait for this peer.
    forwards_.view_changed(now);
}

void peer_control::lost(core::peer_lost const& lost, turn& now)
{
    state_.members->connection_lost(lost.peer, lost.refused, now.now);
    apply_changes(now);
    forwards_.peer_lost(lost.peer, now);
}

void peer_control::on(instance_key const& /*from*/, hello const& /*message*/,
                      turn& /*now*/)
{
}

void peer_control::on(instance_key const& from, heartbeat const& message,
                      turn& now)
{
    state_.members->handle(from, message, now.now);
    pull_settings(from, message.settings, now);
}

void peer_control::on(instance_key const& from, probe_request const& message,
                      turn& now)
{
    state_.members->handle(from, message, now.now, now.out);
}

void peer_control::on(instance_key const& from, probe_reply const& message,
                      turn& now)
{
    state_.members->handle(from, message, now.now);
}

void peer_control::on(instance_key const& from, copy_batch const& message,
                      turn& now)
{
    state_.store.handle(from, message, now.now, now.out);
}

void peer_control::on(instance_key const& from, copy_ack const& message,
                      turn& now)
{
    state_.chain.handle(from, message, now.now);
}

void peer_control::on(instance_key const& from, copy_refused const& message,
                      turn& now)
{
    state_.chain.handle(from, message, now.now);
}

void peer_control::on(instance_key const& from, seal_request const& message,
                      turn& now)
{
    state_.store.handle(from, message, now.now, now.out);
}

void peer_control::on(instance_key const& from, seal_reply const& message,
                      turn& now)
{
    state_.store.handle(from, message, now.now);
}

void peer_control::on(instance_key const& from, forward_request& message,
                      turn& now)
{
    reply_target const target = forwarded_caller{from.instance, message.nonce};
    instance_key const& owner = message.submission.owner;
    if (state_.find_minter(owner) != nullptr)
    {
        answer_owned(message, target, now);
        return;
    }
    // An earlier process of this instance holds no copy of its own jobs, and
    // requests for other failure domains go one step only.
    bool const is_misdirected = owner.domain != state_.options.self.domain ||
                                owner.instance == state_.options.self.instance;
    if (is_misdirected)
    {
        completion_.reply(target, {status_misdirected, {}}, now);
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
    forwards_.begin(std::move(request), now);
}

void peer_control::answer_owned(forward_request& message,
                                reply_target const& target, turn& now)
{
    duration const wait = std::chrono::milliseconds{message.wait_ms};
    if (message.kind == forward_kind::submit && !state_.settings)
    {
        completion_.reply(target, format_no_settings(), now);
        return;
    }
    switch (message.kind)
    {
    case forward_kind::query:
        submissions_.query(target, message.submission, wait, now);
        return;
    case forward_kind::cancel:
        submissions_.cancel(target, message.submission, now);
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
            now);
        return;
    }
    submissions_.submit(target, message.submission,
                        std::move(std::get<job_request>(parsed)), wait, now);
}

void peer_control::on(instance_key const& from, forward_reply& message,
                      turn& now)
{
    forwards_.reply(from, std::move(message), now);
}

void peer_control::on(instance_key const& from, settings_pull& message,
                      turn& now)
{
    now.out.emplace_back(settings_exchange{from.instance, message});
}

void peer_control::on(instance_key const& from, settings_push& message,
                      turn& now)
{
    now.out.emplace_back(settings_exchange{from.instance, std::move(message)});
}

void peer_control::on(instance_key const& from, slot_message& message,
                      turn& /*now*/)
{
    slots_.received(from, message);
}

void peer_control::pull_settings(instance_key const& from,
                                 settings_version version, turn& now)
{
    settings_version const own =
        state_.settings ? state_.settings->version : settings_version{};
    bool const was_asked =
        version <= asked_version_ && now.now - asked_at_ < pull_interval;
    if (version <= own || was_asked)
    {
        return;
    }
    asked_version_ = version;
    asked_at_ = now.now;
    now.out.emplace_back(send_to_peer{from.instance, settings_pull{own}});
}

void peer_control::on(attempt_released const& released, turn& now)
{
    attempts_.released(released, now);
}

void peer_control::on(chain_lost const& lost, turn& now)
{
    for (submission_id const& id : lost.submissions)
    {
        if (job* const held = state_.table.find(id))
        {
            completion_.bar_starts(*held, error_code::copy_unavailable,
                                   "the copies of the job cannot be reached",
                                   now);
        }
    }
}

void peer_control::on(incarnation_sealed const& /*sealed*/, turn& now)
{
    instance_key const before = state_.self();
    std::vector<submission_id> open;
    state_.table.visit(state_.table.size(),
                       [&](job const& held)
                       {
                           if (held.state == job_state::running)
                           {
                               open.push_back(held.id);
                           }
                       });
    std::sort(open.begin(), open.end());
    for (submission_id const& id : open)
    {
        completion_.bar_starts(*state_.table.find(id),
                               error_code::incarnation_sealed,
                               "a copy has sealed the job's incarnation", now);
    }
    // The low bits of an incarnation are random, so its successor is new.
    state_.renew(incarnation{before.incarnation.value() + 1});
    state_.chain.set_candidates(state_.members->copy_candidates(), now.now);
}

void peer_control::update(turn& now)
{
    if (now.now >= state_.members->next_deadline())
    {
        local_status facts;
        facts.settings =
            state_.settings ? state_.settings->version : settings_version{};
        facts.ready = state_.is_ready;
        facts.open_tasks =
            static_cast<std::uint32_t>(state_.counts.open_attempts);
        state_.members->advance(now.now, facts, now.out);
    }
    apply_changes(now);
    auto const store_due = state_.store.next_deadline();
    if (store_due && now.now >= *store_due)
    {
        state_.store.advance(now.now, now.out);
    }
    for (copies_settled const& settled : state_.store.take_settled())
    {
        forwards_.settled(settled.owner, now);
    }
}

void peer_control::apply_changes(turn& now)
{
    auto const changes = state_.members->take_changes();
    for (membership_change const& change : changes)
    {
        std::visit(
            [&](auto const& specific)
            {
                apply(specific, now);
            },
            change);
    }
    if (!changes.empty())
    {
        forwards_.view_changed(now);
    }
}

void peer_control::apply(instance_changed const& change, turn& now)
{
    if (change.state == instance_state::gone)
    {
        state_.chain.peer_gone(change.instance, now.now);
    }
    if (change.state == instance_state::ended)
    {
        state_.chain.peer_ended(change.instance, change.may_have_sealed,
                                now.now);
        state_.store.peer_ended(change.instance, now.now);
    }
}

void peer_control::apply(view_changed const& /*change*/, turn& now)
{
    state_.chain.set_candidates(state_.members->copy_candidates(), now.now);
    slots_.view_changed(now);
}

void peer_control::flush(turn& now)
{
    // Outcomes may end tasks, whose records belong to the same batch or, after
    // a seal, to no batch at all.
    bool has_outcomes = true;
    while (has_outcomes)
    {
        state_.chain.flush(now.now, now.out);
        auto const outcomes = state_.chain.take_outcomes();
        for (chain_outcome const& outcome : outcomes)
        {
            std::visit(
                [&](auto const& specific)
                {
                    on(specific, now);
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
