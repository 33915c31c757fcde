#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::executor_fleet;
using tests::fleet_owner;

class silent_executor_with_long_run_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silent_executor_with_long_run_test);
    CPPUNIT_TEST(task_starts_elsewhere_after_the_lease);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that is not started again after its executor was
    // cut off: polls for the progress of the run followed each other before
    // their timeouts, so that none counted as failed and each renewed the lease
    // that the owner counts.
    void task_starts_elsewhere_after_the_lease()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        executor_id const first{1};
        owner.list(first);
        owner.take_over(1, true);
        fleet.run_for(milliseconds{150});
        auto const job =
            tests::make_patient_job(1, milliseconds{3000}, milliseconds{9500});
        owner.submit(job, milliseconds{3000});
        fleet.run_for(milliseconds{500});
        owner.list(executor_id{2});
        fleet.behaviour(first).unreachable = true;
        fleet.run_for(milliseconds{2500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             fleet.running(job.id, executor_id{2}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(silent_executor_with_long_run_test,
                                      "silent_executor_with_long_run");

} // namespace
