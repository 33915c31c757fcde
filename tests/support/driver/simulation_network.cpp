// The connections and messages between the instances of a run.

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

world::link& world::link_of(std::uint32_t left, std::uint32_t right)
{
    return links_[std::minmax(left, right)];
}

void world::dial(std::uint32_t from, std::uint32_t to, sim_time delay)
{
    if (dialing_.emplace(from, to).second)
    {
        after(delay,
              [this, from, to, life = instances_.at(from).life]
              {
                  dialing_.erase({from, to});
                  try_connect(from, life, to);
              });
    }
}

void world::try_connect(std::uint32_t from, std::uint64_t life,
                        std::uint32_t to)
{
    auto const& source = instances_.at(from);
    auto const& target = instances_.at(to);
    if (!source.process || link_of(from, to).up)
    {
        return;
    }
    if (source.life != life)
    {
        // The attempt of an earlier process; the present one tries anew.
        dial(from, to, sim_time{1});
        return;
    }
    if (!source.wanted_peers.contains(to))
    {
        return;
    }
    if (link_of(from, to).cut_until > now_)
    {
        dial(from, to, dial_timeout);
        after(dial_timeout - 1ms,
              [this, from, life, to]
              {
                  give(from, life, peer_lost{instance_id{to}, false});
              });
    }
    else if (!target.process)
    {
        dial(from, to, dial_interval);
        after(draw_ms(200, 900),
              [this, from, life, to]
              {
                  give(from, life, peer_lost{instance_id{to}, true});
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

void world::connect(std::uint32_t from, std::uint32_t to)
{
    link_of(from, to).up = true;
    auto const announce = [this](std::uint32_t receiver, std::uint32_t peer)
    {
        after(draw_ms(200, 1'500),
              [this, receiver, life = instances_.at(receiver).life,
               key = instances_.at(peer).key]
              {
                  give(receiver, life, peer_connected{key});
              });
    };
    announce(from, to);
    announce(to, from);
}

void world::break_link(std::uint32_t left, std::uint32_t right)
{
    auto& connection = link_of(left, right);
    if (!connection.up)
    {
        return;
    }
    connection.up = false;
    auto const tell =
        [this, &connection](std::uint32_t told, std::uint32_t peer)
    {
        // Without a reset packet, the end shows later.
        bool const is_cut = connection.cut_until > now_;
        auto const delay =
            is_cut ? draw_ms(1'000, 2'000'000) : draw_ms(1'600, 5'000);
        auto const life = instances_.at(told).life;
        after(delay,
              [this, told, life, peer]
              {
                  if (link_of(told, peer).up)
                  {
                      return;
                  }
                  give(told, life, peer_lost{instance_id{peer}, false});
                  dial(told, peer, dial_interval);
              });
    };
    tell(left, right);
    tell(right, left);
}

void world::cut(std::uint32_t left, std::uint32_t right, sim_time span)
{
    if (left == right)
    {
        return;
    }
    auto& connection = link_of(left, right);
    connection.cut_until = std::max(connection.cut_until, now_ + span);
    after(draw_ms(200'000, 2'500'000),
          [this, left, right]
          {
              if (link_of(left, right).cut_until > now_)
              {
                  break_link(left, right);
              }
          });
}

void world::send(instance& source, send_to_peer const& order)
{
    auto const from = source.key.instance.value();
    auto const to = order.peer.value();
    ++counts_.peer_messages;
    counts_.copy_messages += is_copy_message(order.message) ? 1 : 0;
    auto const& connection = link_of(from, to);
    if (!connection.up || connection.cut_until > now_ ||
        draw_chance(plan_.loss))
    {
        return;
    }
    int const copies = draw_chance(plan_.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        // Late messages come from connections that were replaced meanwhile.
        auto const delay = draw_chance(plan_.delay) ? draw_ms(1'000, 3'000'000)
                                                    : draw_ms(1'500, 2'500);
        after(delay,
              [this, to, life = instances_.at(to).life, key = source.key,
               message = order.message]
              {
                  give(to, life, peer_received{key, message});
              });
    }
}

} // namespace goldcrestgate::test
