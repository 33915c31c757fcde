#include "goldcrestgate/core/leasing/job_gateway.hpp"

#include "goldcrestgate/core/admission/retry_delay.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// Time for which a job that may have started waits for a successor of its
/// owner; a successor takes over within 500 ms of a loss.
constexpr duration owner_wait = std::chrono::milliseconds{600};

/// A job that has not started waits for an owner for its objective divided by
/// this; after a longer wait it would hardly finish in time.
constexpr int objective_wait_divisor = 4;

/// Time after which a withdrawal without an answer is sent again.
constexpr duration withdrawal_interval = std::chrono::milliseconds{100};

/// Time for which a withdrawal is repeated. An owner that hears nothing of this
/// instance for so long has cancelled the job.
constexpr duration withdrawal_lifetime = std::chrono::seconds{3};

} // namespace

void job_gateway::submit(request_id request, leased_job job,
                         std::span<owner_view const> owners, time_point now,
                         std::vector<gateway_action>& out)
{
    auto const id = job.id;
    auto const [entry, is_new] = jobs_.try_emplace(id);
    auto& open = entry->second;
    open.requests.push_back(request);
    if (!is_new)
    {
        return;
    }
    open.job = std::move(job);
    open.job.origin_domain = own_domain_;
    open.arrived = now;
    open.without_owner_since = now;
    open.memory_bytes = job_bytes(open.job);
    bool const has_room = memory_.has_room_for(open.memory_bytes);
    memory_.add(open.memory_bytes);
    if (!has_room)
    {
        answer(id, job_outcome::rejected, retry_delay({.job = id}),
               "overloaded", now, out);
        return;
    }
    offer_to_owner(open, owners, now, out);
}

std::optional<owner_choice>
job_gateway::choose_owner(open_job const& open,
                          std::span<owner_view const> owners, time_point now)
{
    if (!open.second_domain)
    {
        return capacity_.choose(open.job, owners, open.declined, now);
    }
    // The second owner was lost or has refused the offer: the job waits for its
    // successor.
    auto const found =
        std::ranges::find(owners, *open.second_domain, &owner_view::domain);
    return found == owners.end()
               ? std::nullopt
               : std::optional{owner_choice{*found, "second_offer"}};
}

void job_gateway::offer_to_owner(open_job& open,
                                 std::span<owner_view const> owners,
                                 time_point now,
                                 std::vector<gateway_action>& out)
{
    auto const chosen = choose_owner(open, owners, now);
    if (!chosen)
    {
        return;
    }
    open.owner = chosen->owner;
    open.without_owner_since.reset();
    send_offer_to(open, false, chosen->reason, now, out);
}

void job_gateway::send_offer_to(open_job& open, bool only_offered_here,
                                std::string_view reason, time_point now,
                                std::vector<gateway_action>& out)
{
    auto const owner = open.owner->instance;
    withdrawals_.erase({open.job.id, owner});
    open.sequence = ++last_sequence_;
    capacity_.offered(open.owner->domain, open.job, now);
    out.emplace_back(
        send_offer{owner,
                   {open.job, now - open.arrived, open.resumed,
                    only_offered_here, open.sequence, open.owner->term},
                   reason});
}

void job_gateway::withdraw(instance_id owner, client_job_id job,
                           duration elapsed, time_point now,
                           std::vector<gateway_action>& out)
{
    // Callers that left before that may have submitted their jobs again.
    elapsed = std::clamp(elapsed, duration{}, withdrawal_lifetime);
    withdrawals_[{job, owner}] = {now, elapsed, now, ++last_sequence_};
    out.emplace_back(send_withdrawal{owner, {job, last_sequence_, elapsed}});
}

void job_gateway::repeat_withdrawals(time_point now,
                                     std::vector<gateway_action>& out)
{
    std::erase_if(withdrawals_,
                  [now](auto const& entry)
                  {
                      return now - entry.second.since > withdrawal_lifetime;
                  });
    for (auto& [key, open] : withdrawals_)
    {
        if (now - open.sent_at < withdrawal_interval)
        {
            continue;
        }
        auto const& [job, owner] = key;
        open.sent_at = now;
        out.emplace_back(send_withdrawal{
            owner,
            {job, ++last_sequence_, now - open.since + open.elapsed},
            ++open.repeats});
    }
}

