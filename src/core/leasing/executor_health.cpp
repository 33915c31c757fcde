#include "goldcrestgate/core/leasing/executor_health.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// Consecutive failures after which an executor is ejected. About one task in
/// 500 fails on a sound executor, so two failures in a row indicate a fault.
constexpr std::uint32_t failure_limit = 2;

/// Duration of the first ejection; it doubles with each further ejection, up to
/// the maximum number of doublings.
constexpr duration base_ejection_time = std::chrono::milliseconds{500};
constexpr std::uint32_t max_doublings = 3;

/// An executor that did not answer an order gets no new tasks for this time.
constexpr duration timeout_ejection_time = std::chrono::milliseconds{300};

} // namespace

void executor_health::record_success()
{
    failures_ = 0;
    ejections_ = 0;
    probing_ = false;
}

void executor_health::record_failure(time_point now)
{
    ++failures_;
    if (failures_ >= failure_limit || probing_)
    {
        eject(now);
    }
}

void executor_health::revoke_failure()
{
    failures_ -= failures_ > 0 ? 1 : 0;
    if (failures_ < failure_limit)
    {
        ejected_until_ = {};
        probing_ = false;
    }
}

void executor_health::record_timeout(time_point now)
{
    ejected_until_ = std::max(ejected_until_, now + timeout_ejection_time);
    probing_ = true;
}

void executor_health::record_answer()
{
    if (failures_ == 0)
    {
        probing_ = false;
    }
}

bool executor_health::accepts(time_point now, std::size_t running) const
{
    return now >= ejected_until_ && (!probing_ || running == 0);
}

void executor_health::eject(time_point now)
{
    auto const doublings = std::min(ejections_, max_doublings);
    ejected_until_ = now + base_ejection_time * (1U << doublings);
    ++ejections_;
    probing_ = true;
}

} // namespace goldcrestgate::core
