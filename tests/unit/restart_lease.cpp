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

class restart_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_lease_test);
    CPPUNIT_TEST(lease_of_a_start_before_the_restart_was_known_is_counted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: the deadline of a start, on
    // the clock of the earlier process, does not shorten the lease that the new
    // process counts from the arrival of the order.
    void lease_of_a_start_before_the_restart_was_known_is_counted()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        fleet.run_for(milliseconds{500});
        fleet.one_way_latency = milliseconds{150};
        auto job = make_job();
        owner.submit(job, milliseconds{1800});
        auto const id = owner.start_orders.back().executor;
        fleet.run_for(milliseconds{20});
        fleet.restart(id);
        fleet.run_for(milliseconds{180});
        fleet.behaviour(id).unreachable = true;
        fleet.one_way_latency = milliseconds{1};
        owner.list(id);
        fleet.run_for(milliseconds{4000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.starts(client_job_id{1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

private:
    static leased_job make_job()
    {
        auto job = tests::make_leased_job(1, 1, milliseconds{1800});
        job.objective = milliseconds{8000};
        job.time_limit = milliseconds{9000};
        return job;
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_lease_test, "restart_lease");

} // namespace