void job_gateway::caller_disconnected(request_id request, time_point now,
                                      std::vector<gateway_action>& out,
                                      duration elapsed)
{
    auto const found = std::ranges::find_if(
        jobs_,
        [request](auto const& entry)
        {
            return std::ranges::find(entry.second.requests, request) !=
                   entry.second.requests.end();
        });
    if (found == jobs_.end())
    {
        return;
    }
    auto& open = found->second;
    std::erase(open.requests, request);
    if (!open.requests.empty())
    {
        return;
    }
    if (open.owner)
    {
        withdraw(open.owner->instance, found->first, elapsed, now, out);
    }
    memory_.remove(open.memory_bytes);
    jobs_.erase(found);
}

void job_gateway::verdict(instance_id from, job_verdict const& received,
                          std::span<owner_view const> owners, time_point now,
                          std::vector<gateway_action>& out)
{
    if (received.outcome == job_outcome::withdrawn)
    {
        withdrawal_answered(from, received);
        return;
    }
    auto const found = jobs_.find(received.job);
    if (found == jobs_.end() || !found->second.owner ||
        found->second.owner->instance != from)
    {
        return;
    }
    auto& open = found->second;
    // Nothing but the end of the job's tasks holds for the last offer too: the
    // owner may have accepted that one.
    bool const tasks_ended = received.outcome == job_outcome::completed ||
                             received.outcome == job_outcome::failed;
    bool const is_outdated =
        received.sequence != 0 && received.sequence != open.sequence;
    if (is_outdated && !tasks_ended)
    {
        return;
    }
    if (received.outcome == job_outcome::not_owner)
    {
        owner_refused(open, now);
        return;
    }
    if (received.outcome != job_outcome::rejected)
    {
        capacity_.ended(open.owner->domain, received.job);
        answer(received.job, received.outcome, received.retry_after, "owner",
               now, out);
        return;
    }
    owner_rejected(open, received, owners, now, out);
}

void job_gateway::owner_rejected(open_job& open, job_verdict const& received,
                                 std::span<owner_view const> owners,
                                 time_point now,
                                 std::vector<gateway_action>& out)
{
    capacity_.rejected(open.owner->domain, received.job);
    // The caller may come back as soon as one of the domains has capacity.
    open.retry_after = open.declined.empty()
                           ? received.retry_after
                           : std::min(open.retry_after, received.retry_after);
    open.declined.push_back(open.owner->domain);
    auto const second =
        open.resumed || open.second_domain
            ? std::nullopt
            : capacity_.choose_second(open.job, owners, open.declined,
                                      now - open.arrived, now);
    if (second)
    {
        open.second_domain = second->owner.domain;
        open.owner = second->owner;
        send_offer_to(open, false, second->reason, now, out);
        return;
    }
    answer(received.job, job_outcome::rejected, open.retry_after, "overloaded",
           now, out);
}

void job_gateway::withdrawal_answered(instance_id from,
                                      job_verdict const& received)
{
    auto const found = withdrawals_.find({received.job, from});
    bool const is_outdated = found != withdrawals_.end() &&
                             received.sequence != 0 &&
                             received.sequence < found->second.sequence;
    if (found != withdrawals_.end() && !is_outdated)
    {
        withdrawals_.erase(found);
    }
}

// The answer to the only offer of a job shows that nothing has started. After
// several offers, an earlier one may have been accepted, so the job stays bound
// to the failure domain.
void job_gateway::owner_refused(open_job& open, time_point now)
{
    if (!open.resumed)
    {
        open.owner.reset();
        open.without_owner_since = now;
        return;
    }
    open.refused = true;
    if (!open.without_owner_since)
    {
        open.without_owner_since = now;
    }
}

