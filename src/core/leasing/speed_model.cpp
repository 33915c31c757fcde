#include "goldcrestgate/core/leasing/speed_model.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// Window sizes of the moving averages, in samples. Estimates are wrong by up
/// to 40%, so twenty samples leave an error of about 5%.
constexpr double executor_window = 20.0;
constexpr double kind_window = 64.0;
constexpr double overall_window = 256.0;

/// Weight of the average of the executor's kind, in samples, against the
/// executor's own samples.
constexpr double prior_weight = 1.0;

/// Two consecutive samples that differ from the average by this factor in the
/// same direction indicate that the executor's speed has changed.
constexpr double change_factor = 2.2;

/// Range of a sample; a value outside is attributed to a wrong estimate, not to
/// the executor, and is clamped.
constexpr double min_sample = 0.1;
constexpr double max_sample = 10.0;

} // namespace

void speed_model::average::add(double sample, double added_weight,
                               double window)
{
    weight = std::min(weight + added_weight, window);
    value += (sample - value) * added_weight / weight;
}

void speed_model::entry::observe(double sample, double weight)
{
    int const deviation = sample > own.value * change_factor   ? 1
                          : sample * change_factor < own.value ? -1
                                                               : 0;
    if (deviation != 0 && deviation == last_deviation)
    {
        own = {};
    }
    last_deviation = deviation;
    own.add(sample, weight, executor_window);
}

void speed_model::add(executor_id executor, std::string_view kind)
{
    executors_[executor].kind = kind;
}

void speed_model::remove(executor_id executor)
{
    executors_.erase(executor);
}

void speed_model::observe(executor_id executor, duration estimate,
                          duration actual, double weight)
{
    auto const found = executors_.find(executor);
    if (found == executors_.end() || estimate <= duration{0})
    {
        return;
    }
    double const sample = std::clamp(static_cast<double>(actual.count()) /
                                         static_cast<double>(estimate.count()),
                                     min_sample, max_sample);
    found->second.observe(sample, weight);
    kinds_[found->second.kind].add(sample, weight, kind_window);
    overall_.add(sample, weight, overall_window);
}

bool speed_model::adopt(executor_id executor, learned_speed const& learned)
{
    auto const found = executors_.find(executor);
    if (found == executors_.end())
    {
        return false;
    }
    auto& known = found->second;
    if (learned.samples >= known.own.weight)
    {
        known.own.value = std::clamp(learned.slowdown, min_sample, max_sample);
        known.own.weight = std::min(learned.samples, executor_window);
        known.last_deviation = 0;
    }
    return true;
}

std::map<executor_id, learned_speed> speed_model::learned() const
{
    std::map<executor_id, learned_speed> all;
    for (auto const& [id, known] : executors_)
    {
        if (known.own.weight > 0.0)
        {
            all[id] = {known.own.value, known.own.weight};
        }
    }
    return all;
}

double speed_model::slowdown(executor_id executor) const
{
    auto const found = executors_.find(executor);
    if (found == executors_.end())
    {
        return overall_.value;
    }
    auto const& own = found->second.own;
    auto const learned = kinds_.find(found->second.kind);
    double const prior =
        learned != kinds_.end() ? learned->second.value : overall_.value;
    return (own.value * own.weight + prior * prior_weight) /
           (own.weight + prior_weight);
}

} // namespace goldcrestgate::core
