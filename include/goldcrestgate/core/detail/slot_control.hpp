#pragma once

#include "goldcrestgate/core/detail/dispatcher_state.hpp"
#include "goldcrestgate/core/messages.hpp"

#include <cstdint>
#include <vector>

namespace goldcrestgate::core::detail
{

/// @brief Shares the slots of the servers with the other live instances of this
/// failure domain.
///
/// Whenever the set of live instances changes, the slots are divided into equal
/// shares; after that, instances transfer free slots to those with waiting
/// tasks. Not thread-safe; used by one dispatcher only.
class slot_control
{
public:
    explicit slot_control(dispatcher_state& state);

    /// @brief Resets the slots to equal shares if the set of live instances has
    /// changed.
    void view_changed(event_context& context);

    /// @brief Resets the slots to equal shares; also called when messages may
    /// have been lost.
    void restart(event_context& context);

    /// @brief Records a peer's need and adds the slots that it transfers.
    void received(instance_key const& from, slot_message const& message);

    /// @brief Transfers free slots and announces this instance's need if it has
    /// changed.
    void exchange(event_context& context);

private:
    void rebuild_view();

    dispatcher_state& state_;
    /// The live instances in order of rank, including this one.
    std::vector<instance_id> instances_by_rank_;
    /// Buffer for the updates of one exchange, reused to avoid allocations.
    std::vector<slot_update> updates_;
    std::uint64_t view_id_ = 0;
    time_point transfers_allowed_from_;
};

} // namespace goldcrestgate::core::detail
