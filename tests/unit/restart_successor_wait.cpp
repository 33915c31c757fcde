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

class restart_successor_wait_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_successor_wait_test);
    CPPUNIT_TEST(successor_waits_for_a_lease_of_a_restarted_executor);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: a start of the earlier owner
    // arrived late at a restarted executor, whose lease counts from then on,
    // and the successor, which knew of the restart, took all leases for expired
    // at a fixed time after it took over.
    void successor_waits_for_a_lease_of_a_restarted_executor()
    {
        executor_fleet fleet{2};
        fleet_owner earlier{fleet};
        earlier.start(1);
        for (auto const id : fleet.ids())
        {
            fleet.behaviour(id).start_delay = milliseconds{700};
        }
        auto job = tests::make_leased_job(1, 1, milliseconds{1500});
        job.objective = milliseconds{8000};
        job.time_limit = milliseconds{9000};
        earlier.submit(job, milliseconds{1500});
        auto const id = earlier.start_orders.back().executor;
        for (auto const other : fleet.ids())
        {
            fleet.behaviour(other) = {};
        }
        earlier.kill();
        fleet.behaviour(id).unreachable = true;
        fleet_owner successor{fleet};
        successor.list_all();
        successor.take_over(2, true);
        fleet.run_for(milliseconds{100});
        successor.offer(job, true);
        fleet.run_for(milliseconds{400});
        fleet.restart(id);
        fleet.run_for(milliseconds{100});
        successor.list(id);
        fleet.run_for(milliseconds{3400});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_successor_wait_test,
                                      "restart_successor_wait");

} // namespace
