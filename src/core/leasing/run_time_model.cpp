#include "goldcrestgate/core/leasing/run_time_model.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

constexpr double buckets_per_octave = 4.0;
/// Binary logarithm of the lower bound of the first bucket.
constexpr double first_bound_log = -3.0;

/// Standard deviation of the logarithm of the ratio that is assumed before it
/// is observed: run times vary by 40%.
constexpr double assumed_deviation = 0.4;

/// Weight of the assumed distribution, in observations. A 95% quantile of fewer
/// observations would be the largest of them.
constexpr double assumed_weight = 12.0;

/// Total weight of a distribution; above it, old observations lose weight.
/// About a minute of a route with 10 jobs a second.
constexpr double max_weight = 600.0;

/// Growth from which on a distribution is reported again. A successor decides
/// alike with a fifth of the observations less.
constexpr double reported_growth = 1.2;

constexpr std::uint8_t max_magnitude = 24;

std::uint8_t magnitude_of(duration estimate)
{
    constexpr double microseconds_per_millisecond = 1e3;
    double const estimate_ms =
        static_cast<double>(estimate.count()) / microseconds_per_millisecond;
    return static_cast<std::uint8_t>(
        std::clamp(std::floor(std::log2(std::max(estimate_ms, 1.0))), 0.0,
                   double{max_magnitude}));
}

std::size_t bucket_of(double ratio)
{
    double const position =
        (std::log2(ratio) - first_bound_log) * buckets_per_octave;
    return static_cast<std::size_t>(
        std::clamp(std::floor(position), 0.0, double{run_time_buckets - 1}));
}

double lower_bound_log(std::size_t bucket)
{
    return first_bound_log + static_cast<double>(bucket) / buckets_per_octave;
}

double total_weight(run_time_histogram const& weights)
{
    return std::accumulate(weights.begin(), weights.end(), 0.0);
}

run_time_histogram make_assumed_histogram()
{
    auto const share_below = [](double ratio_log)
    {
        double const scaled =
            ratio_log * std::log(2.0) / assumed_deviation / std::sqrt(2.0);
        return std::erfc(-scaled) / 2.0;
    };
    run_time_histogram weights{};
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        weights.at(i) = static_cast<float>(
            assumed_weight * (share_below(lower_bound_log(i + 1)) -
                              share_below(lower_bound_log(i))));
    }
    return weights;
}

run_time_histogram const& assumed_histogram()
{
    static run_time_histogram const weights = make_assumed_histogram();
    return weights;
}

} // namespace

run_time_model::route_entry& run_time_model::entry_of(std::string_view route)
{
    auto const found = routes_.find(route);
    if (found != routes_.end())
    {
        return found->second;
    }
    if (routes_.size() >= max_routes)
    {
        routes_.erase(
            std::ranges::min_element(routes_, {},
                                     [](auto const& known)
                                     {
                                         return known.second.last_observed;
                                     }));
    }
    return routes_[std::string{route}];
}

void run_time_model::observe(std::string_view route, duration estimate,
                             double ratio, double weight)
{
    if (estimate <= duration{} || !(ratio > 0.0) || !std::isfinite(ratio))
    {
        return;
    }
    auto& entry = entry_of(route);
    entry.last_observed = ++observations_;
    auto& [weights, reported] = entry.distributions[magnitude_of(estimate)];
    if (total_weight(weights) > max_weight)
    {
        for (auto& bucket_weight : weights)
        {
            bucket_weight /= 2;
        }
        reported /= 2;
    }
    weights.at(bucket_of(ratio)) += static_cast<float>(weight);
}

double run_time_model::quantile(std::string_view route, duration estimate,
                                double probability) const
{
    auto weights = assumed_histogram();
    if (auto const found = routes_.find(route); found != routes_.end())
    {
        auto const& known = found->second.distributions;
        auto const learned = known.find(magnitude_of(estimate));
        if (learned != known.end())
        {
            std::ranges::transform(weights, learned->second.weights,
                                   weights.begin(), std::plus{});
        }
    }
    double left = probability * total_weight(weights);
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        if (left <= weights.at(i))
        {
            double const share = weights.at(i) > 0 ? left / weights.at(i) : 0.0;
            return std::exp2(lower_bound_log(i) + share / buckets_per_octave);
        }
        left -= weights.at(i);
    }
    return std::exp2(lower_bound_log(weights.size()));
}

std::vector<learned_run_times> run_time_model::take_changes()
{
    std::vector<learned_run_times> changes;
    for (auto& [route, entry] : routes_)
    {
        for (auto& [magnitude, known] : entry.distributions)
        {
            double const total = total_weight(known.weights);
            if (changes.size() < max_reported &&
                total > known.reported * reported_growth)
            {
                known.reported = total;
                changes.push_back({route, magnitude, known.weights});
            }
        }
    }
    return changes;
}

void run_time_model::repeat_all()
{
    for (auto& [route, entry] : routes_)
    {
        for (auto& [magnitude, known] : entry.distributions)
        {
            known.reported = 0.0;
        }
    }
}

bool run_time_model::adopt(learned_run_times const& learned)
{
    bool const valid =
        learned.magnitude <= max_magnitude &&
        std::ranges::all_of(learned.weights,
                            [](float weight)
                            {
                                return std::isfinite(weight) && weight >= 0.0F;
                            });
    double const reported = total_weight(learned.weights);
    if (!valid || reported > 2 * max_weight)
    {
        return false;
    }
    auto const found = routes_.find(learned.route);
    if (found != routes_.end())
    {
        auto const& known = found->second.distributions;
        auto const own = known.find(learned.magnitude);
        if (own != known.end() &&
            reported <= 2 * total_weight(own->second.weights))
        {
            return false;
        }
    }
    else if (routes_.size() >= max_routes)
    {
        return false;
    }
    // Owners that report to each other would otherwise repeat what they have
    // adopted.
    entry_of(learned.route).distributions[learned.magnitude] = {learned.weights,
                                                                reported};
    return true;
}

} // namespace goldcrestgate::core
