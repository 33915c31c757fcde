// Connections and messages between the instances of the simulation.

#include "support/driver/simulation.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace goldcrestgate::test
{

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

constexpr sim_time dial_interval = 100ms;
constexpr sim_time dial_timeout = 1s;

bool is_copy_message(peer_message const& message)
{
    return std::holds_alternative<copy_batch>(message) ||
           std::holds_alternative<copy_ack>(message) ||
           std::holds_alternative<copy_refused>(message);
}

} // namespace

simulation::link& simulation::link_between(std::uint32_t left,
                                           std::uint32_t right)
{
    return links_[std::minmax(left, right)];
}

void simulation::dial(std::uint32_t from, std::uint32_t to, sim_time delay)
{
    if (dialing_.emplace(from, to).second)
    {
        after(delay,
              [this, from, to, generation = instances_.at(from).generation]
              {
                  dialing_.erase({from, to});
                  try_connect(from, generation, to);
              });
    }
}

void simulation::try_connect(std::uint32_t from, std::uint64_t generation,
                             std::uint32_t to)
{
    auto const& source = instances_.at(from);
    auto const& target = instances_.at(to);
    if (!source.process || link_between(from, to).up)
    {
        return;
    }
    if (source.generation != generation)
    {
        // The pending attempt belongs to an earlier process; the current
        // process makes its own.
        dial(from, to, sim_time{1});
        return;
    }
    if (!source.wanted_peers.contains(to))
    {
        return;
    }
    if (link_between(from, to).cut_until > now_)
    {
        dial(from, to, dial_timeout);
        after(dial_timeout - 1ms,
              [this, from, generation, to]
              {
                  deliver(from, generation, peer_lost{instance_id{to}, false});
              });
    }
    else if (!target.process)
    {
        dial(from, to, dial_interval);
        after(draw_duration(200, 900),
              [this, from, generation, to]
              {
                  deliver(from, generation, peer_lost{instance_id{to}, true});
              });
    }
    else if (target.paused || source.paused)
    {
        dial(from, to, dial_interval);
    }
    else
    {
        connect(from, to);
    }
}

void simulation::connect(std::uint32_t from, std::uint32_t to)
{
    link_between(from, to).up = true;
    auto const announce = [this](std::uint32_t receiver, std::uint32_t peer)
    {
        after(draw_duration(200, 1'500),
              [this, receiver, generation = instances_.at(receiver).generation,
               key = instances_.at(peer).key]
              {
                  deliver(receiver, generation, peer_connected{key});
              });
    };
    announce(from, to);
    announce(to, from);
}

void simulation::break_link(std::uint32_t left, std::uint32_t right)
{
    auto& connection = link_between(left, right);
    if (!connection.up)
    {
        return;
    }
    connection.up = false;
    auto const notify =
        [this, &connection](std::uint32_t receiver, std::uint32_t peer)
    {
        // A cut connection delivers no reset packet, so its end is detected
        // later.
        bool const is_cut = connection.cut_until > now_;
        auto const delay = is_cut ? draw_duration(1'000, 2'000'000)
                                  : draw_duration(1'600, 5'000);
        auto const generation = instances_.at(receiver).generation;
        after(delay,
              [this, receiver, generation, peer]
              {
                  if (link_between(receiver, peer).up)
                  {
                      return;
                  }
                  deliver(receiver, generation,
                          peer_lost{instance_id{peer}, false});
                  dial(receiver, peer, dial_interval);
              });
    };
    notify(left, right);
    notify(right, left);
}

void simulation::cut(std::uint32_t left, std::uint32_t right, sim_time span)
{
    if (left == right)
    {
        return;
    }
    auto& connection = link_between(left, right);
    connection.cut_until = std::max(connection.cut_until, now_ + span);
    after(draw_duration(200'000, 2'500'000),
          [this, left, right]
          {
              if (link_between(left, right).cut_until > now_)
              {
                  break_link(left, right);
              }
          });
}

void simulation::send(instance& source, send_to_peer const& order)
{
    auto const from = source.key.instance.value();
    auto const to = order.peer.value();
    ++counts_.peer_messages;
    counts_.copy_messages += is_copy_message(order.message) ? 1 : 0;
    auto const& connection = link_between(from, to);
    if (!connection.up || connection.cut_until > now_ ||
        draw_chance(plan_.loss))
    {
        return;
    }
    int const transmissions = draw_chance(plan_.duplication) ? 2 : 1;
    for (int i = 0; i < transmissions; ++i)
    {
        // Delayed messages model those of connections that have been replaced
        // in the meantime.
        auto const delay = draw_chance(plan_.delay)
                               ? draw_duration(1'000, 3'000'000)
                               : draw_duration(1'500, 2'500);
        after(delay,
              [this, to, generation = instances_.at(to).generation,
               key = source.key, message = order.message]
              {
                  deliver(to, generation, peer_received{key, message});
              });
    }
}

} // namespace goldcrestgate::test
