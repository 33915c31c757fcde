#pragma once

#include "goldcrestgate/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Number of buckets of a @ref run_time_histogram.
inline constexpr std::size_t run_time_buckets = 28;

/// @brief Weights of observed ratios of run time to expected run time, in
/// buckets of a quarter octave from 1/8 to 16.
using run_time_histogram = std::array<float, run_time_buckets>;

/// @brief Learned distribution for a route and a range of estimates.
struct learned_run_times
{
    std::string route;
    /// Binary logarithm of the estimates in milliseconds.
    std::uint8_t magnitude = 0;
    run_time_histogram weights{};
};

/// @brief Learns how far the run times of a route's tasks exceed or fall short
/// of the expected ones.
///
/// Intended for routes whose estimates are wrong by tens of percent and of
/// whose tasks a few run many times as long. A mean hides both: a task that is
/// expected to end in time on average does not when its route's run times
/// scatter widely. Large estimates are too large on average and small ones too
/// small, so that each order of magnitude of the estimates has a distribution
/// of its own.
///
/// The state is bounded by @ref max_routes, and old observations lose weight
/// against new ones.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class run_time_model
{
public:
    /// Largest number of routes; the route that was observed least recently is
    /// forgotten for a further one.
    static constexpr std::size_t max_routes = 256;

    /// Largest number of distributions in a report.
    static constexpr std::size_t max_reported = 64;

    /// @brief Adds an observation.
    /// @param estimate estimated run time of the task
    /// @param ratio run time divided by the run time expected on the executor
    /// @param weight weight of the observation; the tasks of a job share one,
    /// since the error of their estimate is the same
    /// @pre @a estimate and @a ratio are positive; otherwise the observation is
    /// ignored
    void observe(std::string_view route, duration estimate, double ratio,
                 double weight = 1.0);

    /// @brief Returns the ratio below which the run time stays with a
    /// probability.
    ///
    /// Without observations, the ratios are assumed to scatter by 40%.
    /// @pre @a probability is between 0 and 1, exclusive
    [[nodiscard]] double quantile(std::string_view route, duration estimate,
                                  double probability) const;

    /// @brief Returns the distributions that have grown by a fifth since they
    /// were last returned, at most @ref max_reported of them, for successors
    /// and the owners of other failure domains.
    [[nodiscard]] std::vector<learned_run_times> take_changes();

    /// @brief Makes the next @ref take_changes return all distributions.
    void repeat_all();

    /// @brief Adopts another owner's distribution if it has more than twice the
    /// observations of this model.
    /// @return whether it was adopted
    bool adopt(learned_run_times const& learned);

private:
    struct distribution
    {
        run_time_histogram weights{};
        /// Total weight when it was last reported.
        double reported = 0.0;
    };

    struct route_entry
    {
        /// By the magnitude of the estimates.
        std::map<std::uint8_t, distribution> distributions;
        std::uint64_t last_observed = 0;
    };

    route_entry& entry_of(std::string_view route);

    std::map<std::string, route_entry, std::less<>> routes_;
    std::uint64_t observations_ = 0;
};

} // namespace goldcrestgate::core
