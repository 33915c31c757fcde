#include "goldcrestgate/core/leasing/preemption.hpp"

#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/placement.hpp"

namespace goldcrestgate::core
{

namespace
{

/// Run times exceed their expected values by up to this factor; a task that is
/// started again must end before its deadline also then.
constexpr double restart_factor = 1.4;

double lost_work(preemption_candidate const& candidate)
{
    return static_cast<double>(candidate.spent.count()) * candidate.millicores;
}

bool may_stop(preemption_candidate const& candidate,
              preemption_request const& request)
{
    auto const urgent_run = detail::scale_duration(
        request.estimate, candidate.slowdown * objective_factor);
    auto const remaining = candidate.run_time - candidate.spent;
    auto const urgent_end = request.stop_time + urgent_run;
    auto const restarted_end =
        urgent_end + detail::scale_duration(candidate.run_time, restart_factor);
    return candidate.priority > request.priority &&
           !candidate.preempted_before &&
           request.demand.fits_into(candidate.freed) &&
           candidate.spent * 2 < candidate.run_time && remaining > urgent_end &&
           urgent_end <= request.to_objective &&
           restarted_end <= candidate.to_deadline;
}

} // namespace

bool needs_preemption(preemption_request const& request)
{
    auto const fastest_run = detail::scale_duration(
        request.estimate, request.fastest_slowdown * objective_factor);
    return request.to_next_end + fastest_run > request.to_objective;
}

std::optional<std::size_t>
choose_preemption(std::span<preemption_candidate const> candidates,
                  preemption_request const& request)
{
    if (!needs_preemption(request))
    {
        return std::nullopt;
    }
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const& candidate = candidates[i];
        if (!may_stop(candidate, request))
        {
            continue;
        }
        bool const improves =
            !best || candidate.priority > candidates[*best].priority ||
            (candidate.priority == candidates[*best].priority &&
             lost_work(candidate) < lost_work(candidates[*best]));
        if (improves)
        {
            best = i;
        }
    }
    return best;
}

} // namespace goldcrestgate::core
