#include "goldcrestgate/core/detail/server_control.hpp"

#include <algorithm>
#include <chrono>
#include <unordered_set>

namespace goldcrestgate::core::detail
{

namespace
{

/// A server that refused a start because it is leaving is used again after this
/// time if the list still shows it as live, as it may have been restarted.
constexpr duration leaving_refusal_lifetime = std::chrono::seconds{10};

std::uint32_t slots_of(listed_instance const& entry)
{
    return std::max(1U, entry.slots);
}

} // namespace

server_control::server_control(dispatcher_state& state)
    : state_(state)
{
}

void server_control::apply(instance_list const& list, event_context& context)
{
    for (listed_instance const& entry : list.entries)
    {
        bool const is_own = entry.kind == listed_kind::backend_server &&
                            entry.domain == state_.options.self.domain;
        if (!is_own)
        {
            continue;
        }
        auto const known = state_.servers.find(server_id{entry.id});
        if (known == state_.servers.end())
        {
            add(entry, context);
        }
        else
        {
            update(known->second, entry, context);
        }
    }
    remove_unlisted(list, context);
}

void server_control::add(listed_instance const& entry, event_context& context)
{
    server_id const server{entry.id};
    state_.servers[server].listed = entry;
    state_.router.add_server(server, slots_of(entry));
    set_leaving(server, entry.leaving);
    context.out.emplace_back(connect_server{server, entry.address});
}

void server_control::update(known_server& known, listed_instance const& entry,
                            event_context& context)
{
    server_id const server{entry.id};
    if (known.listed.address != entry.address)
    {
        context.out.emplace_back(connect_server{server, entry.address});
    }
    if (slots_of(known.listed) != slots_of(entry))
    {
        state_.router.add_server(server, slots_of(entry));
    }
    bool const refusal_is_over =
        known.refused_leaving_at &&
        context.now - *known.refused_leaving_at >= leaving_refusal_lifetime;
    if (known.listed.leaving != entry.leaving || refusal_is_over)
    {
        known.refused_leaving_at.reset();
        set_leaving(server, entry.leaving);
    }
    known.listed = entry;
}

void server_control::set_leaving(server_id server, bool leaving)
{
    state_.router.set_leaving(
        server, leaving && !state_.options.defects.ignores_leaving);
}

void server_control::remove_unlisted(instance_list const& list,
                                     event_context& context)
{
    std::unordered_set<server_id> listed;
    for (listed_instance const& entry : list.entries)
    {
        if (entry.kind == listed_kind::backend_server &&
            entry.domain == state_.options.self.domain)
        {
            listed.insert(server_id{entry.id});
        }
    }
    std::erase_if(state_.servers,
                  [&](auto const& entry)
                  {
                      bool const is_gone = !listed.contains(entry.first);
                      if (is_gone)
                      {
                          state_.router.remove_server(entry.first);
                          context.out.emplace_back(
                              disconnect_server{entry.first});
                      }
                      return is_gone;
                  });
}

} // namespace goldcrestgate::core::detail
