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

class restart_unnamed_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_unnamed_test);
    CPPUNIT_TEST(restart_is_detected_after_an_entry_without_a_start_time);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a start of a task that is done: after an entry that did
    // not name the executor's process, no restart was detected, and the ends of
    // the new process counted as known.
    void restart_is_detected_after_an_entry_without_a_start_time()
    {
        executor_fleet fleet{1};
        fleet_owner owner{fleet};
        owner.start(1);
        executor_id const id{1};
        owner.submit(1, 2, milliseconds{40});
        fleet.run_for(milliseconds{200});
        auto unnamed = fleet.description(id);
        unnamed.incarnation = 0;
        owner.list(id, unnamed);
        fleet.run_for(milliseconds{50});
        owner.submit(2, 1, milliseconds{300});
        fleet.run_for(milliseconds{20});
        fleet.restart(id);
        owner.submit(3, 1, milliseconds{50});
        fleet.run_for(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.starts(client_job_id{3}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts_after_end);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_unnamed_test, "restart_unnamed");

} // namespace
