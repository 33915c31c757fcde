// The seal protocol of a copy store; docs/decisions/0001 proves it.

#include "goldcrestgate/core/recovery/copy_store.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

// Number of times that an unanswered seal request is sent within seal_wait.
constexpr int requests_per_seal_wait = 4;

// A lookup repeats an incomplete seal after this multiple of seal_wait.
constexpr int seal_retry_delay_in_waits = 5;

} // namespace

fate_lookup copy_store::find_fate(submission_id const& submission,
                                  time_point now, std::vector<action>& out)
{
    auto const found = newest_chain_with(submission);
    if (found == chains_.end())
    {
        return no_copy{};
    }
    auto& [key, copy] = *found;
    auto known = fate_from(submission, copy, false);
    if (known.state != job_state::unknown)
    {
        return known;
    }
    if (can_answer(copy))
    {
        sealed_owners_.insert(submission.owner);
        bool const is_due = copy.seal.phase == seal_phase::none ||
                            (copy.seal.phase == seal_phase::incomplete &&
                             now - copy.seal.started_at >=
                                 seal_wait_ * seal_retry_delay_in_waits);
        if (is_due)
        {
            begin_seal(key, copy, now, out);
        }
    }
    return look_up(submission, copy);
}

fate_lookup copy_store::look_up(submission_id const& submission,
                                chain_copy const& copy) const
{
    bool const complete = copy.seal.phase == seal_phase::complete;
    if (can_answer(copy) && copy.seal.phase == seal_phase::requesting)
    {
        return seal_in_progress{};
    }
    bool const redirects =
        !can_answer(copy) || copy.seal.phase == seal_phase::redirected;
    if (!redirects)
    {
        return fate_from(submission, copy, complete);
    }
    redirect_to_members others{copy.seal.phase == seal_phase::redirected
                                   ? copy.seal.newer_members
                                   : copy.members,
                               fate_from(submission, copy, false)};
    std::erase(others.members, self_);
    return others;
}

job_fate copy_store::fate_from(submission_id const& submission,
                               chain_copy const& copy, bool complete) const
{
    auto fate = fate_of(submission, copy.jobs.at(submission), complete);
    if (defects_.fates_are_guessed)
    {
        for (auto& task : fate.tasks)
        {
            bool const is_unknown = task.fate == task_fate::unknown;
            task.fate = is_unknown ? task_fate::failed : task.fate;
        }
    }
    return fate;
}

void copy_store::begin_seal(chain_key const& key, chain_copy& copy,
                            time_point now, std::vector<action>& out)
{
    copy.seal = {};
    copy.seal.phase = seal_phase::requesting;
    copy.seal.nonce = ++last_nonce_;
    copy.seal.started_at = now;
    for (auto const& member : copy.members)
    {
        if (member == self_ || defects_.seals_alone)
        {
            continue;
        }
        if (ended_peers_.contains(member))
        {
            copy.seal.member_missing = true;
        }
        else
        {
            copy.seal.unanswered.insert(member);
        }
    }
    send_seal_requests(key, copy, now, out);
    finish_seal_if_answered(key, copy);
}

void copy_store::send_seal_requests(chain_key const& key, chain_copy& copy,
                                    time_point now,
                                    std::vector<action>& out) const
{
    copy.seal.requested_at = now;
    for (auto const& member : copy.seal.unanswered)
    {
        out.emplace_back(send_to_peer{
            member.instance,
            seal_request{key.owner, key.chain, copy.epoch, copy.seal.nonce}});
    }
}

void copy_store::finish_seal_if_answered(chain_key const& key, chain_copy& copy)
{
    if (copy.seal.unanswered.empty())
    {
        finish_seal(key, copy,
                    copy.seal.member_missing ? seal_phase::incomplete
                                             : seal_phase::complete);
    }
}

void copy_store::finish_seal(chain_key const& key, chain_copy& copy,
                             seal_phase phase)
{
    copy.seal.phase = phase;
    copy.seal.unanswered.clear();
    finished_seals_.push_back({key.owner});
}

void copy_store::mark_member_missing(chain_key const& key, chain_copy& copy,
                                     instance_key const& member)
{
    if (copy.seal.phase == seal_phase::requesting &&
        copy.seal.unanswered.erase(member) != 0)
    {
        copy.seal.member_missing = true;
        finish_seal_if_answered(key, copy);
    }
}