// A job stays in the failure domain where it was first offered, because only
// the successor of a lost owner can learn which runs exist.
void job_gateway::update_owner(open_job& open,
                               std::span<owner_view const> owners,
                               time_point now, std::vector<gateway_action>& out)
{
    if (!open.owner)
    {
        offer_to_owner(open, owners, now, out);
        return;
    }
    auto const current =
        std::ranges::find(owners, open.owner->domain, &owner_view::domain);
    bool const same_term = current != owners.end() &&
                           current->instance == open.owner->instance &&
                           current->term == open.owner->term;
    // The heartbeat that shows the end of the term may arrive after the
    // refusal.
    bool const has_owner =
        current != owners.end() && !(same_term && open.refused);
    if (!has_owner)
    {
        open.resumed = true;
        if (!open.without_owner_since)
        {
            open.without_owner_since = now;
        }
        return;
    }
    if (same_term && !open.without_owner_since)
    {
        return;
    }
    if (current->instance != open.owner->instance)
    {
        withdraw(open.owner->instance, open.job.id, {}, now, out);
    }
    open.resumed = true;
    open.moved = open.moved || !same_term;
    open.without_owner_since.reset();
    open.owner = *current;
    open.refused = false;
    send_offer_to(open, !open.moved, "successor", now, out);
}

void job_gateway::tick(std::span<owner_view const> owners, time_point now,
                       std::vector<gateway_action>& out)
{
    struct ended_job
    {
        client_job_id id;
        job_outcome outcome;
        std::string_view reason;
    };

    repeat_withdrawals(now, out);
    std::vector<ended_job> ended;
    for (auto& [id, open] : jobs_)
    {
        update_owner(open, owners, now, out);
        auto const owner_wait_limit =
            open.resumed ? owner_wait
                         : std::min(owner_wait, open.job.objective /
                                                    objective_wait_divisor);
        bool const owner_wait_expired =
            open.without_owner_since &&
            now - *open.without_owner_since > owner_wait_limit;
        if (owner_wait_expired)
        {
            ended.push_back(
                {id,
                 open.resumed ? job_outcome::abandoned : job_outcome::rejected,
                 open.owner ? "owner_unreachable" : "no_owner"});
            continue;
        }
        if (now - open.arrived >= open.job.time_limit)
        {
            ended.push_back({id, job_outcome::abandoned, "time_limit"});
        }
    }
    for (auto const& [id, outcome, reason] : ended)
    {
        auto const& open = jobs_.at(id);
        if (open.owner)
        {
            withdraw(open.owner->instance, id, {}, now, out);
        }
        answer(id, outcome, retry_delay({.job = id}), reason, now, out);
    }
}

void job_gateway::owner_reconnected(instance_id owner, time_point now,
                                    std::vector<gateway_action>& out)
{
    for (auto& [id, open] : jobs_)
    {
        if (open.owner && open.owner->instance == owner)
        {
            open.resumed = true;
            send_offer_to(open, !open.moved, "reconnected", now, out);
        }
    }
    for (auto& [key, open] : withdrawals_)
    {
        if (key.second == owner)
        {
            open.sent_at = {};
        }
    }
    repeat_withdrawals(now, out);
}

void job_gateway::abandon_all(time_point now, std::vector<gateway_action>& out)
{
    while (!jobs_.empty())
    {
        auto const& [id, open] = *jobs_.begin();
        if (open.owner)
        {
            withdraw(open.owner->instance, id, {}, now, out);
        }
        answer(client_job_id{id}, job_outcome::abandoned, {},
               "instance_stopped", now, out);
    }
}

std::set<instance_id> job_gateway::owners_in_use() const
{
    std::set<instance_id> owners;
    for (auto const& [id, open] : jobs_)
    {
        if (open.owner)
        {
            owners.insert(open.owner->instance);
        }
    }
    return owners;
}

void job_gateway::answer(client_job_id job, job_outcome outcome,
                         duration retry_after, std::string_view reason,
                         time_point now, std::vector<gateway_action>& out)
{
    auto const node = jobs_.extract(job);
    auto const& open = node.mapped();
    memory_.remove(open.memory_bytes);
    if (outcome == job_outcome::rejected && open.resumed)
    {
        outcome = job_outcome::abandoned;
    }
    for (auto const request : open.requests)
    {
        answer_job answer{request,     job,    outcome,
                          retry_after, reason, now - open.arrived,
                          std::nullopt};
        if (open.owner)
        {
            answer.owner = open.owner->instance;
        }
        out.emplace_back(answer);
    }
}

} // namespace goldcrestgate::core
