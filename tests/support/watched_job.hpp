#pragma once

#include "support/fleet_owner.hpp"

#include <cppunit/TestAssert.h>

#include <chrono>
#include <string>

namespace goldcrestgate::tests
{

inline constexpr core::client_job_id watched_job{1};

/// Longest lease of an executor and the time by which its owner counts it as
/// ended.
inline constexpr core::duration lease_and_margin =
    std::chrono::milliseconds{1800};

/// Time after which the progress of a run of 3 s is known so well that its
/// executor is polled seldom, and its silence is noticed.
inline constexpr core::duration progress_known_time =
    std::chrono::milliseconds{1200};

/// Time in which an owner learns of a new process and places what waits.
inline constexpr core::duration learning_time = std::chrono::milliseconds{300};

/// Owner with one job, and executors whose processes and links the test
/// controls.
class watched_job_fixture
{
public:
    explicit watched_job_fixture(std::size_t executors)
        : fleet(executors)
        , owner(fleet)
    {
        fleet.on_restarted = [this](core::executor_id id)
        {
            owner.list(id);
        };
    }

    /// @brief Returns the executor that was last told to start the task.
    [[nodiscard]] core::executor_id last_target() const
    {
        CPPUNIT_ASSERT(!owner.start_orders.empty());
        return owner.start_orders.back().executor;
    }

    void cut_off(core::executor_id id)
    {
        fleet.behaviour(id).unreachable = true;
    }

    /// @brief Ends the process of an executor that is cut off and connects its
    /// new process, whose entry the owner reads at once.
    void replace_process(core::executor_id id)
    {
        fleet.restart(id);
        reconnect(id);
    }

    void reconnect(core::executor_id id)
    {
        fleet.behaviour(id).unreachable = false;
        owner.list(id);
        fleet.run_for(learning_time);
    }

    void submit(core::duration work)
    {
        owner.submit(make_patient_job(watched_job.value(), work,
                                      std::chrono::seconds{60}),
                     work);
    }

    void check_outcome(core::job_outcome expected) const
    {
        auto const found = owner.verdicts.find(watched_job);
        CPPUNIT_ASSERT_MESSAGE("no verdict", found != owner.verdicts.end());
        CPPUNIT_ASSERT_EQUAL(
            std::string{core::outcome_name(expected)},
            std::string{core::outcome_name(found->second.outcome)});
    }

    executor_fleet fleet;
    fleet_owner owner;
};

} // namespace goldcrestgate::tests
