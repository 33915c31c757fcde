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

class restart_stops_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_stops_test);
    CPPUNIT_TEST(stop_accepted_by_the_earlier_process_ends_no_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: the earlier process accepted
    // the stop of a start that got no answer, and the new process, which knew
    // of no stop, carried out the start.
    void stop_accepted_by_the_earlier_process_ends_no_run()
    {
        for (int restart_ms = 170; restart_ms <= 280; restart_ms += 5)
        {
            executor_fleet fleet{3};
            fleet_owner owner{fleet};
            owner.start(1);
            for (auto const id : fleet.ids())
            {
                fleet.behaviour(id).start_delay = milliseconds{300};
            }
            owner.submit(1, 1, milliseconds{400});
            auto const id = owner.start_orders.back().executor;
            for (auto const other : fleet.ids())
            {
                fleet.behaviour(other) = {};
            }
            fleet.run_for(milliseconds{restart_ms});
            fleet.restart(id);
            owner.list(id);
            fleet.run_for(milliseconds{2000});
            CPPUNIT_ASSERT_EQUAL_MESSAGE("restart after " +
                                             std::to_string(restart_ms) + " ms",
                                         std::size_t{0}, fleet.duplicate_runs);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_stops_test, "restart_stops");

} // namespace
