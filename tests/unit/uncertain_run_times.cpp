#include "support/executor_fleet.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::tests::executor_fleet;
using goldcrestgate::tests::fleet_owner;
using goldcrestgate::tests::make_leased_job;
using std::chrono::milliseconds;

/// Two executors of each speed; each has capacity for two tasks.
constexpr std::size_t executors = 6;
constexpr std::uint16_t all_slots = 12;
constexpr std::uint64_t warm_up_jobs = 40;
constexpr client_job_id tested_job{1000};

/// An idle fleet of mixed speeds whose owner has learned them.
class mixed_fleet
{
public:
    mixed_fleet()
    {
        for (auto const id : fleet.ids())
        {
            double const speeds[] = {0.8, 1.0, 1.25};
            fleet.behaviour(id).slowdown = speeds[id.value() % 3];
        }
        owner.start();
        for (std::uint64_t id = 1; id <= warm_up_jobs; ++id)
        {
            owner.submit(make_job(id, all_slots, milliseconds{50}),
                         milliseconds{50});
            fleet.run_for(milliseconds{200});
        }
    }

    static leased_job make_job(std::uint64_t id, std::uint16_t tasks,
                               duration estimate)
    {
        auto job = make_leased_job(id, tasks, estimate);
        job.route = "mixed";
        job.objective = estimate * 8 / 5 + milliseconds{60};
        job.time_limit = milliseconds{1500};
        return job;
    }

    /// Offers a job of one task.
    /// @return its outcome
    job_outcome outcome_of(duration estimate, duration work)
    {
        owner.submit(make_job(tested_job.value(), 1, estimate), work);
        fleet.run_for(milliseconds{2000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
        return owner.verdicts.at(tested_job).outcome;
    }

    executor_fleet fleet{executors};
    fleet_owner owner{fleet};
};

// Guards against tasks that are lost on slow executors because their estimates
// are wrong, while fast executors are free.
class uncertain_run_times_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(uncertain_run_times_test);
    CPPUNIT_TEST(underestimated_task_starts_on_a_free_fast_executor);
    CPPUNIT_TEST(moved_task_is_placed_by_its_progress);
    CPPUNIT_TEST(successor_uses_the_run_times_of_the_lost_owner);
    CPPUNIT_TEST_SUITE_END();

public:
    // A run of 1,360 ms on a fast executor ends in time, but not after a start
    // on another one.
    void underestimated_task_starts_on_a_free_fast_executor()
    {
        mixed_fleet mixed;
        CPPUNIT_ASSERT(
            mixed.outcome_of(milliseconds{600}, milliseconds{1700}) ==
            job_outcome::completed);
    }

    // The task first starts on a slow executor, where it takes 1,875 ms. After
    // that, only a fast one ends it in time.
    void moved_task_is_placed_by_its_progress()
    {
        mixed_fleet mixed;
        CPPUNIT_ASSERT(
            mixed.outcome_of(milliseconds{300}, milliseconds{1500}) ==
            job_outcome::completed);
    }

    // The route's tasks take three times as long as estimated. The assumed
    // distribution would allow an executor of medium speed for the last one.
    void successor_uses_the_run_times_of_the_lost_owner()
    {
        mixed_fleet mixed;
        for (std::uint64_t id = 2000; id < 2100; ++id)
        {
            auto job = mixed_fleet::make_job(id, 3, milliseconds{500});
            job.time_limit = milliseconds{4000};
            mixed.owner.submit(job, milliseconds{1500});
            mixed.fleet.run_for(milliseconds{2000});
        }
        auto const learned = mixed.owner.scheduler.learned_speeds();
        auto const run_times = mixed.owner.scheduler.take_run_time_changes();
        CPPUNIT_ASSERT(!run_times.empty());
        mixed.owner.kill();
        fleet_owner successor{mixed.fleet};
        successor.list_all();
        for (auto const& [id, speed] : learned)
        {
            successor.scheduler.adopt_speed(id, speed);
        }
        for (auto const& learned_times : run_times)
        {
            CPPUNIT_ASSERT(successor.scheduler.adopt_run_times(learned_times));
        }
        successor.take_over(2, true);
        mixed.fleet.run_for(milliseconds{2000});
        successor.submit(
            mixed_fleet::make_job(tested_job.value(), 1, milliseconds{500}),
            milliseconds{1700});
        mixed.fleet.run_for(milliseconds{2000});
        CPPUNIT_ASSERT(successor.verdicts.at(tested_job).outcome ==
                       job_outcome::completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, mixed.fleet.duplicate_runs);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(uncertain_run_times_test,
                                      "uncertain_run_times");

} // namespace
