#include "goldcrestgate/core/leasing/admission.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestgate::core
{

namespace
{

/// A caller is asked to stay away at least this long; a shorter time would
/// bring it back into the same burst.
constexpr duration shortest_retry = std::chrono::seconds{1};

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
        input.room_now
            ? duration{}
            : seconds_to_duration((input.work_ahead + input.own_work) / rate);
    auto const finish = verdict.expected_wait + input.fastest_run;
    verdict.admitted = finish <= input.time_to_limit &&
                       (input.room_now || finish <= input.time_to_objective);
    verdict.retry_after = std::max(shortest_retry, verdict.expected_wait);
    return verdict;
}

} // namespace goldcrestgate::core
