#include "goldcrestgate/core/leasing/domain_ownership.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// The loss of an owner and of one successor at a time leaves a successor.
constexpr std::size_t successor_count = 2;

} // namespace

owner_heartbeat domain_ownership::heartbeat(std::uint32_t free_millicores,
                                            duration expected_wait,
                                            time_point now) const
{
    owner_heartbeat message;
    message.term = term_;
    message.highest_term = highest_term_;
    // Executors are asked about an owner with its own token.
    message.highest_token_term =
        term_ != 0 ? renewed_term_ : highest_token_term_;
    message.weight = weight_;
    message.leaving = leaving_;
    message.free_millicores = free_millicores;
    message.expected_wait = expected_wait;
    message.time_to_claim = std::max(duration{}, claim_time() - now);
    message.successors = designated_successors(now);
    message.owner_known = other_owner(now) != nullptr;
    message.yields_to = yields_to_;
    return message;
}

std::vector<instance_id>
domain_ownership::designated_successors(time_point now) const
{
    if (term_ == 0)
    {
        return {};
    }
    std::vector<peer_state const*> candidates;
    for (auto const& [id, peer] : peers_)
    {
        if (peer.key.domain == self_.domain && !peer.last.leaving &&
            is_fresh(peer, now))
        {
            candidates.push_back(&peer);
        }
    }
    // The order of the ids, which peers_ has, decides among equal weights.
    std::ranges::stable_sort(candidates, std::ranges::greater{},
                             [](peer_state const* peer)
                             {
                                 return peer->last.weight;
                             });
    std::vector<instance_id> successors;
    for (auto const* const peer : candidates)
    {
        if (successors.size() == successor_count)
        {
            break;
        }
        successors.push_back(peer->key.instance);
    }
    return successors;
}

succession_view domain_ownership::succession(time_point now) const
{
    auto const* const owner = other_owner(now);
    succession_view view;
    view.owner_known = term_ != 0 || owner != nullptr;
    if (owner != nullptr && designated_)
    {
        view.fellow_successors = owner->last.successors;
    }
    return view;
}

bool domain_ownership::is_successor(time_point now) const
{
    return designated_ && other_owner(now) != nullptr;
}

std::optional<duration>
domain_ownership::interval_to(instance_key const& peer,
                              succession_view const& view,
                              bool shares_jobs) const
{
    auto const found = peers_.find(peer.instance);
    peer_relation relation;
    relation.same_domain = peer.domain == self_.domain;
    relation.owner_known = view.owner_known;
    relation.self_owns = term_ != 0;
    relation.peer_owns = found != peers_.end() && found->second.last.term != 0;
    relation.both_successors =
        std::ranges::find(view.fellow_successors, peer.instance) !=
        view.fellow_successors.end();
    relation.shares_jobs = shares_jobs;
    return core::heartbeat_interval(relation);
}

std::vector<owner_view> domain_ownership::owners(time_point now) const
{
    std::map<domain_id, owner_view> best;
    if (term_ != 0)
    {
        best[self_.domain] = {self_.domain, self_.instance, term_, 0, {}, {}};
    }
    for (auto const& [id, peer] : peers_)
    {
        if (peer.last.term == 0 || !is_alive(peer, now))
        {
            continue;
        }
        auto& view = best[peer.key.domain];
        if (peer.last.term > view.term)
        {
            view = {peer.key.domain,         id,
                    peer.last.term,          peer.last.free_millicores,
                    peer.last.expected_wait, now - peer.last_heartbeat_at};
        }
    }
    std::vector<owner_view> views;
    views.reserve(best.size());
    for (auto const& [domain, view] : best)
    {
        views.push_back(view);
    }
    return views;
}

} // namespace goldcrestgate::core
