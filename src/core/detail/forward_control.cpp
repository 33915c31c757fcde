#include "goldcrestgate/core/detail/forward_control.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace goldcrestgate::core::detail
{

namespace
{

/// The owner answers when the caller's wait ends; this much later it counts
/// as silent.
constexpr duration owner_grace = std::chrono::seconds{2};
/// An owner that is silent is judged within 1.5 s; after this time without a
/// judgement the request is given up.
constexpr duration news_wait = std::chrono::seconds{3};
/// The members of a copy set seal within 1 s.
constexpr duration copies_wait = std::chrono::milliseconds{1250};

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

bool is_settled(caller_answer const& answer)
{
    return answer.body.find("\"state\":\"unknown\"") == std::string::npos;
}

void keep_better(std::optional<caller_answer>& best, caller_answer candidate)
{
    if (!best || (is_settled(candidate) && !is_settled(*best)) ||
        count_unknown(candidate) < count_unknown(*best))
    {
        best = std::move(candidate);
    }
}

} // namespace

forward_control::forward_control(dispatcher_state& state,
                                 job_completion& completion)
    : state_(state)
    , completion_(completion)
    // A reply to an earlier process of this instance must match no request of
    // this one.
    , last_nonce_(
          core::detail::mix_hash(0, state.options.self.incarnation.value()))
{
}

void forward_control::begin(foreign_request request, turn& now)
{
    ++state_.counts.forwards;
    record_decision decision;
    decision.kind = decision_kind::forward;
    decision.task = task_key{request.submission, {}};
    decision.reason = request.owner_lost ? "asked_by_peer" : "foreign_id";
    state_.record(decision, now);
    if (auto const* local = std::get_if<local_caller>(&request.target))
    {
        state_.held.emplace(local->request, request.submission);
    }
    std::uint64_t const nonce = ++last_nonce_;
    pending& open = open_[nonce];
    open.until = now.now + request.wait;
    open.give_up_at = open.until + owner_grace + news_wait;
    open.request = std::move(request);
    advance(nonce, now);
}

void forward_control::advance(std::uint64_t nonce, turn& now)
{
    pending& open = open_.at(nonce);
    instance_key const& owner = open.request.submission.owner;
    if (is_own_domain(owner) && owner.instance == state_.options.self.instance)
    {
        // An earlier process of this instance.
        ask_copies(nonce, open, now);
        return;
    }
    if (auto const peer = nearest(owner); peer && now.now < open.give_up_at)
    {
        ask_owner(nonce, open, *peer, now);
        return;
    }
    if (!is_own_domain(owner))
    {
        conclude(nonce, now);
        return;
    }
    if (is_lost(owner) || is_unheard_of(owner))
    {
        ask_copies(nonce, open, now);
        return;
    }
    wait_for_news(nonce, open, now);
}

void forward_control::ask_owner(std::uint64_t nonce, pending& open,
                                instance_id peer, turn& now)
{
    duration const left = std::max(duration::zero(), open.until - now.now);
    forward_request question;
    question.nonce = nonce;
    question.kind = open.request.kind;
    question.submission = open.request.submission;
    question.body = open.request.body;
    question.wait_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    open.at = step::owner;
    open.unanswered = {peer};
    now.out.emplace_back(send_to_peer{peer, std::move(question)});
    arm(nonce, open, left + owner_grace, now);
}

void forward_control::wait_for_news(std::uint64_t nonce, pending& open,
                                    turn& now)
{
    if (open.at == step::waiting && open.give_up_at <= now.now)
    {
        conclude(nonce, now);
        return;
    }
    open.at = step::waiting;
    open.unanswered.clear();
    arm(nonce, open, news_wait, now);
}

void forward_control::ask_copies(std::uint64_t nonce, pending& open, turn& now)
{
    open.at = step::copies;
    open.unanswered.clear();
    look_up(open, now);
    if (!open.request.owner_lost)
    {
        for (instance_key const& peer : state_.members->own_domain_peers())
        {
            forward_request question;
            question.nonce = nonce;
            question.submission = open.request.submission;
            question.owner_lost = true;
            if (open.request.kind == forward_kind::submit)
            {
                // The copies tell whether the job had this body.
                question.kind = forward_kind::submit;
                question.body = open.request.body;
            }
            open.unanswered.insert(peer.instance);
            open.copies_asked = true;
            now.out.emplace_back(
                send_to_peer{peer.instance, std::move(question)});
        }
    }
    arm(nonce, open, copies_wait, now);
    finish_if_answered(nonce, now);
}

void forward_control::look_up(pending& open, turn& now)
{
    open.seals = false;
    if (!is_lost(open.request.submission.owner))
    {
        return;
    }
    auto found =
        state_.store.find_fate(open.request.submission, now.now, now.out);
    if (std::holds_alternative<seal_in_progress>(found))
    {
        open.seals = true;
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
    bool const is_other_body = open.request.kind == forward_kind::submit &&
                               fate->body_hash != open.request.body_hash;
    keep_better(
        open.best,
        is_other_body
            ? format_error(error_code::submission_conflict,
                           "the id belongs to a submission with another body",
                           task_fate::not_run)
            : format_fate(*fate));
}

void forward_control::reply(instance_key const& from, forward_reply&& answer,
                            turn& now)
{
    auto const found = state_.options.broken.answers_cross
                           ? open_.begin()
                           : open_.find(answer.nonce);
    answer.nonce = found == open_.end() ? answer.nonce : found->first;
    if (found == open_.end() ||
        found->second.unanswered.erase(from.instance) == 0)
    {
        return;
    }
    pending& open = found->second;
    bool const is_answer = answer.status != status_misdirected;
    if (open.at == step::owner)
    {
        if (is_answer)
        {
            finish(answer.nonce, {answer.status, std::move(answer.body)}, now);
            return;
        }
        if (is_own_domain(open.request.submission.owner))
        {
            ask_copies(answer.nonce, open, now);
            return;
        }
        conclude(answer.nonce, now);
        return;
    }
    if (is_answer)
    {
        keep_better(open.best, {answer.status, std::move(answer.body)});
    }
    finish_if_answered(answer.nonce, now);
}

void forward_control::finish_if_answered(std::uint64_t nonce, turn& now)
{
    pending& open = open_.at(nonce);
    bool const is_certain = open.best && is_settled(*open.best);
    if (is_certain || (open.unanswered.empty() && !open.seals))
    {
        conclude(nonce, now);
    }
}

void forward_control::conclude(std::uint64_t nonce, turn& now)
{
    pending& open = open_.at(nonce);
    if (open.best)
    {
        finish(nonce, std::move(*open.best), now);
        return;
    }
    if (open.request.owner_lost)
    {
        finish(nonce, {status_misdirected, {}}, now);
        return;
    }
    bool const is_lost_for_good =
        open.at == step::copies &&
        (open.copies_asked || is_lost(open.request.submission.owner));
    finish(nonce,
           is_lost_for_good
               ? format_error(error_code::owner_lost,
                              "the owner is gone and no copy is left",
                              task_fate::unknown)
               : format_error(error_code::owner_unreachable,
                              "the owner of the id cannot be reached",
                              task_fate::unknown),
           now);
}

void forward_control::finish(std::uint64_t nonce, caller_answer answer,
                             turn& now)
{
    reply_target const target = open_.at(nonce).request.target;
    open_.erase(nonce);
    completion_.reply(target, std::move(answer), now);
}

void forward_control::peer_lost(instance_id peer, turn& now)
{
    std::vector<std::uint64_t> affected;
    for (auto& [nonce, open] : open_)
    {
        if (open.unanswered.erase(peer) != 0)
        {
            affected.push_back(nonce);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (std::uint64_t const nonce : affected)
    {
        if (open_.at(nonce).at == step::owner)
        {
            advance(nonce, now);
        }
        else
        {
            finish_if_answered(nonce, now);
        }
    }
}

void forward_control::view_changed(turn& now)
{
    std::vector<std::uint64_t> affected;
    for (auto const& [nonce, open] : open_)
    {
        bool const is_silent = open.at == step::owner &&
                               is_own_domain(open.request.submission.owner) &&
                               is_lost(open.request.submission.owner);
        if (open.at == step::waiting || is_silent)
        {
            affected.push_back(nonce);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (std::uint64_t const nonce : affected)
    {
        advance(nonce, now);
    }
}

void forward_control::settled(instance_key const& owner, turn& now)
{
    std::vector<std::uint64_t> affected;
    for (auto const& [nonce, open] : open_)
    {
        if (open.seals && open.request.submission.owner == owner)
        {
            affected.push_back(nonce);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (std::uint64_t const nonce : affected)
    {
        look_up(open_.at(nonce), now);
        finish_if_answered(nonce, now);
    }
}

void forward_control::timed_out(std::uint64_t nonce, turn& now)
{
    auto const found = open_.find(nonce);
    if (found != open_.end() && found->second.due <= now.now &&
        !state_.options.broken.forwards_never_time_out)
    {
        conclude(nonce, now);
    }
}

void forward_control::caller_gone(request_id request)
{
    reply_target const target = local_caller{request};
    std::erase_if(open_,
                  [&](auto const& entry)
                  {
                      return entry.second.request.target == target;
                  });
}

bool forward_control::is_idle() const
{
    return open_.empty();
}

void forward_control::arm(std::uint64_t nonce, pending& open, duration wait,
                          turn& now)
{
    open.due = now.now + wait;
    timer entry;
    entry.due = open.due;
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

bool forward_control::is_unheard_of(instance_key const& owner) const
{
    instance_key const process = state_.store.process_of(owner).value_or(owner);
    return !state_.members->state_of(process).has_value();
}

std::optional<instance_id>
forward_control::nearest(instance_key const& owner) const
{
    // A process that took a new incarnation after a seal still answers for the
    // old one.
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
