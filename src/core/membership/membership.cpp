#include "goldcrestgate/core/membership/membership.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

// A suspect instance is probed in two rounds, each through up to two peers.
constexpr std::uint32_t probe_rounds = 2;
constexpr std::size_t peers_per_probe_round = 2;

// A refused connection proves the end of a process only this long after the
// first contact: the result of a connection attempt from before the process
// listened may arrive late.
constexpr duration refusal_min_age = std::chrono::seconds{1};

// Unacknowledged heartbeats that are remembered; the oldest are dropped.
constexpr std::size_t max_unacknowledged = 16;

// The clocks of two instances may differ in rate by one part in this many. It
// shortens the time after which an instance may have considered this one gone.
constexpr int clock_drift_divisor = 10;

} // namespace

void membership::update_list(std::span<listed_instance const> entries,
                             time_point now, std::vector<action>& out)
{
    for (auto& [id, entry] : peers_)
    {
        entry.view.listed = false;
    }
    for (auto const& listed : entries)
    {
        if (listed.kind == listed_kind::entry_instance &&
            instance_id{listed.id} != self_.instance)
        {
            apply_listed(listed, out);
        }
    }
    disconnect_unlisted(out);
    next_deadline_ = std::min(next_deadline_, now);
    changes_.emplace_back(view_changed{});
}

void membership::apply_listed(listed_instance const& listed,
                              std::vector<action>& out)
{
    instance_id const id{listed.id};
    auto& entry = peers_[id];
    entry.view.instance = id;
    entry.view.domain = listed.domain;
    entry.view.rack = listed.rack;
    entry.view.leaving = listed.leaving;
    entry.view.listed = true;
    if (entry.address != listed.peer_address)
    {
        if (entry.incarnation_address.empty() && entry.address.empty())
        {
            entry.incarnation_address = listed.peer_address;
        }
        entry.address = listed.peer_address;
        out.emplace_back(connect_peer{listed.domain, id, listed.peer_address});
    }
}

void membership::disconnect_unlisted(std::vector<action>& out)
{
    for (auto& [id, entry] : peers_)
    {
        bool const lost = entry.view.state == instance_state::gone ||
                          entry.view.state == instance_state::ended;
        if (!entry.view.listed && lost && !entry.view.connected &&
            !entry.address.empty())
        {
            entry.address.clear();
            out.emplace_back(disconnect_peer{id});
        }
    }
}

void membership::connected(instance_key const& peer, time_point now)
{
    auto& entry = peers_[peer.instance];
    entry.view.instance = peer.instance;
    entry.view.domain = peer.domain;
    bool const lost = entry.view.state == instance_state::gone ||
                      entry.view.state == instance_state::ended;
    bool const is_newer =
        !entry.view.incarnation || *entry.view.incarnation < peer.incarnation;
    // The clock may have been set back between two processes, so a smaller
    // incarnation is accepted as well once the known one is gone or ended.
    if (is_newer || (lost && entry.view.incarnation != peer.incarnation))
    {
        adopt_incarnation(entry, peer, now);
    }
    if (entry.view.incarnation != peer.incarnation)
    {
        return;
    }
    entry.view.connected = true;
    entry.next_heartbeat = now;
    next_deadline_ = std::min(next_deadline_, now);
    entry.last_received_at = now;
    set_state(entry, instance_state::live, now);
}

void membership::adopt_incarnation(peer_entry& entry, instance_key const& peer,
                                   time_point now)
{
    if (entry.view.incarnation)
    {
        bool const proves_end = *entry.view.incarnation < peer.incarnation &&
                                !entry.address.empty() &&
                                entry.address == entry.incarnation_address;
        if (proves_end)
        {
            mark_ended(entry, now);
        }
        else
        {
            set_state(entry, instance_state::gone, now);
        }
        entry.previous = entry.view.incarnation;
        entry.previous_state = entry.view.state;
    }
    entry.view.incarnation = peer.incarnation;
    entry.view.state = instance_state::gone;
    entry.view.connected = false;
    entry.view.ready = false;
    entry.incarnation_address = entry.address;
    entry.first_contact_at = now;
    entry.highest_received_sequence = 0;
    entry.was_gone = false;
    entry.unacknowledged.clear();
    entry.acknowledged_at.reset();
}

