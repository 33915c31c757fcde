#include "goldcrestgate/core/admission/retry_delay.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"
#include "goldcrestgate/core/leasing/detail/waiting_work.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace goldcrestgate::core::detail
{

namespace
{

/// Longest time for which a rejection is claimed to hold. Admission keeps a
/// backlog far below it; a longer estimate shows that the executors are lost,
/// and not when they return.
constexpr duration max_rejected_for = std::chrono::seconds{29};

} // namespace

duration scheduler_state::retry_after(job_record const& job,
                                      duration rejected_for,
                                      time_point now) const
{
    constexpr double microseconds = 1e6;
    double work = 0.0;
    for (auto const& [id, other] : jobs)
    {
        if (other.job.service != job.job.service ||
            other.job.priority > job.job.priority || id == job.job.id)
        {
            continue;
        }
        work += waiting_work(other);
    }
    double const usable =
        std::max(usable_millicores(job.job.service, now,
                                   std::numeric_limits<double>::max()),
                 1.0);
    double const longest_us =
        std::chrono::duration<double>(max_retry_delay).count() * microseconds;
    duration const drain{
        std::llround(std::min(work * microseconds / usable, longest_us))};
    return retry_delay({job.job.id, drain,
                        std::min(rejected_for, max_rejected_for),
                        job.due - now});
}

} // namespace goldcrestgate::core::detail
