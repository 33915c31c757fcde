#pragma once

#include "goldcrestgate/core/time.hpp"

#include <cstdint>

namespace goldcrestgate::core
{

/// @brief Decides when an executor that misbehaves gets no new tasks.
///
/// The load it answers: executors that fail, hang or go silent while they
/// report themselves as ready. A failing executor is fast and would draw work;
/// it is set aside after few strikes and tried again with single tasks.
///
/// @par Thread safety
/// Not safe.
class executor_health
{
public:
    /// @brief A task ended well; clears the strikes.
    void succeeded();

    /// @brief A task failed or hung there.
    void struck(time_point now);

    /// @brief A strike turned out to be the task's own fault.
    void forgive();

    /// @brief The executor did not answer an order in time.
    void silent(time_point now);

    /// @brief The executor has answered an order.
    void answered();

    /// @brief Returns whether new tasks may be started.
    /// @param running tasks on the executor; one set aside for a while gets a
    /// single task as a trial
    [[nodiscard]] bool accepts(time_point now, std::size_t running) const;

    /// @brief Returns whether the executor has misbehaved since its last
    /// success, so that a failure there says little about the task.
    [[nodiscard]] bool suspect() const
    {
        return strikes_ > 0;
    }

private:
    void set_aside(time_point now);

    std::uint32_t strikes_ = 0;
    std::uint32_t times_set_aside_ = 0;
    bool on_trial_ = false;
    time_point set_aside_until_{};
};

} // namespace goldcrestgate::core