void membership::connection_lost(instance_id peer, bool refused, time_point now)
{
    auto const found = peers_.find(peer);
    if (found == peers_.end())
    {
        return;
    }
    auto& entry = found->second;
    entry.view.connected = false;
    if (!entry.view.incarnation || entry.view.state == instance_state::ended)
    {
        return;
    }
    if (refused && now - entry.first_contact_at >= refusal_min_age)
    {
        mark_ended(entry, now);
    }
    else if (entry.view.state == instance_state::live)
    {
        set_state(entry,
                  is_own_domain(entry) ? instance_state::suspect
                                       : instance_state::gone,
                  now);
        next_deadline_ = std::min(next_deadline_, now);
    }
}

void membership::handle(instance_key const& from, heartbeat const& message,
                        time_point now)
{
    auto const found = peers_.find(from.instance);
    if (found == peers_.end() ||
        found->second.view.incarnation != from.incarnation ||
        found->second.view.state == instance_state::ended)
    {
        return;
    }
    auto& entry = found->second;
    bool const was_ready = entry.view.ready;
    if (message.sequence > entry.highest_received_sequence)
    {
        entry.highest_received_sequence = message.sequence;
        entry.view.settings = message.settings;
        entry.view.ready = message.ready;
        entry.view.open_tasks = message.open_tasks;
    }
    while (!entry.unacknowledged.empty() &&
           entry.unacknowledged.front().first <= message.heard_sequence)
    {
        entry.acknowledged_at = entry.unacknowledged.front().second;
        entry.unacknowledged.pop_front();
    }
    entry.last_received_at = now;
    set_state(entry, instance_state::live, now);
    if (was_ready != entry.view.ready)
    {
        changes_.emplace_back(view_changed{});
    }
}

void membership::handle(instance_key const& from, probe_request const& message,
                        time_point now, std::vector<action>& out) const
{
    auto const found = peers_.find(message.target.instance);
    bool const alive =
        found != peers_.end() &&
        found->second.view.incarnation == message.target.incarnation &&
        found->second.view.state == instance_state::live &&
        now - found->second.last_received_at < suspect_after_;
    out.emplace_back(send_to_peer{
        from.instance, probe_reply{message.target, message.nonce, alive}});
}

void membership::handle(instance_key const& /*from*/,
                        probe_reply const& message, time_point now)
{
    auto const found = peers_.find(message.target.instance);
    if (!message.alive || found == peers_.end() ||
        found->second.view.incarnation != message.target.incarnation ||
        found->second.view.state != instance_state::suspect)
    {
        return;
    }
    // Another peer still receives heartbeats of the suspect: the timeout
    // restarts, with new probes.
    found->second.suspect_since = now;
    found->second.probes_sent = 0;
}

void membership::set_state(peer_entry& entry, instance_state state,
                           time_point now)
{
    if (entry.view.state == state)
    {
        return;
    }
    if (state == instance_state::suspect)
    {
        entry.suspect_since = now;
        entry.probes_sent = 0;
    }
    entry.was_gone = entry.was_gone || state == instance_state::gone;
    entry.view.state = state;
    changes_.emplace_back(instance_changed{key_of(entry), state, true});
    changes_.emplace_back(view_changed{});
}

void membership::mark_ended(peer_entry& entry, time_point now)
{
    if (entry.view.state == instance_state::ended)
    {
        return;
    }
    entry.view.state = instance_state::ended;
    changes_.emplace_back(instance_changed{key_of(entry), instance_state::ended,
                                           may_have_sealed(entry, now)});
    changes_.emplace_back(view_changed{});
}

bool membership::may_have_sealed(peer_entry const& entry, time_point now) const
{
    if (!entry.acknowledged_at)
    {
        return true;
    }
    // The peer received a heartbeat of this instance after `acknowledged_at`
    // and had not considered it gone until then. At the earliest, it lost the
    // connection immediately afterwards and considered this instance gone when
    // the timeout of a suspect expired.
    auto const shortest_detection_time = gone_after_ - suspect_after_;
    return now - *entry.acknowledged_at >=
           shortest_detection_time -
               shortest_detection_time / clock_drift_divisor;
}

void membership::advance(time_point now, local_status const& status,
                         std::vector<action>& out)
{
    discount_own_pause(now);
    for (auto& [id, entry] : peers_)
    {
        check_timeouts(entry, now, out);
    }
    send_own_domain_heartbeats(now, status, out);
    send_other_domain_heartbeats(now, status, out);
    last_advance_ = now;
    next_deadline_ = now + heartbeat_interval_ / 2;
}

