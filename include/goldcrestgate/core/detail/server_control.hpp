#pragma once

#include "goldcrestgate/core/detail/dispatcher_state.hpp"
#include "goldcrestgate/core/events.hpp"

namespace goldcrestgate::core::detail
{

/// @brief Keeps the backend servers of this failure domain in line with the
/// instance list.
///
/// Not thread-safe; used by one dispatcher only.
class server_control
{
public:
    explicit server_control(dispatcher_state& state);

    /// @brief Adds, updates and removes servers according to the list.
    void apply(instance_list const& list, event_context& context);

private:
    void add(listed_instance const& entry, event_context& context);
    void update(known_server& known, listed_instance const& entry,
                event_context& context);
    void set_leaving(server_id server, bool leaving);
    void remove_unlisted(instance_list const& list, event_context& context);

    dispatcher_state& state_;
};

} // namespace goldcrestgate::core::detail
