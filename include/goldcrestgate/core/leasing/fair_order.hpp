#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/leasing/serving_order.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Waiting job as seen by @ref fair_order.
struct fair_job
{
    /// The route that the job was submitted to; jobs with an empty route form
    /// one flow.
    std::string_view route;
    /// Failure domain of the instance that has the caller.
    domain_id origin_domain;
    /// Class of the job; 0 is the highest.
    std::uint8_t priority = 0;
    /// CPU time of the waiting tasks in millicore-seconds.
    double work = 0.0;
    /// Position among the jobs of the same flow.
    serving_position position;
};

/// Weight of the lowest class divided by that of the highest, at least. A class
/// that never gets capacity would hold its callers until their deadlines.
inline constexpr double min_class_weight = 0.01;

/// @brief Serving order of the waiting jobs of one service while they need more
/// capacity than there is.
///
/// Intended for bursts of one route or one failure domain that are larger than
/// the free capacity, and for urgent jobs that arrive during a burst. Jobs that
/// can be on time come before late ones. Within these, the capacity is shared
/// by weight among the classes, equally among the routes of a class, and
/// equally among the failure domains of a route; the jobs of one route and
/// domain keep the order of their positions. A share that is not used is left
/// to the others.
///
/// The shares are kept by start-time fair queueing: each class, route and
/// domain has a virtual time, which is the work that it has started divided by
/// its weight, and the lowest virtual time is served first. One that had
/// nothing to wait for continues at the virtual time of the others, so that it
/// gets no credit for that time.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class fair_order
{
public:
    /// @param class_weight_ratio weight of a class divided by that of the next
    /// lower one
    /// @pre the ratio is at least 1
    explicit fair_order(double class_weight_ratio);

    /// @brief Returns the indices of the jobs in serving order, in O(n log n).
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] std::vector<std::size_t>
    order(std::span<fair_job const> waiting) const;

    /// @brief Counts work that has started against the shares of its class,
    /// route and failure domain.
    /// @param work started CPU time in millicore-seconds; a negative amount
    /// takes back work that was stopped
    void add_started(fair_job const& job, double work);

private:
    /// Virtual times of a class, a route or a domain.
    struct share
    {
        /// Started work divided by the weight.
        double started = 0.0;
        /// Virtual time of the children, at which a new one begins.
        double now = 0.0;
    };

    using route_key = std::pair<std::uint8_t, std::string>;
    using domain_key = std::pair<route_key, domain_id>;

    [[nodiscard]] double class_cost(std::uint8_t priority) const;

    double class_weight_ratio_;
    double now_ = 0.0;
    std::map<std::uint8_t, share> classes_;
    std::map<route_key, share> routes_;
    std::map<domain_key, share> domains_;
};

} // namespace goldcrestgate::core
