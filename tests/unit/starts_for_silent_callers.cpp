#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::tests::executor_fleet;
using goldcrestgate::tests::fleet_owner;
using goldcrestgate::tests::make_patient_job;
using std::chrono::milliseconds;

constexpr instance_id silent_instance{2};
constexpr milliseconds resubmission_delay{1300};

// Guards against two runs of a task at a time: an owner went on starting the
// tasks of a job, on executors with leases for other runs, although it had not
// heard of the job's caller for so long that this one was back elsewhere.
class starts_for_silent_callers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(starts_for_silent_callers_test);
    CPPUNIT_TEST(runs_end_before_the_caller_returns);
    CPPUNIT_TEST(runs_end_before_the_caller_returns_although_the_owner_pauses);
    CPPUNIT_TEST(job_of_a_silent_caller_ends);
    CPPUNIT_TEST(lapsed_task_starts_again_for_a_caller_that_waits);
    CPPUNIT_TEST_SUITE_END();

public:
    void runs_end_before_the_caller_returns()
    {
        play({});
    }

    void runs_end_before_the_caller_returns_although_the_owner_pauses()
    {
        for (auto const after : {300, 600, 900})
        {
            play(milliseconds{after});
        }
    }

    void job_of_a_silent_caller_ends()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start();
        auto const job = submit(fleet, owner);
        owner.scheduler.origin_heard(silent_instance, fleet.now());
        fleet.run_for(resubmission_delay + milliseconds{50});
        CPPUNIT_ASSERT(owner.verdicts.contains(job));
    }

    void lapsed_task_starts_again_for_a_caller_that_waits()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start();
        auto const job = submit(fleet, owner);
        owner.scheduler.origin_heard(silent_instance, fleet.now());
        fleet.run_for(milliseconds{1250});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.running(job));
        owner.scheduler.origin_heard(silent_instance, fleet.now());
        fleet.run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(job));
    }

private:
    static client_job_id submit(executor_fleet& fleet, fleet_owner& owner)
    {
        auto const job =
            make_patient_job(7, milliseconds{3000}, milliseconds{8000});
        fleet.set_work(job.id, milliseconds{3000});
        owner.offer(job, false, silent_instance);
        return job.id;
    }

    /// Plays silences that begin at different times, after messages at
    /// different intervals, beside short jobs of this instance.
    /// @param pause_after time from the last message to a pause of the owner; 0
    /// for none
    static void play(duration pause_after)
    {
        for (auto const interval : {100, 200, 1000})
        {
            for (auto last = 100; last <= 1000; last += 30)
            {
                play(milliseconds{interval}, milliseconds{last}, pause_after);
            }
        }
    }

    static void play(duration interval, duration last_message,
                     duration pause_after)
    {
        executor_fleet fleet{4};
        fleet_owner owner{fleet};
        owner.start();
        submit_others(fleet, owner);
        fleet.run_for(milliseconds{500});
        owner.scheduler.origin_heard(silent_instance, fleet.now());
        auto const job = submit(fleet, owner);
        auto const offered_at = fleet.now();
        for (auto at = offered_at; at <= offered_at + last_message;
             at += interval)
        {
            fleet.run_for(at - fleet.now());
            owner.scheduler.origin_heard(silent_instance, fleet.now());
        }
        auto const silent_since = fleet.now();
        if (pause_after > duration{})
        {
            fleet.schedule(pause_after,
                           [&owner]
                           {
                               owner.pause(std::chrono::seconds{3});
                           });
        }
        fleet.run_for(resubmission_delay);
        auto const at_return = fleet.running(job);
        auto const starts = fleet.starts(job);
        fleet.run_for(std::chrono::seconds{4});
        auto const name =
            "heard every " + std::to_string(interval / milliseconds{1}) +
            " ms for " +
            std::to_string((silent_since - offered_at) / milliseconds{1}) +
            " ms, paused after " +
            std::to_string(pause_after / milliseconds{1}) + " ms";
        CPPUNIT_ASSERT_MESSAGE("job has started, " + name, starts > 0);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("runs at the caller's return, " + name,
                                     std::size_t{0}, at_return);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("later starts, " + name, starts,
                                     fleet.starts(job));
    }

    /// Submits a job of this instance every 120 ms, as long as the play lasts.
    static void submit_others(executor_fleet& fleet, fleet_owner& owner)
    {
        constexpr std::uint64_t jobs = 70;
        for (std::uint64_t number = 0; number < jobs; ++number)
        {
            fleet.schedule(milliseconds{120} * number,
                           [&fleet, &owner, number]
                           {
                               if (!owner.paused())
                               {
                                   auto const job = make_patient_job(
                                       100 + number, milliseconds{500},
                                       milliseconds{2000});
                                   fleet.set_work(job.id, milliseconds{500});
                                   owner.offer(job);
                               }
                           });
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(starts_for_silent_callers_test,
                                      "starts_for_silent_callers");

} // namespace
