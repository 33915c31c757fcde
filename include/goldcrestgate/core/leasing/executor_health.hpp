#pragma once

#include "goldcrestgate/core/time.hpp"

#include <cstdint>

namespace goldcrestgate::core
{

/// @brief Outlier detection for an executor: decides when it gets no new tasks.
///
/// Intended for executors that fail, hang or stop responding while they report
/// themselves as ready. A failing executor returns tasks fast and would attract
/// work; it is ejected after few consecutive failures and probed with single
/// tasks afterwards.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class executor_health
{
public:
    /// @brief Records a successful task; resets the failures.
    void record_success();

    /// @brief Records a task that failed or hung on the executor.
    void record_failure(time_point now);

    /// @brief Takes back a failure that the task itself caused.
    void revoke_failure();

    /// @brief Records an order that was not delivered or not answered in time.
    void record_timeout(time_point now);

    /// @brief Records an answered order.
    void record_answer();

    /// @brief Returns whether new tasks may be started.
    /// @param running number of tasks on the executor; after an ejection it
    /// gets one task at a time as a probe
    [[nodiscard]] bool accepts(time_point now, std::size_t running) const;

    /// @brief Returns whether the executor has failed since its last success,
    /// so that another failure on it is weak evidence against the task.
    [[nodiscard]] bool has_failures() const
    {
        return failures_ > 0;
    }

private:
    void eject(time_point now);

    std::uint32_t failures_ = 0;
    std::uint32_t ejections_ = 0;
    bool probing_ = false;
    time_point ejected_until_{};
};

} // namespace goldcrestgate::core
