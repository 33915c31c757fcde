#include "goldcrestgate/app/entry/entry_instance.hpp"

#include "goldcrestgate/core/detail/overloaded.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// When an owner is lost, the speeds that its successor has are older than the
/// owner's by at most this time.
constexpr core::duration speed_report_interval = std::chrono::seconds{1};

} // namespace

void entry_instance::connect(std::string_view peer_address)
{
    auto const id = instance_id_from_address(peer_address);
    if (!id || *id == self_.instance)
    {
        return;
    }
    auto& known = known_peers_[*id];
    if (known == peer_address)
    {
        return;
    }
    known = peer_address;
    peer_network_.apply(core::connect_peer{{}, *id, known});
}

void entry_instance::send(core::instance_id peer, core::peer_message message)
{
    peer_network_.apply(core::send_to_peer{peer, std::move(message)});
}

core::owner_heartbeat entry_instance::make_heartbeat() const
{
    auto const now = loop_.now();
    auto const load = scheduler_.load(now);
    auto heartbeat =
        ownership_.heartbeat(load.free_millicores, load.expected_wait, now);
    heartbeat.configuration_version = routes_.version;
    heartbeat.evacuated = evacuations_;
    heartbeat.crashes = scheduler_.crash_report(now);
    heartbeat.clock = heartbeat.term != 0 ? core::clock_reading(now) : 0;
    return heartbeat;
}

void entry_instance::send_heartbeats()
{
    auto const now = loop_.now();
    auto heartbeat = make_heartbeat();
    auto const view = ownership_.succession(now);
    auto sharing = scheduler_.origins();
    sharing.merge(gateway_.owners_in_use());
    for (auto const& [id, key] : connected_peers_)
    {
        auto const interval =
            ownership_.interval_to(key, view, sharing.contains(id));
        if (heartbeat_plan_.take_due(id, interval, now))
        {
            heartbeat.interval = interval.value_or(core::duration{});
            heartbeat.mark = caller_mark(id);
            send(id, heartbeat);
        }
    }
}

void entry_instance::announce()
{
    heartbeat_plan_.expedite_all();
    send_heartbeats();
}

// An instance that has lost its owner, or does not know it yet, learns that
// others follow one, and does not claim ownership.
void entry_instance::answer_heartbeat(core::instance_key const& from,
                                      core::owner_heartbeat const& heartbeat)
{
    bool const asks_for_owner = from.domain == self_.domain &&
                                heartbeat.term == 0 && !heartbeat.owner_known;
    if (asks_for_owner && owner_known_ && !scheduler_.owns())
    {
        send(from.instance, make_heartbeat());
    }
}

// Tells the others at once that the owner is lost, so that its successor need
// not wait for their next regular heartbeats. Only an owner reads
// the entries of executors, which change all the time.
void entry_instance::follow_succession()
{
    auto const now = loop_.now();
    bool const was_known =
        std::exchange(owner_known_, scheduler_.owns() ||
                                        ownership_.succession(now).owner_known);
    if (was_known && !owner_known_)
    {
        announce();
    }
    bool const is_successor = ownership_.is_successor(now);
    if (!is_successor && owner_known_ && !scheduler_.owns())
    {
        // The roster of this instance is no longer kept up to date.
        roster_.outdated();
    }
    if (scheduler_.owns() || ownership_.may_claim_soon(now))
    {
        executors_watch_.resume();
    }
    else
    {
        executors_watch_.pause();
        directory_.mark_store_unreachable();
    }
}

// The designated successors receive the roster before the owner uses a new
// executor.
void entry_instance::send_roster()
{
    bool const changed = std::exchange(roster_changed_, false);
    auto const successors = ownership_.designated_successors(loop_.now());
    std::vector<core::instance_id> outdated;
    for (auto const successor : successors)
    {
        bool const informed =
            std::ranges::find(informed_successors_, successor) !=
            informed_successors_.end();
        if (changed || !informed)
        {
            outdated.push_back(successor);
        }
        if (!informed)
        {
            speed_report_.repeat_all();
            scheduler_.repeat_run_times();
        }
    }
    informed_successors_ = successors;
    if (outdated.empty())
    {
        return;
    }
    // A successor discards a roster that arrives before its designation.
    for (auto const successor : outdated)
    {
        heartbeat_plan_.expedite(successor);
    }
    send_heartbeats();
    core::executor_roster roster{ownership_.term(), directory_.descriptions(),
                                 roster_.complete()};
    std::ranges::move(scheduler_.unlisted_executors(),
                      std::back_inserter(roster.executors));
    for (auto const successor : outdated)
    {
        send(successor, roster);
    }
}

