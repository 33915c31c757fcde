#include "goldcrestgate/core/leasing/placement.hpp"

#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestgate::core
{

namespace
{

/// Slowdowns that differ by at most this are treated as equal; learned values
/// of equal executors differ by a few percent.
constexpr double equal_speed_tolerance = 0.08;

/// Returns whether a start leaves capacity that no waiting task can use.
bool leaves_unusable(placement_candidate const& candidate,
                     placement_request const& request)
{
    auto const left =
        candidate.free.cpu_millicores - request.demand.cpu_millicores;
    return left > 0 && left < request.smallest_waiting_millicores;
}

bool fits_better(placement_candidate const& left,
                 placement_candidate const& right,
                 placement_request const& request)
{
    bool const left_unusable = leaves_unusable(left, request);
    if (left_unusable != leaves_unusable(right, request))
    {
        return !left_unusable;
    }
    return left.free.cpu_millicores < right.free.cpu_millicores;
}

/// Returns whether @a left is preferred over @a right, where both meet the
/// objective or both miss it.
/// @pre both have the capacity
bool is_better(placement_candidate const& left,
               placement_candidate const& right,
               placement_request const& request, bool prefer_slow)
{
    if (left.delays_reservation != right.delays_reservation)
    {
        return right.delays_reservation;
    }
    double const difference = left.slowdown - right.slowdown;
    if (std::abs(difference) <= equal_speed_tolerance)
    {
        return fits_better(left, right, request);
    }
    return prefer_slow ? difference > 0 : difference < 0;
}

} // namespace

bool needs_fast_executor(duration estimate, duration to_limit,
                         double slowest_slowdown, double worst_case)
{
    return detail::scale_duration(estimate, slowest_slowdown * worst_case) >
           to_limit;
}

std::optional<placement_choice>
choose_executor(std::span<placement_candidate const> candidates,
                placement_request const& request)
{
    auto const run_time = [&request](double slowdown, double margin)
    {
        return detail::scale_duration(request.estimate, slowdown * margin);
    };
    auto const& factors = request.factors;
    placement_candidate const* best = nullptr;
    bool best_meets_objective = false;
    std::uint32_t suitable = 0;
    for (auto const& candidate : candidates)
    {
        if (!request.demand.fits_into(candidate.free) ||
            candidate.starts_left == 0 ||
            candidate.executor == request.avoided ||
            run_time(candidate.slowdown, factors.best_case) > request.to_limit)
        {
            continue;
        }
        ++suitable;
        bool const meets_objective_here =
            run_time(candidate.slowdown, factors.objective) <=
                request.to_objective &&
            run_time(candidate.slowdown, factors.slow_executor_margin) <=
                request.to_limit;
        bool const improves =
            best == nullptr ||
            (meets_objective_here && !best_meets_objective) ||
            (meets_objective_here == best_meets_objective &&
             is_better(candidate, *best, request, meets_objective_here));
        if (improves)
        {
            best = &candidate;
            best_meets_objective = meets_objective_here;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    bool const is_safe =
        run_time(best->slowdown, factors.worst_case) <= request.to_limit;
    bool const faster_exists =
        request.fastest_slowdown * (1.0 + 2 * equal_speed_tolerance) <
        best->slowdown;
    auto const saved = run_time(best->slowdown - request.fastest_slowdown, 1.0);
    if (!is_safe && faster_exists &&
        request.waited < std::min(fast_executor_wait, saved))
    {
        return std::nullopt;
    }
    return placement_choice{best->executor, run_time(best->slowdown, 1.0),
                            best_meets_objective
                                ? placement_reason::meets_objective
                                : placement_reason::earliest_finish,
                            suitable};
}

} // namespace goldcrestgate::core
