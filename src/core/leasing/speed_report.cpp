#include "goldcrestgate/core/leasing/speed_report.hpp"

#include <cmath>

namespace goldcrestgate::core
{

namespace
{

/// Minimum relative change of a slowdown that is reported; smaller changes do
/// not affect placement, which treats such slowdowns as equal.
constexpr double min_reported_change = 0.08;

/// Number of observations from which on a speed counts as stable; further
/// observations change only its weight.
constexpr double stable_samples = 6.0;

bool differs(learned_speed const& now, learned_speed const& before)
{
    bool const became_stable =
        before.samples < stable_samples && now.samples >= stable_samples;
    return became_stable || std::abs(now.slowdown - before.slowdown) >
                                min_reported_change * before.slowdown;
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
