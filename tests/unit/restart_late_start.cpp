#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::executor_fleet;
using tests::fleet_owner;

class restart_late_start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_late_start_test);
    CPPUNIT_TEST(listed_late_run_is_not_started_elsewhere);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: the list that showed that a
    // run was lost with its process also showed an earlier, late start of the
    // task, and the task started elsewhere before that run had stopped.
    void listed_late_run_is_not_started_elsewhere()
    {
        for (int restart_ms = 360; restart_ms <= 480; restart_ms += 5)
        {
            executor_fleet fleet{2};
            fleet_owner owner{fleet};
            executor_id const first{1};
            owner.list(first);
            owner.take_over(1, true);
            fleet.run_for(milliseconds{150});
            // The answer at the end of this run shows that the executor is
            // sound.
            owner.submit(2, 1, milliseconds{100});
            fleet.behaviour(first).start_delay = milliseconds{restart_ms + 5};
            auto job = tests::make_leased_job(1, 1, milliseconds{1000});
            job.objective = milliseconds{6000};
            job.time_limit = milliseconds{7000};
            owner.submit(job, milliseconds{1000});
            fleet.behaviour(first) = {};
            // The stop is accepted after 162 ms, and the task starts again.
            fleet.run_for(milliseconds{240});
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.starts(job.id));
            owner.list(executor_id{2});
            fleet.run_for(milliseconds{restart_ms - 240});
            fleet.restart(first);
            fleet.run_for(milliseconds{4000});
            CPPUNIT_ASSERT_EQUAL_MESSAGE("restart after " +
                                             std::to_string(restart_ms) + " ms",
                                         std::size_t{0}, fleet.duplicate_runs);
            CPPUNIT_ASSERT(owner.verdicts.at(job.id).outcome ==
                           job_outcome::completed);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_late_start_test,
                                      "restart_late_start");

} // namespace
