#pragma once

#include "goldcrestgate/core/settings/settings_log.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <optional>

namespace goldcrestgate::core
{

/// @brief Conditions for writing a snapshot to the log.
struct snapshot_rules
{
    /// Time from the last snapshot until the next one is due; must be less than
    /// half of the log's retention, so that one lost attempt does no harm.
    duration interval{};
    /// Number of records after the last snapshot at which the next one is due.
    std::uint64_t record_limit = 0;
    /// Delay of this instance after a snapshot becomes due, so that the
    /// instances do not all write at once. A snapshot by another instance ends
    /// the delay.
    duration delay{};
};

/// @brief Decides when an instance writes a snapshot of the settings.
class snapshot_schedule
{
public:
    /// @brief Creates a schedule; the interval begins at @a now.
    snapshot_schedule(snapshot_rules rules, time_point now);

    /// @brief Returns whether to append a snapshot now.
    ///
    /// After returning `true`, it returns `false` until both the delay and
    /// @ref retry_interval have elapsed, and as long as no snapshot is due.
    /// @param log the state; nothing is due before it is ready and holds a
    /// record
    /// @param first_offset the first offset that the log still holds
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool due(settings_log const& log, std::uint64_t first_offset,
                           time_point now);

    /// Minimum time between two attempts of one instance.
    static constexpr duration retry_interval = std::chrono::seconds{30};

private:
    [[nodiscard]] bool is_needed(settings_log const& log,
                                 std::uint64_t first_offset,
                                 time_point now) const;

    snapshot_rules rules_;
    time_point last_snapshot_time_;
    std::optional<std::uint64_t> last_snapshot_offset_;
    std::optional<time_point> needed_since_;
    std::optional<time_point> last_attempt_;
};

} // namespace goldcrestgate::core
