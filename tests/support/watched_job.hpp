#pragma once

#include "support/fleet_owner.hpp"

#include <cppunit/TestAssert.h>

#include <chrono>
#include <functional>
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
        owner.list_restarted();
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

    /// @brief Cuts off the executor of the job twice, each time after it has
    /// worked for some time.
    /// @param silence time without answers
    /// @param end_silence reconnects the executor or its next process
    void
    cut_off_twice(core::duration work, core::duration silence,
                  std::function<void(core::executor_id)> const& end_silence)
    {
        for (int cut = 0; cut < 2; ++cut)
        {
            fleet.run_for(work);
            auto const id = last_target();
            cut_off(id);
            fleet.run_for(silence);
            end_silence(id);
        }
    }

    /// @brief Crashes the executor of the job and others at once, twice.
    /// @param crashing number of executors that crash
    void crash_twice(std::size_t crashing)
    {
        for (int crash = 0; crash < 2; ++crash)
        {
            fleet.run_for(std::chrono::milliseconds{500});
            auto const target = last_target();
            fleet.crash(target);
            std::size_t left = crashing - 1;
            for (auto const id : fleet.ids())
            {
                if (id != target && left > 0)
                {
                    --left;
                    fleet.crash(id);
                }
            }
            fleet.run_for(std::chrono::seconds{4});
        }
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
