#include "goldcrestgate/core/detail/forward_control.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace goldcrestgate::core::detail
{

namespace
{

/// The owner answers by the end of the caller's wait; a reply that is later by
/// more than this margin is no longer awaited.
constexpr duration owner_reply_margin = std::chrono::seconds{2};
/// The membership decides within 1.5 s whether an unresponsive owner is gone;
/// without a decision within this time the request ends.
constexpr duration membership_timeout = std::chrono::seconds{3};
/// The members of a copy set seal within 1 s.
constexpr duration copy_reply_timeout = std::chrono::milliseconds{1250};

std::size_t count_unknown(caller_answer const& answer)
{
    constexpr std::string_view part = "\"fate\":\"unknown\"";
    std::size_t count = 0;
    std::size_t at = answer.body.find(part);
    while (at != std::string::npos)
    {
        ++count;
        at = answer.body.find(part, at + part.size());
    }
    return count;
}

bool is_conclusive(caller_answer const& answer)
{
    return answer.body.find("\"state\":\"unknown\"") == std::string::npos;
}

void update_best_answer(std::optional<caller_answer>& best_answer,
                        caller_answer candidate)
{
    if (!best_answer ||
        (is_conclusive(candidate) && !is_conclusive(*best_answer)) ||
        count_unknown(candidate) < count_unknown(*best_answer))
    {
        best_answer = std::move(candidate);
    }
}

} // namespace

forward_control::forward_control(dispatcher_state& state,
                                 job_completion& completion)
    : state_(state)
    , completion_(completion)
    // Starts at a value specific to the process, so that a reply to an earlier
    // process of this instance matches no request of this one.
    , last_nonce_(
          core::detail::mix_hash(0, state.options.self.incarnation.value()))
{
}

void forward_control::begin(foreign_request request, event_context& context)
{
    ++state_.counts.forwards;
    record_decision decision;
    decision.kind = decision_kind::forward;
    decision.task = task_key{request.submission, {}};
    decision.reason = request.owner_lost ? "asked_by_peer" : "foreign_id";
    state_.record(decision, context);
    if (auto const* local = std::get_if<local_caller>(&request.target))
    {
        state_.local_requests.emplace(local->request, request.submission);
    }
    std::uint64_t const nonce = ++last_nonce_;
    pending_request& pending = pending_[nonce];
    pending.caller_wait_end = context.now + request.wait;
    pending.owner_wait_end =
        pending.caller_wait_end + owner_reply_margin + membership_timeout;
    pending.request = std::move(request);
    advance(nonce, context);
}

void forward_control::advance(std::uint64_t nonce, event_context& context)
{
    pending_request& pending = pending_.at(nonce);
    instance_key const& owner = pending.request.submission.owner;
    if (is_own_domain(owner) && owner.instance == state_.options.self.instance)
    {
        // The owner is an earlier process of this instance.
        forward_to_copies(nonce, pending, context);
        return;
    }
    if (auto const peer = forwarding_peer(owner);
        peer && context.now < pending.owner_wait_end)
    {
        forward_to_owner(nonce, pending, *peer, context);
        return;
    }
    if (!is_own_domain(owner))
    {
        finish_with_best(nonce, context);
        return;
    }
    if (is_lost(owner) || is_unknown(owner))
    {
        forward_to_copies(nonce, pending, context);
        return;
    }
    wait_for_membership(nonce, pending, context);
}

void forward_control::forward_to_owner(std::uint64_t nonce,
                                       pending_request& pending,
                                       instance_id peer, event_context& context)
{
    duration const left =
        std::max(duration::zero(), pending.caller_wait_end - context.now);
    forward_request message;
    message.nonce = nonce;
    message.kind = pending.request.kind;
    message.submission = pending.request.submission;
    message.body = pending.request.body;
    message.wait_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    pending.current_step = forward_step::owner;
    pending.awaited_peers = {peer};
    context.out.emplace_back(send_to_peer{peer, std::move(message)});
    arm(nonce, pending, left + owner_reply_margin, context);
}

void forward_control::wait_for_membership(std::uint64_t nonce,
                                          pending_request& pending,
                                          event_context& context)
{
    if (pending.current_step == forward_step::waiting &&
        pending.owner_wait_end <= context.now)
    {
        finish_with_best(nonce, context);
        return;
    }
    pending.current_step = forward_step::waiting;
    pending.awaited_peers.clear();
    arm(nonce, pending, membership_timeout, context);
}

void forward_control::forward_to_copies(std::uint64_t nonce,
                                        pending_request& pending,
                                        event_context& context)
{
    pending.current_step = forward_step::copies;
    pending.awaited_peers.clear();
    look_up_own_copy(pending, context);
    if (!pending.request.owner_lost)
    {
        for (instance_key const& peer : state_.members->own_domain_peers())
        {
            forward_request message;
            message.nonce = nonce;
            message.submission = pending.request.submission;
            message.owner_lost = true;
            if (pending.request.kind == forward_kind::submit)
            {
                // The copies compare the body with that of the job.
                message.kind = forward_kind::submit;
                message.body = pending.request.body;
            }
            pending.awaited_peers.insert(peer.instance);
            pending.copies_queried = true;
            context.out.emplace_back(
                send_to_peer{peer.instance, std::move(message)});
        }
    }
    arm(nonce, pending, copy_reply_timeout, context);
    finish_if_answered(nonce, context);
}

void forward_control::look_up_own_copy(pending_request& pending,
                                       event_context& context)
{
    pending.is_sealing = false;
    if (!is_lost(pending.request.submission.owner))
    {
        return;
    }
    auto found = state_.store.find_fate(pending.request.submission, context.now,
                                        context.out);
    if (std::holds_alternative<seal_in_progress>(found))
    {
        pending.is_sealing = true;
        return;
    }
    job_fate const* fate = std::get_if<job_fate>(&found);
    if (auto const* const newer = std::get_if<redirect_to_members>(&found))
    {
        fate = &newer->fallback;
    }
    if (fate == nullptr)
    {
        return;
    }
    bool const is_other_body = pending.request.kind == forward_kind::submit &&
                               fate->body_hash != pending.request.body_hash;
    update_best_answer(
        pending.best_answer,
        is_other_body
            ? format_error(
                  error_code::submission_conflict,
                  "the id belongs to a submission with a different body",
                  task_fate::not_run)
            : format_fate(*fate));
}

void forward_control::reply(instance_key const& from, forward_reply&& answer,
                            event_context& context)
{
    auto const found = state_.options.defects.answers_cross
                           ? pending_.begin()
                           : pending_.find(answer.nonce);
    answer.nonce = found == pending_.end() ? answer.nonce : found->first;
    if (found == pending_.end() ||
        found->second.awaited_peers.erase(from.instance) == 0)
    {
        return;
    }
    pending_request& pending = found->second;
    bool const is_answer = answer.status != status_misdirected;
    if (pending.current_step == forward_step::owner)
    {
        if (is_answer)
        {
            finish(answer.nonce, {answer.status, std::move(answer.body)},
                   context);
            return;
        }
        if (is_own_domain(pending.request.submission.owner))
        {
            forward_to_copies(answer.nonce, pending, context);
            return;
        }
        finish_with_best(answer.nonce, context);
        return;
    }
    if (is_answer)
    {
        update_best_answer(pending.best_answer,
                           {answer.status, std::move(answer.body)});
    }
    finish_if_answered(answer.nonce, context);
}

void forward_control::finish_if_answered(std::uint64_t nonce,
                                         event_context& context)
{
    pending_request& pending = pending_.at(nonce);
    bool const is_certain =
        pending.best_answer && is_conclusive(*pending.best_answer);
    if (is_certain || (pending.awaited_peers.empty() && !pending.is_sealing))
    {
        finish_with_best(nonce, context);
    }
}

void forward_control::finish_with_best(std::uint64_t nonce,
                                       event_context& context)
{
    pending_request& pending = pending_.at(nonce);
    if (pending.best_answer)
    {
        finish(nonce, std::move(*pending.best_answer), context);
        return;
    }
    if (pending.request.owner_lost)
    {
        finish(nonce, {status_misdirected, {}}, context);
        return;
    }
    bool const is_owner_lost =
        pending.current_step == forward_step::copies &&
        (pending.copies_queried || is_lost(pending.request.submission.owner));
    finish(nonce,
           is_owner_lost ? format_error(error_code::owner_lost,
                                        "the owner is lost and no copy is left",
                                        task_fate::unknown)
                         : format_error(error_code::owner_unreachable,
                                        "the owner of the id cannot be reached",
                                        task_fate::unknown),
           context);
}

void forward_control::finish(std::uint64_t nonce, caller_answer answer,
                             event_context& context)
{
    reply_target const target = pending_.at(nonce).request.target;
    pending_.erase(nonce);
    completion_.reply(target, std::move(answer), context);
}

void forward_control::peer_lost(instance_id peer, event_context& context)
{
    std::vector<std::uint64_t> affected;
    for (auto& [nonce, pending] : pending_)
    {
        if (pending.awaited_peers.erase(peer) != 0)
        {
            affected.push_back(nonce);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (std::uint64_t const nonce : affected)
    {
        if (pending_.at(nonce).current_step == forward_step::owner)
        {
            advance(nonce, context);
        }
        else
        {
            finish_if_answered(nonce, context);
        }
    }
}

void forward_control::view_changed(event_context& context)
{
    std::vector<std::uint64_t> affected;
    for (auto const& [nonce, pending] : pending_)
    {
        bool const awaits_lost_owner =
            pending.current_step == forward_step::owner &&
            is_own_domain(pending.request.submission.owner) &&
            is_lost(pending.request.submission.owner);
        if (pending.current_step == forward_step::waiting || awaits_lost_owner)
        {
            affected.push_back(nonce);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (std::uint64_t const nonce : affected)
    {
        advance(nonce, context);
    }
}

void forward_control::sealing_finished(instance_key const& owner,
                                       event_context& context)
{
    std::vector<std::uint64_t> affected;
    for (auto const& [nonce, pending] : pending_)
    {
        if (pending.is_sealing && pending.request.submission.owner == owner)
        {
            affected.push_back(nonce);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (std::uint64_t const nonce : affected)
    {
        look_up_own_copy(pending_.at(nonce), context);
        finish_if_answered(nonce, context);
    }
}

void forward_control::timed_out(std::uint64_t nonce, event_context& context)
{
    auto const found = pending_.find(nonce);
    if (found != pending_.end() && found->second.step_deadline <= context.now &&
        !state_.options.defects.forwards_never_time_out)
    {
        finish_with_best(nonce, context);
    }
}

void forward_control::drop_caller(request_id request)
{
    reply_target const target = local_caller{request};
    std::erase_if(pending_,
                  [&](auto const& entry)
                  {
                      return entry.second.request.target == target;
                  });
}

bool forward_control::is_idle() const
{
    return pending_.empty();
}

void forward_control::arm(std::uint64_t nonce, pending_request& pending,
                          duration wait, event_context& context)
{
    pending.step_deadline = context.now + wait;
    timer entry;
    entry.due = pending.step_deadline;
    entry.kind = timer_kind::forward;
    entry.nonce = nonce;
    state_.timers.add(entry);
}

bool forward_control::is_own_domain(instance_key const& owner) const
{
    return owner.domain == state_.options.self.domain;
}

bool forward_control::is_lost(instance_key const& owner) const
{
    instance_key const process = state_.store.process_of(owner).value_or(owner);
    auto const state = state_.members->state_of(process);
    return state == instance_state::gone || state == instance_state::ended;
}

bool forward_control::is_unknown(instance_key const& owner) const
{
    instance_key const process = state_.store.process_of(owner).value_or(owner);
    return !state_.members->state_of(process).has_value();
}

std::optional<instance_id>
forward_control::forwarding_peer(instance_key const& owner) const
{
    // A process that took a new incarnation after a seal still answers for its
    // previous incarnation.
    auto const present = state_.members->current(owner.instance);
    if (present && !is_lost(*present))
    {
        return owner.instance;
    }
    if (is_own_domain(owner))
    {
        return std::nullopt;
    }
    auto const peers = state_.members->peers_in(owner.domain);
    return peers.empty() ? std::nullopt : std::optional{peers.front().instance};
}

} // namespace goldcrestgate::core::detail
