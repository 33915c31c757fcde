#include "support/configuration_network.hpp"

#include "goldcrestgate/core/detail/overloaded.hpp"

#include <algorithm>

namespace goldcrestgate::tests
{

using namespace core;
using std::chrono::milliseconds;

namespace
{

constexpr duration step_length = milliseconds{5};
constexpr duration tick_interval = milliseconds{50};
constexpr duration network_delay = milliseconds{2};
/// Time in which the store answers a read.
constexpr duration store_delay = milliseconds{10};
constexpr duration dense_interval = milliseconds{100};
constexpr duration owner_interval = milliseconds{200};
constexpr duration remote_interval = milliseconds{1000};
constexpr std::size_t document_bytes = std::size_t{200} * 1024;

} // namespace

configuration_network::configuration_network(
    std::vector<std::size_t> const& domain_sizes, std::uint64_t seed)
    : random_(seed)
{
    for (std::size_t domain = 0; domain < domain_sizes.size(); ++domain)
    {
        for (std::size_t i = 0; i < domain_sizes[domain]; ++i)
        {
            auto& node = nodes_.emplace_back();
            node.domain = domain;
            node.owner = i == 0;
        }
    }
    publish();
    for (node_id node = 0; node < nodes_.size(); ++node)
    {
        start(node);
    }
}

instance_id configuration_network::id_of(node_id node)
{
    return instance_id{static_cast<std::uint32_t>(node + 1)};
}

configuration_network::node_id configuration_network::node_of(instance_id id)
{
    return id.value() - 1;
}

std::pair<configuration_network::node_id, configuration_network::node_id>
configuration_network::link(node_id left, node_id right)
{
    return std::minmax(left, right);
}

void configuration_network::start(node_id node)
{
    auto& state = nodes_[node];
    state.version = 0;
    state.exchange =
        std::make_unique<configuration_exchange>(id_of(node), now_);
    state.next_tick = now_ + step_length * (random_() % 10);
    for (node_id other = 0; other < nodes_.size(); ++other)
    {
        auto const& peer = nodes_[other];
        if (other != node && peer.exchange != nullptr &&
            !cuts_.contains(link(node, other)))
        {
            state.exchange->connected(id_of(other));
            peer.exchange->connected(id_of(node));
        }
    }
}

void configuration_network::publish()
{
    published_at_.push_back(now_);
}

void configuration_network::serve(node_id node, bool served)
{
    nodes_[node].served = served;
}

void configuration_network::cut(node_id left, node_id right, bool is_cut)
{
    bool const changed = is_cut ? cuts_.insert(link(left, right)).second
                                : cuts_.erase(link(left, right)) > 0;
    if (!changed)
    {
        return;
    }
    for (auto const& [node, peer] : {std::pair{left, right}, {right, left}})
    {
        auto& exchange = *nodes_[node].exchange;
        is_cut ? exchange.lost(id_of(peer)) : exchange.connected(id_of(peer));
    }
}

void configuration_network::remove_owner(node_id owner)
{
    nodes_[owner].owner = false;
}

void configuration_network::restart(node_id node)
{
    for (auto const& other : nodes_)
    {
        other.exchange->lost(id_of(node));
    }
    start(node);
}

void configuration_network::delay(node_id left, node_id right, duration time)
{
    delays_[link(left, right)] = time;
}

std::optional<duration>
configuration_network::apply_time(node_id node, std::uint64_t version) const
{
    auto const& times = nodes_[node].applied_at;
    if (times.size() <= version || !times[version])
    {
        return std::nullopt;
    }
    return *times[version] - published_at_[version - 1];
}

duration configuration_network::true_age(node_id node) const
{
    auto const version = nodes_[node].version;
    return version == published_at_.size() ? duration{}
                                           : now_ - published_at_[version];
}

void configuration_network::advance(duration time)
{
    auto const end = now_ + time;
    while (now_ < end)
    {
        now_ += step_length;
        while (!deliveries_.empty() && deliveries_.top().at <= now_)
        {
            auto const item = deliveries_.top();
            deliveries_.pop();
            deliver(item);
        }
        for (node_id node = 0; node < nodes_.size(); ++node)
        {
            if (now_ >= nodes_[node].next_tick)
            {
                nodes_[node].next_tick += tick_interval;
                step(node);
            }
        }
    }
}

void configuration_network::step(node_id node)
{
    auto& state = nodes_[node];
    if (state.served)
    {
        auto const as_of = now_ - store_delay;
        auto const known = std::ranges::upper_bound(published_at_, as_of) -
                           published_at_.begin();
        apply(node, static_cast<std::uint64_t>(known));
        state.exchange->store_read(as_of);
    }
    if (auto const due = state.exchange->tick(now_))
    {
        ++queries_sent_;
        send(node, node_of(due->peer), due->query);
    }
    send_heartbeats(node);
}

void configuration_network::send_heartbeats(node_id node)
{
    auto const& state = nodes_[node];
    for (node_id other = 0; other < nodes_.size(); ++other)
    {
        auto const& peer = nodes_[other];
        bool const one_owns = state.owner || peer.owner;
        bool const same_domain = state.domain == peer.domain;
        if (other == node || !one_owns)
        {
            continue;
        }
        auto const interval = same_domain   ? dense_interval
                              : state.owner ? owner_interval
                                            : remote_interval;
        bool const is_due = (now_.time_since_epoch() / tick_interval) %
                                (interval / tick_interval) ==
                            0;
        if (is_due)
        {
            send(node, other, heartbeat{state.version});
        }
    }
}

void configuration_network::send(node_id from, node_id to, message content)
{
    auto const pair = link(from, to);
    if (cuts_.contains(pair))
    {
        return;
    }
    auto const extra = delays_.find(pair);
    auto const time =
        network_delay + (extra == delays_.end() ? duration{} : extra->second);
    deliveries_.push(
        {now_ + time, ++last_number_, from, to, std::move(content)});
}

void configuration_network::deliver(delivery const& item)
{
    auto const from = item.from;
    auto const to = item.to;
    auto& state = nodes_[to];
    auto& exchange = *state.exchange;
    std::visit(
        detail::overloaded{
            [&](heartbeat const& received)
            {
                exchange.heard(id_of(from), received.version, now_);
            },
            [&](configuration_query const& query)
            {
                if (exchange.grants_document(query, document_bytes, now_))
                {
                    ++documents_sent_;
                    send(to, from, document{state.version});
                }
                send(to, from,
                     configuration_report{
                         query.number, state.version, exchange.age(now_), {}});
            },
            [&](document const& received)
            {
                apply(to, received.version);
            },
            [&](configuration_report const& report)
            {
                exchange.report_received(id_of(from), report, true, now_);
            }},
        item.content);
}

void configuration_network::apply(node_id node, std::uint64_t version)
{
    auto& state = nodes_[node];
    if (version <= state.version)
    {
        return;
    }
    state.version = version;
    state.exchange->applied(version);
    state.applied_at.resize(
        std::max(state.applied_at.size(), std::size_t{version + 1}));
    for (auto number = version; number > 0 && !state.applied_at[number];
         --number)
    {
        state.applied_at[number] = now_;
    }
}

} // namespace goldcrestgate::tests
