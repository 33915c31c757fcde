#include "goldcrestgate/core/leasing/placement.hpp"

#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"

#include <cmath>

namespace goldcrestgate::core
{

namespace
{

/// Slowdowns closer than this are taken as equal; learned values of like
/// executors differ by a few percent.
constexpr double equal_speed_tolerance = 0.08;

bool is_tighter(placement_candidate const& left,
                placement_candidate const& right)
{
    return left.free.cpu_millicores < right.free.cpu_millicores;
}

/// Returns whether @a left is the better one of two that both meet the
/// objective, or that both miss it.
bool is_better(placement_candidate const& left,
               placement_candidate const& right, bool prefer_slow)
{
    double const difference = left.slowdown - right.slowdown;
    if (std::abs(difference) <= equal_speed_tolerance)
    {
        return is_tighter(left, right);
    }
    return prefer_slow ? difference > 0 : difference < 0;
}

} // namespace

bool needs_fast_executor(duration estimate, duration to_limit,
                         double slowest_slowdown)
{
    return detail::scale_duration(estimate, slowest_slowdown * limit_margin) >
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
    placement_candidate const* best = nullptr;
    bool best_meets = false;
    std::uint32_t fitting = 0;
    for (auto const& candidate : candidates)
    {
        if (!request.demand.fits_into(candidate.free) ||
            candidate.places_left == 0 ||
            candidate.executor == request.avoided ||
            run_time(candidate.slowdown, hopeless_margin) > request.to_limit)
        {
            continue;
        }
        ++fitting;
        bool const meets =
            run_time(candidate.slowdown, objective_margin) <=
                request.to_objective &&
            run_time(candidate.slowdown, limit_margin) <= request.to_limit;
        bool const improves =
            best == nullptr || (meets && !best_meets) ||
            (meets == best_meets && is_better(candidate, *best, meets));
        if (improves)
        {
            best = &candidate;
            best_meets = meets;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    bool const is_safe =
        run_time(best->slowdown, limit_margin) <= request.to_limit;
    bool const faster_exists =
        request.fastest_slowdown * (1.0 + 2 * equal_speed_tolerance) <
        best->slowdown;
    if (!is_safe && faster_exists && request.waited < fast_executor_patience)
    {
        return std::nullopt;
    }
    return placement_choice{best->executor, run_time(best->slowdown, 1.0),
                            best_meets ? placement_reason::meets_objective
                                       : placement_reason::earliest_finish,
                            fitting};
}

} // namespace goldcrestgate::core