void copy_store::handle(instance_key const& from, seal_request const& message,
                        time_point /*now*/, std::vector<action>& out)
{
    seal_reply reply{
        message.owner, message.chain, message.nonce, false, {}, {}};
    auto const found = chains_.find({message.owner, message.chain});
    if (found != chains_.end())
    {
        auto const& copy = found->second;
        // A sender with an older set is redirected without a seal: the owner
        // may be healthy and may have removed the sender from its copy set.
        if (copy.epoch <= message.epoch)
        {
            sealed_owners_.insert(message.owner);
        }
        reply.holds_copy = copy.epoch > message.epoch || !copy.catch_up_pending;
        reply.epoch = copy.epoch;
        reply.members = copy.members;
    }
    out.emplace_back(send_to_peer{from.instance, std::move(reply)});
}

void copy_store::handle(instance_key const& from, seal_reply const& message,
                        time_point /*now*/)
{
    auto const found = chains_.find({message.owner, message.chain});
    if (found == chains_.end())
    {
        return;
    }
    auto& [key, copy] = *found;
    if (copy.seal.phase != seal_phase::requesting ||
        copy.seal.nonce != message.nonce)
    {
        return;
    }
    if (!copy.seal.unanswered.contains(from))
    {
        // A newer incarnation of a member does not hold the copies of the
        // older one.
        auto const older = std::find_if(
            copy.seal.unanswered.begin(), copy.seal.unanswered.end(),
            [&from](instance_key const& member)
            {
                return member.instance == from.instance;
            });
        if (older != copy.seal.unanswered.end())
        {
            mark_member_missing(key, copy, instance_key{*older});
        }
        return;
    }
    if (!message.holds_copy)
    {
        mark_member_missing(key, copy, from);
        return;
    }
    if (message.epoch > copy.epoch)
    {
        copy.seal.newer_members = message.members;
        finish_seal(key, copy, seal_phase::redirected);
        return;
    }
    copy.seal.unanswered.erase(from);
    finish_seal_if_answered(key, copy);
}

void copy_store::peer_ended(instance_key const& peer, time_point /*now*/)
{
    ended_peers_.insert(peer);
    for (auto& [key, copy] : chains_)
    {
        mark_member_missing(key, copy, peer);
    }
}

void copy_store::advance(time_point now, std::vector<action>& out)
{
    for (auto position = chains_.begin(); position != chains_.end();)
    {
        auto const current = position++;
        auto& [key, copy] = *current;
        if (now - copy.updated_at >= expiry_)
        {
            drop_chain(current);
        }
        else if (copy.seal.phase == seal_phase::requesting)
        {
            if (now - copy.seal.started_at >= seal_wait_)
            {
                finish_seal(key, copy, seal_phase::incomplete);
            }
            else if (now - copy.seal.requested_at >=
                     seal_wait_ / requests_per_seal_wait)
            {
                send_seal_requests(key, copy, now, out);
            }
        }
    }
}

std::vector<seal_finished> copy_store::take_finished_seals()
{
    return std::exchange(finished_seals_, {});
}

std::optional<time_point> copy_store::next_deadline() const
{
    std::optional<time_point> earliest;
    for (auto const& [key, copy] : chains_)
    {
        auto deadline = copy.updated_at + expiry_;
        if (copy.seal.phase == seal_phase::requesting)
        {
            deadline = std::min(
                {deadline, copy.seal.started_at + seal_wait_,
                 copy.seal.requested_at + seal_wait_ / requests_per_seal_wait});
        }
        earliest = earliest ? std::min(*earliest, deadline) : deadline;
    }
    return earliest;
}

bool copy_store::can_answer(chain_copy const& copy) const
{
    bool const is_member = std::find(copy.members.begin(), copy.members.end(),
                                     self_) != copy.members.end();
    return (is_member && !copy.catch_up_pending) || defects_.outsiders_answer;
}

copy_store::chain_map::iterator
copy_store::newest_chain_with(submission_id const& id)
{
    // A job that was moved to a new chain is on several; the newest one is
    // authoritative.
    auto found = chains_.end();
    for (auto position = chains_.lower_bound({id.owner, 0});
         position != chains_.end() && position->first.owner == id.owner;
         ++position)
    {
        if (position->second.jobs.contains(id))
        {
            found = position;
        }
    }
    return found;
}

} // namespace goldcrestgate::core
