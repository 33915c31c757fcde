#include "support/domain_cluster.hpp"

#include "goldcrestgate/core/detail/overloaded.hpp"

namespace goldcrestgate::tests
{

using namespace core;
using std::chrono::milliseconds;

namespace
{

constexpr duration network_delay = milliseconds{2};
constexpr duration tick_interval = milliseconds{20};

/// Difference between the clocks of two successive instances.
constexpr duration clock_step = std::chrono::hours{1};

/// Offers of a process have numbers below this power of 2 times the next one's.
constexpr unsigned process_number_bits = 32;

/// Sizes of instances, in thousandths of a core.
constexpr std::uint32_t largest_weight = 500;
constexpr std::uint32_t weight_step = 10;

} // namespace

domain_cluster::node_state::node_state(instance_key given,
                                       std::uint32_t instance_weight,
                                       executor_fleet& fleet)
    : key(given)
    , weight(instance_weight)
    , ownership(given, weight, fleet.now())
    , gateway(given.domain, given.incarnation.value() << process_number_bits,
              given.instance)
    , executors(fleet)
{
}

domain_cluster::domain_cluster(std::uint16_t domains, std::size_t instances,
                               std::uint32_t executors)
    : fleet_(std::size_t{domains} * executors)
    , executors_per_domain_(executors)
{
    for (std::uint16_t domain = 0; domain < domains; ++domain)
    {
        for (std::size_t i = 0; i < instances; ++i)
        {
            auto const node = nodes_.size();
            instance_key const key{
                domain_id{static_cast<std::uint16_t>(domain + 1)},
                instance_id{static_cast<std::uint32_t>(node + 1)},
                incarnation{1}};
            nodes_.emplace_back(std::make_unique<node_state>(
                key,
                largest_weight - weight_step * static_cast<std::uint32_t>(i),
                fleet_));
            begin(node);
        }
    }
}

void domain_cluster::begin(std::size_t node)
{
    auto& added = *nodes_[node];
    auto const domain = std::uint32_t{added.key.domain.value()} - 1;
    for (std::uint32_t j = 1; j <= executors_per_domain_; ++j)
    {
        added.executors.list(executor_id{domain * executors_per_domain_ + j});
    }
    added.executors.verdict_receiver =
        [this, node](report_verdict const& report)
    {
        auto const origin = index_of(report.origin);
        deliver(node, origin,
                [this, node, origin, verdict = report.verdict]
                {
                    auto& receiver = *nodes_[origin];
                    std::vector<gateway_action> out;
                    receiver.gateway.verdict(nodes_[node]->key.instance,
                                             verdict, owners(receiver),
                                             fleet_.now(), out);
                    apply(origin, out);
                });
    };
    schedule_tick(node, milliseconds{node});
}

void domain_cluster::reset(std::size_t left, std::size_t right)
{
    for (auto const& [node, peer] :
         {std::pair{left, right}, std::pair{right, left}})
    {
        lose_connection(node, peer, false);
    }
}

void domain_cluster::lose_connection(std::size_t node, std::size_t peer,
                                     bool ended)
{
    auto& state = *nodes_[node];
    auto const id = nodes_[peer]->key.instance;
    ++state.resets[peer];
    state.disconnected.insert(peer);
    when_resumed(node,
                 [this, node, id, ended]
                 {
                     auto& loser = *nodes_[node];
                     loser.ownership.lost(id, ended, fleet_.now());
                     loser.executors.scheduler.origin_lost(id, fleet_.now());
                 });
}

bool domain_cluster::is_down(std::size_t node) const
{
    return nodes_[node]->down;
}

void domain_cluster::when_resumed(std::size_t node, std::function<void()> work)
{
    if (!is_paused(node))
    {
        work();
        return;
    }
    fleet_.schedule(nodes_[node]->paused_until - fleet_.now(),
                    [this, node, work = std::move(work)]
                    {
                        when_resumed(node, work);
                    });
}

void domain_cluster::pause(std::size_t node, duration time)
{
    auto& state = *nodes_[node];
    state.paused_until = fleet_.now() + time;
    state.executors.pause(time);
    fleet_.schedule(time,
                    [this, node, time]
                    {
                        resume(node, time);
                    });
}

bool domain_cluster::is_paused(std::size_t node) const
{
    return fleet_.now() < nodes_[node]->paused_until;
}

void domain_cluster::resume(std::size_t node, duration paused)
{
    if (paused > pause_limit)
    {
        nodes_[node]->ownership.paused(fleet_.now());
        decide_ownership(node);
    }
}

void domain_cluster::restart(std::size_t node, duration down_time)
{
    replace_process(node);
    nodes_[node]->paused_until = fleet_.now() + down_time;
    nodes_[node]->down = true;
    fleet_.schedule(down_time,
                    [this, node]
                    {
                        replace_process(node);
                        begin(node);
                    });
    for (std::size_t other = 0; other < nodes_.size(); ++other)
    {
        if (other != node)
        {
            ++nodes_[node]->resets[other];
            lose_connection(other, node, true);
        }
    }
}

void domain_cluster::replace_process(std::size_t node)
{
    auto key = nodes_[node]->key;
    key.incarnation = incarnation{key.incarnation.value() + 1};
    auto ended = std::exchange(
        nodes_[node],
        std::make_unique<node_state>(key, nodes_[node]->weight, fleet_));
    nodes_[node]->resets = ended->resets;
    nodes_[node]->roster_known = false;
    ended->executors.kill();
    ended->executors.verdict_receiver = nullptr;
    ended_.push_back(std::move(ended));
}

void domain_cluster::disconnect_caller(std::size_t node, request_id request,
                                       duration elapsed)
{
    std::vector<gateway_action> out;
    nodes_[node]->gateway.caller_disconnected(request, fleet_.now(), out,
                                              elapsed);
    apply(node, out);
}

std::optional<std::size_t> domain_cluster::owner_of(domain_id domain) const
{
    for (std::size_t node = 0; node < nodes_.size(); ++node)
    {
        auto const& state = *nodes_[node];
        if (state.key.domain == domain && !is_paused(node) &&
            state.executors.scheduler.owns())
        {
            return node;
        }
    }
    return std::nullopt;
}

std::size_t domain_cluster::index_of(instance_id instance)
{
    return std::size_t{instance.value()} - 1;
}

void domain_cluster::set_held(std::size_t from, std::size_t to, bool held,
                              duration later)
{
    if (held)
    {
        held_.try_emplace({from, to});
        return;
    }
    auto const messages = held_.extract({from, to});
    if (messages.empty())
    {
        return;
    }
    // What the sender sends next on the same connection does not overtake them.
    bool const has_closed = nodes_[from]->disconnected.contains(to);
    fleet_.schedule(network_delay + (has_closed ? later : duration{}),
                    [this, released = messages.mapped()]
                    {
                        for (auto const& message : released)
                        {
                            receive(message);
                        }
                    });
}

bool domain_cluster::is_held(std::size_t left, std::size_t right) const
{
    return held_.contains({left, right}) || held_.contains({right, left});
}

std::uint64_t& domain_cluster::connection(std::size_t left, std::size_t right)
{
    return connections_[std::minmax(left, right)];
}

time_point domain_cluster::clock_of(std::size_t node) const
{
    return fleet_.now() + clock_step * node;
}

std::optional<message_mark> domain_cluster::caller_mark(std::size_t from,
                                                        std::size_t to) const
{
    return nodes_[from]->echoes.mark_for(nodes_[to]->key.instance,
                                         clock_of(from));
}

void domain_cluster::note_callers(std::size_t from, std::size_t to,
                                  std::optional<message_mark> const& mark)
{
    auto& receiver = *nodes_[to];
    auto const age =
        mark ? clock_of(to) - message_time(*mark, clock_of(to)) : duration{};
    receiver.executors.scheduler.origin_heard(nodes_[from]->key.instance,
                                              fleet_.now() - age,
                                              receiver.receiving[from]);
}

bool domain_cluster::is_cut(std::size_t left, std::size_t right) const
{
    return left != right && (nodes_[left]->cut || nodes_[right]->cut);
}

void domain_cluster::set_cut(std::size_t node, bool cut)
{
    nodes_[node]->cut = cut;
    // Messages that were lost during the cut are not repeated, so the
    // connections are made anew.
    for (std::size_t other = 0; other < nodes_.size(); ++other)
    {
        if (other != node)
        {
            nodes_[node]->disconnected.insert(other);
        }
    }
}

void domain_cluster::submit(std::size_t node, request_id request,
                            leased_job const& job)
{
    std::vector<gateway_action> out;
    nodes_[node]->gateway.submit(request, job, owners(*nodes_[node]),
                                 fleet_.now(), out);
    apply(node, out);
}

void domain_cluster::deliver(std::size_t from, std::size_t to,
                             std::function<void()> work)
{
    if (from == to)
    {
        work();
        return;
    }
    bool const has_no_connection =
        is_held(from, to) && nodes_[from]->disconnected.contains(to);
    if (is_cut(from, to) || has_no_connection)
    {
        return;
    }
    sent_message message{from, to, connection(from, to),
                         nodes_[to]->resets[from], std::move(work)};
    if (auto const held = held_.find({from, to}); held != held_.end())
    {
        held->second.push_back(std::move(message));
        return;
    }
    fleet_.schedule(network_delay,
                    [this, message = std::move(message)]
                    {
                        receive(message);
                    });
}

void domain_cluster::deliver_to_scheduler(
    std::size_t from, std::size_t to, std::optional<message_mark> const& mark,
    scheduler_handler handle)
{
    deliver(from, to,
            [this, from, to, mark, handle = std::move(handle)]
            {
                if (from != to)
                {
                    note_callers(from, to, mark);
                }
                auto& target = nodes_[to]->executors;
                std::vector<scheduler_action> out;
                handle(target.scheduler, fleet_.now(), out);
                target.apply(out);
            });
}

void domain_cluster::receive(sent_message const& message)
{
    auto const from = message.from;
    auto& receiver = *nodes_[message.to];
    if (is_cut(from, message.to) || receiver.down ||
        receiver.resets[from] != message.resets)
    {
        return;
    }
    if (is_paused(message.to))
    {
        when_resumed(message.to,
                     [this, message]
                     {
                         receive(message);
                     });
        return;
    }
    // An instance closes the connection on which a peer no longer sends.
    auto& receiving = receiver.receiving[from];
    if (message.connection >= receiving)
    {
        receiving = message.connection;
        message.work();
    }
}

void domain_cluster::tick(std::size_t node)
{
    auto& state = *nodes_[node];
    if (is_paused(node))
    {
        schedule_tick(node, state.paused_until - fleet_.now());
        return;
    }
    auto const now = fleet_.now();
    state.executors.scheduler.origin_heard(state.key.instance, now);
    for (auto const peer : state.ownership.take_unresponsive(now))
    {
        state.executors.scheduler.origin_lost(peer, now);
        state.disconnected.insert(index_of(peer));
        if (is_held(node, index_of(peer)))
        {
            // The closed connection refuses what is held up.
            ++state.resets[index_of(peer)];
        }
    }
    auto const disconnected = state.disconnected;
    for (auto const peer : disconnected)
    {
        if (!is_cut(node, peer) && !is_held(node, peer) && !is_paused(peer))
        {
            reconnect(node, peer);
        }
    }
    decide_ownership(node);
    std::vector<gateway_action> out;
    state.gateway.tick(owners(state), now, out);
    apply(node, out);
    send_heartbeats(node);
    schedule_tick(node, tick_interval);
}

void domain_cluster::schedule_tick(std::size_t node, duration delay)
{
    fleet_.schedule(delay,
                    [this, node, process = nodes_[node]->key.incarnation]
                    {
                        if (nodes_[node]->key.incarnation == process)
                        {
                            tick(node);
                        }
                    });
}

void domain_cluster::decide_ownership(std::size_t node)
{
    auto& state = *nodes_[node];
    auto& scheduler = state.executors.scheduler;
    auto const now = fleet_.now();
    if (scheduler.fenced())
    {
        state.ownership.fenced(scheduler.load(now).claimed == 0, now);
    }
    auto const unix_ms =
        static_cast<std::uint64_t>(now.time_since_epoch() / milliseconds{1});
    std::vector<scheduler_action> out;
    if (auto const token = state.ownership.silent_owner_token(now))
    {
        scheduler.probe_owner(*token, now, out);
    }
    auto const decision =
        state.ownership.decide(now, unix_ms, scheduler.evidence(now));
    if (auto const* const claim = std::get_if<claim_ownership>(&decision))
    {
        ++claims_;
        scheduler.take_over(claim->token, state.roster_known, now, out);
        state.plan.expedite_all();
    }
    else if (std::holds_alternative<release_ownership>(decision))
    {
        scheduler.release_ownership(now, out);
        state.plan.expedite_all();
    }
    state.executors.apply(out);
    bool const was_known = std::exchange(
        state.owner_known,
        scheduler.owns() || state.ownership.succession(now).owner_known);
    if (was_known && !state.owner_known)
    {
        state.plan.expedite_all();
    }
}

void domain_cluster::reconnect(std::size_t left, std::size_t right)
{
    ++connection(left, right);
    for (auto const& [node, peer] :
         {std::pair{left, right}, std::pair{right, left}})
    {
        auto& state = *nodes_[node];
        auto const [domain, id, process] = nodes_[peer]->key;
        state.disconnected.erase(peer);
        state.plan.expedite(id);
        if (std::exchange(state.processes[peer], process) != process)
        {
            state.echoes.forget(id);
            state.executors.scheduler.origin_lost(id, fleet_.now());
            continue;
        }
        state.executors.scheduler.origin_returned(id, fleet_.now());
        std::vector<gateway_action> out;
        state.gateway.owner_reconnected(id, fleet_.now(), out);
        apply(node, out);
    }
}

owner_heartbeat domain_cluster::make_heartbeat(node_state const& node) const
{
    auto const now = fleet_.now();
    auto const load = node.executors.scheduler.load(now);
    auto heartbeat =
        node.ownership.heartbeat(load.free_millicores, load.expected_wait, now);
    if (heartbeat.term != 0)
    {
        heartbeat.clock = clock_reading(clock_of(index_of(node.key.instance)));
    }
    return heartbeat;
}

void domain_cluster::send_heartbeats(std::size_t node)
{
    auto& state = *nodes_[node];
    auto const now = fleet_.now();
    auto heartbeat = make_heartbeat(state);
    auto const view = state.ownership.succession(now);
    auto sharing = state.executors.scheduler.origins();
    sharing.merge(state.gateway.owners_in_use());
    for (std::size_t other = 0; other < nodes_.size(); ++other)
    {
        auto const& key = nodes_[other]->key;
        if (other == node)
        {
            continue;
        }
        auto interval = state.ownership.interval_to(
            key, view, sharing.contains(key.instance));
        if (interval && key.domain != state.key.domain)
        {
            *interval *= remote_interval_factor_;
        }
        if (state.plan.take_due(key.instance, interval, now))
        {
            heartbeat.interval = interval.value_or(duration{});
            heartbeat.mark = caller_mark(node, other);
            deliver(node, other,
                    [this, node, other, heartbeat]
                    {
                        receive_heartbeat(node, other, heartbeat);
                    });
        }
    }
}

void domain_cluster::receive_heartbeat(std::size_t from, std::size_t to,
                                       owner_heartbeat const& heartbeat)
{
    auto& receiver = *nodes_[to];
    auto const& sender = nodes_[from]->key;
    note_callers(from, to, heartbeat.mark);
    if (heartbeat.clock != 0)
    {
        receiver.echoes.received(sender.instance, heartbeat.clock,
                                 clock_of(to));
    }
    receiver.ownership.heartbeat_received(sender, heartbeat, fleet_.now());
    bool const asks_for_owner = sender.domain == receiver.key.domain &&
                                heartbeat.term == 0 && !heartbeat.owner_known;
    if (asks_for_owner && receiver.owner_known &&
        !receiver.executors.scheduler.owns())
    {
        deliver(to, from,
                [this, from, to, answer = make_heartbeat(receiver)]
                {
                    nodes_[from]->ownership.heartbeat_received(
                        nodes_[to]->key, answer, fleet_.now());
                });
    }
}

std::vector<owner_view> domain_cluster::owners(node_state const& node) const
{
    auto const now = fleet_.now();
    auto views = node.ownership.owners(now);
    for (auto& view : views)
    {
        if (view.instance == node.key.instance)
        {
            auto const load = node.executors.scheduler.load(now);
            view.free_millicores = load.free_millicores;
            view.expected_wait = load.expected_wait;
        }
    }
    return views;
}

void domain_cluster::apply(std::size_t node,
                           std::vector<gateway_action> const& actions)
{
    auto const origin = nodes_[node]->key.instance;
    for (auto const& action : actions)
    {
        std::visit(
            detail::overloaded{
                [&](send_offer const& offered)
                {
                    auto offer = offered.offer;
                    offer.mark = caller_mark(node, index_of(offered.owner));
                    deliver_to_scheduler(
                        node, index_of(offered.owner), offer.mark,
                        [origin, offer](job_scheduler& scheduler,
                                        time_point now,
                                        std::vector<scheduler_action>& out)
                        {
                            scheduler.offer(origin, offer, now, out);
                        });
                },
                [&](send_withdrawal const& withdrawn)
                {
                    auto withdrawal = withdrawn.withdrawal;
                    withdrawal.mark =
                        caller_mark(node, index_of(withdrawn.owner));
                    deliver_to_scheduler(
                        node, index_of(withdrawn.owner), withdrawal.mark,
                        [origin, withdrawal](job_scheduler& scheduler,
                                             time_point now,
                                             std::vector<scheduler_action>& out)
                        {
                            scheduler.withdraw(origin, withdrawal, now, out);
                        });
                },
                [&](answer_job const& answer)
                {
                    on_answer(answer);
                }},
            action);
    }
}

} // namespace goldcrestgate::tests
