#include "goldcrestgate/core/leasing/speed_model.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// Samples that an average remembers. Estimates are wrong by up to 40%, so that
/// twenty samples leave an error of about 5%.
constexpr double executor_memory = 20.0;
constexpr double kind_memory = 64.0;
constexpr double all_memory = 256.0;

/// Weight of what the kind says against an executor's own samples.
constexpr double prior_weight = 1.0;

/// Two samples in a row that differ from the average by this factor, to the
/// same side, show that the executor has changed.
constexpr double change_factor = 2.2;

/// A single observation beyond these factors is a fault of the estimate, not
/// of the executor.
constexpr double smallest_sample = 0.1;
constexpr double largest_sample = 10.0;

} // namespace

void speed_model::average::add(double sample, double memory)
{
    weight = std::min(weight + 1.0, memory);
    value += (sample - value) / weight;
}

void speed_model::entry::observe(double sample)
{
    int const side = sample > own.value * change_factor   ? 1
                     : sample * change_factor < own.value ? -1
                                                          : 0;
    if (side != 0 && side == last_side)
    {
        own = {};
    }
    last_side = side;
    own.add(sample, executor_memory);
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
                          duration actual)
{
    auto const found = executors_.find(executor);
    if (found == executors_.end() || estimate <= duration{0})
    {
        return;
    }
    double const sample = std::clamp(static_cast<double>(actual.count()) /
                                         static_cast<double>(estimate.count()),
                                     smallest_sample, largest_sample);
    found->second.observe(sample);
    kinds_[found->second.kind].add(sample, kind_memory);
    all_.add(sample, all_memory);
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
        known.own.value =
            std::clamp(learned.slowdown, smallest_sample, largest_sample);
        known.own.weight = std::min(learned.samples, executor_memory);
        known.last_side = 0;
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
        return all_.value;
    }
    auto const& own = found->second.own;
    auto const learned = kinds_.find(found->second.kind);
    double const prior =
        learned != kinds_.end() ? learned->second.value : all_.value;
    return (own.value * own.weight + prior * prior_weight) /
           (own.weight + prior_weight);
}

} // namespace goldcrestgate::core