void membership::discount_own_pause(time_point now)
{
    auto const gap = now - last_advance_;
    if (gap <= 2 * heartbeat_interval_)
    {
        return;
    }
    // This process was paused, so heartbeats that are missing from that time
    // prove nothing.
    for (auto& [id, entry] : peers_)
    {
        entry.last_received_at = std::min(now, entry.last_received_at + gap);
        entry.suspect_since = std::min(now, entry.suspect_since + gap);
    }
}

void membership::check_timeouts(peer_entry& entry, time_point now,
                                std::vector<action>& out)
{
    if (!is_own_domain(entry) || !entry.view.incarnation)
    {
        return;
    }
    if (entry.view.state == instance_state::live &&
        now - entry.last_received_at >= suspect_after_)
    {
        set_state(entry, instance_state::suspect, now);
    }
    if (entry.view.state != instance_state::suspect)
    {
        return;
    }
    auto const wait = gone_after_ - suspect_after_;
    auto const suspect_duration = now - entry.suspect_since;
    if (suspect_duration >= wait)
    {
        set_state(entry, instance_state::gone, now);
    }
    else if (entry.probes_sent < probe_rounds &&
             suspect_duration >= wait / probe_rounds * entry.probes_sent)
    {
        send_probes(entry, out);
    }
}

void membership::send_probes(peer_entry& entry, std::vector<action>& out)
{
    ++entry.probes_sent;
    std::size_t sent = 0;
    for (auto const& [id, other] : peers_)
    {
        if (sent == peers_per_probe_round)
        {
            break;
        }
        if (is_own_domain(other) && other.view.connected &&
            other.view.state == instance_state::live)
        {
            out.emplace_back(
                send_to_peer{id, probe_request{key_of(entry), ++last_nonce_}});
            ++sent;
        }
    }
}

void membership::send_own_domain_heartbeats(time_point now,
                                            local_status const& status,
                                            std::vector<action>& out)
{
    for (auto& [id, entry] : peers_)
    {
        if (is_own_domain(entry) && entry.view.connected &&
            entry.next_heartbeat <= now)
        {
            entry.next_heartbeat = now + heartbeat_interval_;
            send_heartbeat(entry, status, now, out);
        }
    }
}

void membership::send_other_domain_heartbeats(time_point now,
                                              local_status const& status,
                                              std::vector<action>& out)
{
    if (now < next_other_domain_heartbeat_)
    {
        return;
    }
    next_other_domain_heartbeat_ =
        std::max(next_other_domain_heartbeat_, now - other_domain_interval_) +
        other_domain_interval_;
    std::set<domain_id> domains;
    for (auto const& [id, entry] : peers_)
    {
        if (!is_own_domain(entry) && entry.view.connected)
        {
            domains.insert(entry.view.domain);
        }
    }
    for (auto const& domain : domains)
    {
        auto const peers = peers_in(domain);
        auto const next = std::find_if(
            peers.begin(), peers.end(),
            [this, &domain](instance_key const& peer)
            {
                return last_heartbeat_target_[domain] < peer.instance;
            });
        auto const chosen =
            next == peers.end() ? peers.front().instance : next->instance;
        last_heartbeat_target_[domain] = chosen;
        send_heartbeat(peers_.at(chosen), status, now, out);
    }
}

void membership::send_heartbeat(peer_entry& entry, local_status const& status,
                                time_point now, std::vector<action>& out) const
{
    ++entry.last_sequence_sent;
    entry.unacknowledged.emplace_back(entry.last_sequence_sent, now);
    if (entry.unacknowledged.size() > max_unacknowledged)
    {
        entry.unacknowledged.pop_front();
    }
    // An acknowledgement asserts that this instance never considered the peer
    // gone.
    auto const acknowledged =
        entry.was_gone ? 0 : entry.highest_received_sequence;
    out.emplace_back(send_to_peer{
        entry.view.instance,
        heartbeat{self_, status.settings, status.ready, status.open_tasks,
                  entry.last_sequence_sent, acknowledged}});
}

std::vector<membership_change> membership::take_changes()
{
    return std::exchange(changes_, {});
}

} // namespace goldcrestgate::core
