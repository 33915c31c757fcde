#include "support/ownership_network.hpp"

#include <algorithm>

namespace goldcrestgate::tests
{

using namespace core;
using std::chrono::milliseconds;

namespace
{

constexpr duration step_length = milliseconds{5};
constexpr duration tick_interval = milliseconds{50};
constexpr duration heartbeat_check_interval = milliseconds{100};
constexpr duration network_delay = milliseconds{2};

/// Sizes of instances, in thousandths of a core.
constexpr std::uint32_t large_weight = 500;
constexpr std::uint32_t small_weight = 90;
constexpr std::uint16_t large_instances_per_domain = 3;

} // namespace

ownership_network::ownership_network(
    std::vector<std::uint16_t> const& domain_sizes, std::uint64_t seed)
    : random_(seed)
{
    for (std::size_t domain = 0; domain < domain_sizes.size(); ++domain)
    {
        for (std::uint16_t i = 0; i < domain_sizes[domain]; ++i)
        {
            auto& node = nodes_.emplace_back();
            node.key = {domain_id{static_cast<std::uint16_t>(domain + 1)},
                        instance_id{static_cast<std::uint32_t>(nodes_.size())},
                        incarnation{}};
            node.weight =
                i < large_instances_per_domain ? large_weight : small_weight;
        }
    }
    for (node_id node = 0; node < nodes_.size(); ++node)
    {
        start(node);
    }
}

std::uint64_t ownership_network::unix_ms() const
{
    return 1'800'000'000'000U + static_cast<std::uint64_t>(
                                    now_.time_since_epoch() / milliseconds{1});
}

void ownership_network::start(node_id node)
{
    auto& state = nodes_[node];
    state.key.incarnation = incarnation{++last_incarnation_};
    state.ownership =
        std::make_unique<domain_ownership>(state.key, state.weight, now_);
    state.plan = {};
    state.owner_known = false;
    state.paused_until = {};
    std::uniform_int_distribution<int> phase{0, 49};
    state.next_tick = now_ + milliseconds{phase(random_)};
    state.next_heartbeat = state.next_tick;
    for (auto& other : nodes_)
    {
        other.plan.expedite(state.key.instance);
        if (other.ownership != nullptr)
        {
            other.next_heartbeat = std::min(other.next_heartbeat, now_);
        }
    }
}

void ownership_network::kill(node_id node)
{
    nodes_[node].ownership.reset();
    for (auto& other : nodes_)
    {
        if (other.ownership != nullptr)
        {
            other.ownership->lost(nodes_[node].key.instance, true, now_);
        }
    }
}

void ownership_network::power_off(node_id node)
{
    nodes_[node].ownership.reset();
}

void ownership_network::restart(node_id node)
{
    if (!running(node))
    {
        start(node);
    }
}

void ownership_network::pause(node_id node, duration time)
{
    nodes_[node].paused_until = now_ + time;
}

void ownership_network::silence(node_id left, node_id right, duration time)
{
    silenced_until_[std::minmax(left, right)] = now_ + time;
}

bool ownership_network::is_silent(node_id left, node_id right) const
{
    auto const found = silenced_until_.find(std::minmax(left, right));
    return found != silenced_until_.end() && now_ < found->second;
}

void ownership_network::advance(duration time)
{
    auto const end = now_ + time;
    while (now_ < end)
    {
        now_ += step_length;
        while (!in_flight_.empty() && in_flight_.top().at <= now_)
        {
            auto const message = in_flight_.top();
            in_flight_.pop();
            deliver(message);
        }
        for (node_id node = 0; node < nodes_.size(); ++node)
        {
            step(node);
        }
    }
}

void ownership_network::step(node_id node)
{
    auto& state = nodes_[node];
    if (state.ownership == nullptr || now_ < state.paused_until)
    {
        return;
    }
    if (now_ - state.next_tick > pause_limit)
    {
        state.ownership->paused(now_);
    }
    if (now_ >= state.next_tick)
    {
        state.next_tick = now_ + tick_interval;
        tick(node);
    }
    if (now_ >= state.next_heartbeat)
    {
        state.next_heartbeat = now_ + heartbeat_check_interval;
        send_due(node);
    }
}

void ownership_network::tick(node_id node)
{
    auto& state = nodes_[node];
    auto& ownership = *state.ownership;
    for (auto const peer : ownership.take_unresponsive(now_))
    {
        // The connection is reset and made anew, and both sides send a
        // heartbeat on it.
        auto const other = static_cast<node_id>(peer.value()) - 1;
        if (is_silent(node, other) && running(other))
        {
            silenced_until_.erase(std::minmax(node, other));
        }
        state.plan.expedite(peer);
        nodes_[other].plan.expedite(state.key.instance);
    }
    auto const decision = ownership.decide(now_, unix_ms());
    bool const claimed = std::holds_alternative<claim_ownership>(decision);
    claims_ += claimed ? 1 : 0;
    bool const was_known = std::exchange(
        state.owner_known, ownership.succession(now_).owner_known);
    if (claimed || std::holds_alternative<release_ownership>(decision) ||
        (was_known && !state.owner_known))
    {
        state.plan.expedite_all();
        send_due(node);
    }
}

void ownership_network::send_due(node_id node)
{
    auto& state = nodes_[node];
    auto const view = state.ownership->succession(now_);
    auto heartbeat = state.ownership->heartbeat(0, {}, now_);
    for (node_id other = 0; other < nodes_.size(); ++other)
    {
        if (other == node || !running(other))
        {
            continue;
        }
        auto const& key = nodes_[other].key;
        auto const interval = state.ownership->interval_to(key, view, false);
        if (state.plan.take_due(key.instance, interval, now_))
        {
            heartbeat.interval = interval.value_or(duration{});
            send(node, other, heartbeat);
        }
    }
}

void ownership_network::send(node_id from, node_id to,
                             owner_heartbeat heartbeat)
{
    ++nodes_[from].sent;
    if (is_silent(from, to))
    {
        return;
    }
    in_flight_.push({now_ + network_delay, ++last_number_, from, to,
                     nodes_[to].key.incarnation, std::move(heartbeat)});
}

void ownership_network::deliver(delivery const& message)
{
    auto& receiver = nodes_[message.to];
    if (receiver.ownership == nullptr ||
        receiver.key.incarnation != message.receiver)
    {
        return;
    }
    if (now_ < receiver.paused_until)
    {
        auto later = message;
        later.at = receiver.paused_until;
        in_flight_.push(std::move(later));
        return;
    }
    auto const& sender = nodes_[message.from].key;
    receiver.ownership->heartbeat_received(sender, message.heartbeat, now_);
    bool const asks_for_owner = sender.domain == receiver.key.domain &&
                                message.heartbeat.term == 0 &&
                                !message.heartbeat.owner_known;
    if (asks_for_owner && receiver.owner_known &&
        receiver.ownership->term() == 0 && running(message.from))
    {
        send(message.to, message.from,
             receiver.ownership->heartbeat(0, {}, now_));
    }
}

std::vector<ownership_network::node_id>
ownership_network::owners_of(domain_id domain) const
{
    std::vector<node_id> owners;
    for (node_id node = 0; node < nodes_.size(); ++node)
    {
        if (running(node) && nodes_[node].key.domain == domain &&
            nodes_[node].ownership->term() != 0)
        {
            owners.push_back(node);
        }
    }
    return owners;
}

bool ownership_network::is_settled(domain_id domain) const
{
    auto const owners = owners_of(domain);
    return owners.size() == 1 &&
           std::ranges::all_of(
               nodes_,
               [&](node_state const& node)
               {
                   if (node.ownership == nullptr || node.key.domain != domain)
                   {
                       return true;
                   }
                   auto const views = node.ownership->owners(now_);
                   auto const view =
                       std::ranges::find(views, domain, &owner_view::domain);
                   return view != views.end() &&
                          view->instance == nodes_[owners.front()].key.instance;
               });
}

} // namespace goldcrestgate::tests