// A report has only the executors whose speed has changed, usually a few.
void entry_instance::send_speeds()
{
    auto const now = loop_.now();
    if (!scheduler_.owns() || now - speeds_sent_at_ < speed_report_interval)
    {
        return;
    }
    speeds_sent_at_ = now;
    core::executor_speeds report;
    for (auto const& [id, learned] :
         speed_report_.take_changes(scheduler_.learned_speeds()))
    {
        report.executors.push_back({std::string{executor_orders_.name(id)},
                                    learned.slowdown, learned.samples});
    }
    report.run_times = scheduler_.take_run_time_changes();
    if (!report.executors.empty() || !report.run_times.empty())
    {
        for (auto const successor : informed_successors_)
        {
            send(successor, report);
        }
    }
    if (report.run_times.empty())
    {
        return;
    }
    // The routes are those of all failure domains, the executors are not.
    report.executors.clear();
    for (auto const& owner : ownership_.owners(now))
    {
        if (owner.domain != self_.domain)
        {
            send(owner.instance, report);
        }
    }
}

void entry_instance::adopt_speeds(core::instance_id owner,
                                  core::executor_speeds const& report)
{
    std::int64_t adopted = 0;
    for (auto const& [name, slowdown, samples] : report.executors)
    {
        auto const id = directory_.find(name);
        // The speed of an executor that is not listed yet is dropped; this
        // instance learns it from its own runs.
        if (id && !scheduler_.owns() &&
            scheduler_.adopt_speed(*id, {slowdown, samples}))
        {
            ++adopted;
        }
    }
    auto const run_times_adopted =
        std::ranges::count_if(report.run_times,
                              [this](core::learned_run_times const& learned)
                              {
                                  return scheduler_.adopt_run_times(learned);
                              });
    log_.write(log_line{log_level::info, "speeds_adopted"}
                   .text("owner", format_instance(owner))
                   .number("reported",
                           static_cast<std::int64_t>(report.executors.size()))
                   .number("adopted", adopted)
                   .number("run_times_adopted", run_times_adopted));
}

void entry_instance::on_peer_event(core::event&& event)
{
    std::visit(
        core::detail::overloaded{
            [this](core::peer_received& received)
            {
                on_message(received);
            },
            [this](core::peer_connected const& connected)
            {
                on_connected(connected.peer);
            },
            [this](core::peer_lost const& lost)
            {
                auto const known = connected_peers_.extract(lost.peer);
                if (known.empty() && !lost.refused)
                {
                    return;
                }
                if (!known.empty())
                {
                    log_.write(log_line{log_level::warning, "peer_lost"}
                                   .text("peer", format_instance(lost.peer))
                                   .flag("refused", lost.refused));
                }
                configuration_exchange_.lost(lost.peer);
                ownership_.lost(lost.peer, lost.refused, loop_.now());
                scheduler_.origin_lost(lost.peer, loop_.now());
            },
            [this](core::peer_messages_lost const& lost)
            {
                log_.write(
                    log_line{log_level::warning, "peer_messages_lost"}.text(
                        "peer", format_instance(lost.peer.instance)));
                offer_again(lost.peer.instance);
            },
            [](auto const&)
            {
                // The peer network delivers no other events.
            }},
        event);
}

void entry_instance::on_connected(core::instance_key const& peer)
{
    auto& last = last_incarnations_[peer.instance];
    bool const same_process = std::exchange(last, peer) == peer;
    connected_peers_[peer.instance] = peer;
    configuration_exchange_.connected(peer.instance);
    if (same_process)
    {
        scheduler_.origin_returned(peer.instance, loop_.now());
        offer_again(peer.instance);
    }
    else
    {
        clock_echoes_.forget(peer.instance);
        scheduler_.origin_lost(peer.instance, loop_.now());
    }
    log_.write(log_line{log_level::info, "peer_connected"}.text(
        "peer", format_instance(peer.instance)));
    send_addresses(peer.instance);
    // A successor that has reconnected may have missed a change.
    std::erase(informed_successors_, peer.instance);
    heartbeat_plan_.expedite(peer.instance);
    send_heartbeats();
}

