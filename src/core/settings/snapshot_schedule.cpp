#include "goldcrestgate/core/settings/snapshot_schedule.hpp"

namespace goldcrestgate::core
{

snapshot_schedule::snapshot_schedule(snapshot_rules rules, time_point now)
    : rules_(rules)
    , last_snapshot_time_(now)
{
}

bool snapshot_schedule::due(settings_log const& log, std::uint64_t first_offset,
                            time_point now)
{
    if (log.last_snapshot_offset() != last_snapshot_offset_)
    {
        last_snapshot_offset_ = log.last_snapshot_offset();
        last_snapshot_time_ = now;
    }
    if (!is_needed(log, first_offset, now))
    {
        needed_since_.reset();
        return false;
    }
    if (!needed_since_)
    {
        needed_since_ = now;
    }
    bool const retry_too_soon =
        last_attempt_ && now < *last_attempt_ + retry_interval;
    if (retry_too_soon || now < *needed_since_ + rules_.delay)
    {
        return false;
    }
    last_attempt_ = now;
    needed_since_ = now;
    return true;
}

bool snapshot_schedule::is_needed(settings_log const& log,
                                  std::uint64_t first_offset,
                                  time_point now) const
{
    if (!log.ready() || log.version() == settings_version{})
    {
        return false;
    }
    // Once the first record has expired, an instance that starts can restore
    // the state from the log only if the log holds a snapshot.
    bool const no_snapshot_in_log =
        first_offset > 0 &&
        (!last_snapshot_offset_ || *last_snapshot_offset_ < first_offset);
    return no_snapshot_in_log || now >= last_snapshot_time_ + rules_.interval ||
           log.records_since_snapshot() >= rules_.record_limit;
}

} // namespace goldcrestgate::core
