#include "goldcrestgate/core/leasing/speed_model.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// Samples that an average remembers: an executor's own pace is known after a
/// few tasks and follows a change within about ten.
constexpr double executor_memory = 8.0;
constexpr double kind_memory = 64.0;
constexpr double all_memory = 256.0;

/// Weight of what the kind says against an executor's own samples.
constexpr double prior_weight = 1.0;

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
    found->second.own.add(sample, executor_memory);
    kinds_[found->second.kind].add(sample, kind_memory);
    all_.add(sample, all_memory);
}

double speed_model::slowdown(executor_id executor) const
{
    auto const found = executors_.find(executor);
    if (found == executors_.end())
    {
        return all_.value;
    }
    auto const& [kind, own] = found->second;
    auto const learned = kinds_.find(kind);
    double const prior =
        learned != kinds_.end() ? learned->second.value : all_.value;
    return (own.value * own.weight + prior * prior_weight) /
           (own.weight + prior_weight);
}

} // namespace goldcrestgate::core
