#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace goldcrestgate::core
{

/// @brief Tells the age of a message on the clock of its receiver.
///
/// Instances have no common clock. An owner puts the reading of its clock into
/// its heartbeats; the messages to it return the last reading and the time
/// since that one arrived. So any delay between the two instances, in a link, a
/// buffer or a paused process, counts as age.
struct message_mark
{
    /// Reading of the receiver's clock, see @ref clock_reading.
    std::uint32_t echo = 0;
    /// Milliseconds from the arrival of the reading to the time as of which the
    /// message tells the sender's state; negative if that was before.
    std::int32_t since_echo_ms = 0;
};

/// @brief Returns the reading of a clock in milliseconds, which wraps around.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::uint32_t clock_reading(time_point now);

/// @brief Returns the time as of which a message tells the state of its sender,
/// or an earlier one. It is not after @a now.
/// @param now time at the receiver of the message
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] time_point message_time(message_mark const& mark, time_point now);

/// @brief The clock readings that other instances have sent last.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class clock_echoes
{
public:
    /// @brief Records a reading in a heartbeat of an instance.
    void received(instance_id peer, std::uint32_t reading, time_point now);

    /// @brief Forgets the reading of an instance whose process has been
    /// replaced; the clock of the next one may differ.
    void forget(instance_id peer);

    /// @brief Returns the mark of a message to an instance.
    /// @param as_of time as of which the message tells the sender's state
    /// @return nothing if the instance has sent no reading
    [[nodiscard]] std::optional<message_mark> mark_for(instance_id peer,
                                                       time_point as_of) const;

private:
    struct received_reading
    {
        std::uint32_t reading = 0;
        time_point at{};
    };

    std::map<instance_id, received_reading> readings_;
};

} // namespace goldcrestgate::core
