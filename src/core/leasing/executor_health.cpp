#include "goldcrestgate/core/leasing/executor_health.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// Strikes in a row before an executor is set aside. One failure in 500 tasks
/// is ordinary, so that two in a row are not.
constexpr std::uint32_t strike_limit = 2;

/// First time aside; it doubles with each further time up to the longest.
constexpr duration first_time_aside = std::chrono::milliseconds{500};
constexpr std::uint32_t most_doublings = 3;

/// An executor that did not answer is left alone for this time.
constexpr duration silence_pause = std::chrono::milliseconds{300};

} // namespace

void executor_health::succeeded()
{
    strikes_ = 0;
    times_set_aside_ = 0;
    on_trial_ = false;
}

void executor_health::struck(time_point now)
{
    ++strikes_;
    if (strikes_ >= strike_limit || on_trial_)
    {
        set_aside(now);
    }
}

void executor_health::forgive()
{
    strikes_ -= strikes_ > 0 ? 1 : 0;
    if (strikes_ < strike_limit)
    {
        set_aside_until_ = {};
        on_trial_ = false;
    }
}

void executor_health::silent(time_point now)
{
    set_aside_until_ = std::max(set_aside_until_, now + silence_pause);
    on_trial_ = true;
}

void executor_health::answered()
{
    if (strikes_ == 0)
    {
        on_trial_ = false;
    }
}

bool executor_health::accepts(time_point now, std::size_t running) const
{
    return now >= set_aside_until_ && (!on_trial_ || running == 0);
}

void executor_health::set_aside(time_point now)
{
    auto const doublings = std::min(times_set_aside_, most_doublings);
    set_aside_until_ = now + first_time_aside * (1U << doublings);
    ++times_set_aside_;
    on_trial_ = true;
}

} // namespace goldcrestgate::core
