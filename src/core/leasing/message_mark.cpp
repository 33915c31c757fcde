#include "goldcrestgate/core/leasing/message_mark.hpp"

#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"

#include <algorithm>
#include <limits>

namespace goldcrestgate::core
{

namespace
{

using std::chrono::milliseconds;

/// Largest factor between the clocks of two instances.
constexpr double clock_drift = 1.02;

} // namespace

std::uint32_t clock_reading(time_point now)
{
    return static_cast<std::uint32_t>(
        std::chrono::floor<milliseconds>(now.time_since_epoch()).count());
}

time_point message_time(message_mark const& mark, time_point now)
{
    // The difference is right across a wrap-around of the readings. A reading
    // of another clock may seem to be in the future; it then counts as old.
    milliseconds const echo_age{
        static_cast<std::uint32_t>(clock_reading(now) - mark.echo)};
    milliseconds const since_echo{mark.since_echo_ms};
    auto const factor =
        since_echo > duration{} ? 1.0 / clock_drift : clock_drift;
    return std::min(now, now - echo_age +
                             detail::scale_duration(since_echo, factor));
}

void clock_echoes::received(instance_id peer, std::uint32_t reading,
                            time_point now)
{
    readings_[peer] = {reading, now};
}

void clock_echoes::forget(instance_id peer)
{
    readings_.erase(peer);
}

std::optional<message_mark> clock_echoes::mark_for(instance_id peer,
                                                   time_point as_of) const
{
    auto const found = readings_.find(peer);
    if (found == readings_.end())
    {
        return std::nullopt;
    }
    constexpr std::int64_t longest = std::numeric_limits<std::int32_t>::max();
    auto const since =
        std::chrono::floor<milliseconds>(as_of - found->second.at);
    return message_mark{found->second.reading,
                        static_cast<std::int32_t>(std::clamp<std::int64_t>(
                            since.count(), -longest, longest))};
}

} // namespace goldcrestgate::core
