#include "goldcrestgate/core/leasing/speed_report.hpp"

#include <cmath>

namespace goldcrestgate::core
{

namespace
{

/// A slowdown that has moved by less changes no placement: executors that
/// differ by less are taken as equal.
constexpr double least_change = 0.08;

/// Observations that settle a speed; more change its weight only.
constexpr double settled_samples = 6.0;

bool differs(learned_speed const& now, learned_speed const& before)
{
    bool const settled_since =
        before.samples < settled_samples && now.samples >= settled_samples;
    return settled_since || std::abs(now.slowdown - before.slowdown) >
                                least_change * before.slowdown;
}

} // namespace

std::map<executor_id, learned_speed>
speed_report::take_changes(std::map<executor_id, learned_speed> const& learned)
{
    std::map<executor_id, learned_speed> changes;
    for (auto const& [id, speed] : learned)
    {
        auto const before = reported_.find(id);
        if (before == reported_.end() || differs(speed, before->second))
        {
            changes[id] = speed;
            reported_[id] = speed;
        }
    }
    return changes;
}

} // namespace goldcrestgate::core
