#include "goldcrestgate/core/leasing/admission.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestgate::core
{

namespace
{

/// Minimum retry delay of a rejected caller; a shorter one would bring the
/// caller back within the same burst.
constexpr duration min_retry_after = std::chrono::seconds{1};

duration seconds_to_duration(double seconds)
{
    constexpr double microseconds = 1e6;
    constexpr double longest_s = 3600.0;
    return duration{std::llround(std::min(seconds, longest_s) * microseconds)};
}

} // namespace

admission_verdict admit(admission_input const& input)
{
    admission_verdict verdict;
    double const rate = std::max(input.usable_millicores, 1.0);
    verdict.expected_wait =
        input.can_start_now
            ? duration{}
            : seconds_to_duration((input.work_ahead + input.own_work) / rate);
    auto const finish = verdict.expected_wait + input.fastest_run;
    verdict.admitted =
        finish <= input.time_to_limit &&
        (input.can_start_now || finish <= input.time_to_objective);
    verdict.rejected_for =
        std::max(duration{}, finish - std::min(input.time_to_objective,
                                               input.time_to_limit));
    verdict.retry_after = std::max(min_retry_after, verdict.expected_wait);
    return verdict;
}

} // namespace goldcrestgate::core
