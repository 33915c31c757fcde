#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace goldcrestgate::core
{

/// @brief An entry instance's need for slots, as announced to the others of its
/// failure domain.
struct slot_need
{
    /// Tasks that wait for a slot.
    std::uint32_t waiting = 0;
    /// Slots that the instance holds, used or free.
    std::uint32_t held = 0;
};

/// @brief Slots of a server that one instance transfers to another.
struct slot_transfer
{
    server_id server;
    std::uint32_t count = 0;
};

/// @brief The slot transfers and the need that one entry instance sends to
/// another in one message.
struct slot_update
{
    /// The rank of the other instance: the receiver of an update to send, the
    /// sender of a received one.
    std::uint32_t rank = 0;
    std::optional<slot_need> need;
    std::vector<slot_transfer> transfers;
};

/// @brief Decides how many free slots this instance transfers to which of the
/// others, and when it announces its own need.
///
/// Without waiting tasks, this instance transfers free slots to instances that
/// have some. If both have waiting tasks, a slot that became free is
/// transferred only to an instance with clearly more waiting tasks for each
/// slot that it holds.
class slot_exchange
{
public:
    /// @brief Sets the live instances and discards their needs.
    /// @pre @a rank is less than @a count
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_view(std::uint32_t rank, std::uint32_t count);

    /// @brief Records the need that another instance announced.
    /// @pre @a rank is less than the count of the last @ref set_view; otherwise
    /// the call has no effect
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void record_need(std::uint32_t rank, slot_need need);

    /// @brief Divides free slots among the other instances.
    /// @param own this instance's need
    /// @param free slots that are held and not used
    /// @return slots to transfer, by rank; valid until the next call
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    std::vector<std::uint32_t> const& divide(slot_need own, std::uint32_t free);

    /// @brief Returns the slots that this instance can expect for its waiting
    /// tasks: a share in proportion to the waiting tasks of all instances.
    /// @param slots all slots of the failure domain
    /// @param waiting this instance's waiting tasks, new ones included
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t expected_slots(std::uint32_t slots,
                                               std::uint32_t waiting) const;

    /// @brief Returns whether to announce the need to the others now, and if
    /// so, records it as announced.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    bool should_announce(slot_need own, time_point now);

private:
    void grant(std::uint32_t rank, std::uint32_t count);
    std::uint32_t grant_to_starved(std::uint32_t free);
    void divide_surplus(std::uint32_t free);
    void divide_contended(slot_need own, std::uint32_t free);

    std::uint32_t rank_ = 0;
    std::vector<slot_need> needs_;
    std::vector<std::uint32_t> granted_;
    slot_need announced_;
    std::optional<time_point> announced_at_;
};

} // namespace goldcrestgate::core
