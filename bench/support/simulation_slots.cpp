#include "support/simulation.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::bench
{

// The rank of an instance is its position among the instances in view.
std::uint32_t simulation::rank_of(std::uint32_t instance) const
{
    return static_cast<std::uint32_t>(
        std::count(in_view_.begin(), in_view_.begin() + instance, true));
}

std::uint32_t simulation::instance_at(std::uint32_t rank) const
{
    std::uint32_t instance = 0;
    while (!in_view_[instance] || rank_of(instance) != rank)
    {
        ++instance;
    }
    return instance;
}

void simulation::exchange(std::uint32_t instance)
{
    auto updates = std::visit(
        [&](auto& policy)
        {
            return policy.exchange(now_);
        },
        policies_[instance]);
    for (auto& update : updates)
    {
        result_.messages.slots += update.transfers.empty() ? 0 : 1;
        result_.messages.needs += update.need ? 1 : 0;
        std::uint32_t const to = instance_at(update.rank);
        update.rank = rank_of(instance);
        schedule(now_ + network_delay(), event_kind::note_arrives,
                 static_cast<std::uint32_t>(updates_.size()));
        updates_.push_back({to, std::move(update)});
    }
}

void simulation::note_arrives(std::uint32_t index)
{
    sent_update const sent = std::move(updates_[index]);
    if (alive_[sent.to])
    {
        std::visit(
            [&](auto& policy)
            {
                policy.receive_update(sent.update);
            },
            policies_[sent.to]);
        dispatch(sent.to);
    }
}

// Heartbeats of the instances are spread over the interval. Their network delay
// is neglected because it is small compared with the interval.
void simulation::heartbeat(std::uint32_t instance)
{
    if (!alive_[instance])
    {
        return;
    }
    reported_tasks_[instance] = open_tasks_[instance];
    for (std::uint32_t i = 0; i < policies_.size(); ++i)
    {
        if (alive_[i])
        {
            update_demands(i);
            dispatch(i);
        }
    }
    schedule(now_ + heartbeat_interval, event_kind::heartbeat, instance);
}

void simulation::update_demands(std::uint32_t instance)
{
    std::vector<std::uint32_t> demands;
    for (std::uint32_t i = 0; i < policies_.size(); ++i)
    {
        if (in_view_[i])
        {
            demands.push_back(reported_tasks_[i]);
        }
    }
    std::visit(
        [&](auto& policy)
        {
            policy.set_demands(demands);
        },
        policies_[instance]);
}

} // namespace goldcrestgate::bench
