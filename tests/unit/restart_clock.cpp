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

class restart_clock_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_clock_test);
    CPPUNIT_TEST(clock_of_the_earlier_process_sets_no_lease);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against leases that end long after the owner counts them as
    // expired: a late answer of the earlier process set the executor's clock.
    void clock_of_the_earlier_process_sets_no_lease()
    {
        executor_fleet fleet{1};
        fleet_owner owner{fleet};
        owner.start(1);
        executor_id const id{1};
        owner.submit(1, 1, milliseconds{60});
        fleet.run_for(milliseconds{100});
        auto const earlier = owner.start_orders.back();
        fleet.restart(id);
        owner.list(id);
        fleet.run_for(milliseconds{10});
        std::vector<scheduler_action> out;
        owner.scheduler.start_answered({earlier.order, id, earlier.run,
                                        order_outcome::accepted,
                                        executor_clock{9'000'000}},
                                       fleet.now(), out);
        owner.apply(out);
        owner.submit(2, 1, milliseconds{100});
        fleet.run_for(milliseconds{300});
        auto const& later = owner.start_orders.back();
        CPPUNIT_ASSERT(later.run.task.job == client_job_id{2});
        CPPUNIT_ASSERT(later.lease_until.value() < 2000);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_clock_test, "restart_clock");

} // namespace