void entry_instance::offer_again(core::instance_id owner)
{
    check_callers();
    std::vector<core::gateway_action> out;
    gateway_.owner_reconnected(owner, loop_.now(), out);
    apply(out);
}

// An instance whose address is known from the store reads the other addresses
// there itself. One that cannot reach the store has not published its own.
void entry_instance::send_addresses(core::instance_id peer)
{
    if (known_peers_.contains(peer))
    {
        return;
    }
    core::peer_addresses addresses;
    for (auto const& [id, address] : known_peers_)
    {
        addresses.addresses.push_back(address);
    }
    addresses.addresses.push_back(settings_.peers_address);
    send(peer, std::move(addresses));
}

std::optional<core::message_mark>
entry_instance::caller_mark(core::instance_id peer) const
{
    return clock_echoes_.mark_for(
        peer, std::max(callers_checked_at_, loop_.input_since()));
}

// Instances of earlier versions send no marks; their messages count as sent
// when they arrived.
void entry_instance::note_callers(core::peer_received const& received,
                                  std::optional<core::message_mark> const& mark)
{
    scheduler_.origin_heard(received.from.instance,
                            mark ? core::message_time(*mark, loop_.now())
                                 : loop_.input_since(),
                            received.connection);
}

void entry_instance::on_message(core::peer_received& received)
{
    auto const now = loop_.now();
    auto const& from = received.from;
    std::visit(
        core::detail::overloaded{
            [&](core::owner_heartbeat const& heartbeat)
            {
                note_callers(received, heartbeat.mark);
                if (heartbeat.clock != 0)
                {
                    clock_echoes_.received(from.instance, heartbeat.clock, now);
                }
                ownership_.heartbeat_received(from, heartbeat, now);
                answer_heartbeat(from, heartbeat);
                adopt_evacuations(heartbeat.evacuated, "peer");
                if (!heartbeat.crashes.empty())
                {
                    std::vector<core::scheduler_action> out;
                    scheduler_.adopt_crashes(heartbeat.crashes, now, out);
                    apply(out);
                }
                configuration_heard(from.instance,
                                    heartbeat.configuration_version);
                if (from.domain == self_.domain)
                {
                    roster_.owner_seen(
                        std::max(heartbeat.term, heartbeat.highest_term));
                }
            },
            [&](core::job_offer const& offer)
            {
                note_callers(received, offer.mark);
                std::vector<core::scheduler_action> out;
                scheduler_.offer(from.instance, offer, now, out);
                apply(out);
            },
            [&](core::job_withdrawal const& withdrawal)
            {
                note_callers(received, withdrawal.mark);
                std::vector<core::scheduler_action> out;
                scheduler_.withdraw(from.instance, withdrawal, now, out);
                apply(out);
            },
            [&](core::job_verdict const& verdict)
            {
                std::vector<core::gateway_action> out;
                gateway_.verdict(from.instance, verdict, owners(), now, out);
                apply(out);
            },
            [&](core::executor_roster const& roster)
            {
                if (!roster_.is_current(roster))
                {
                    return;
                }
                if (roster_.received(roster) && !executors_watch_.active())
                {
                    directory_.replace(roster.executors, now);
                }
                else
                {
                    directory_.merge(roster.executors, now);
                }
            },
            [&](core::executor_speeds const& report)
            {
                adopt_speeds(from.instance, report);
            },
            [&](core::peer_addresses const& addresses)
            {
                for (auto const& address : addresses.addresses)
                {
                    connect(address);
                }
            },
            [&](core::published_configuration const& published)
            {
                if (published.version > routes_.version)
                {
                    apply_configuration(published.document, "peer",
                                        format_instance(from.instance));
                }
            },
            [&](core::configuration_query const& query)
            {
                answer_configuration_query(from.instance, query);
            },
            [&](core::configuration_report const& report)
            {
                configuration_reported(from.instance, report);
            },
            [&](auto const&)
            {
                log_.write(
                    log_line{log_level::warning, "unexpected_message"}.text(
                        "peer", format_instance(from.instance)));
            }},
        received.message);
}

} // namespace goldcrestgate::app
