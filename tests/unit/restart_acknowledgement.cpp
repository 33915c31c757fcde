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

class restart_acknowledgement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_acknowledgement_test);
    CPPUNIT_TEST(end_on_the_new_process_is_not_forgotten_unseen);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a start of a task that is done: a poll that was sent
    // before the owner knew of a restart acknowledged the ends of the earlier
    // process, and the new process forgot its first end unseen.
    void end_on_the_new_process_is_not_forgotten_unseen()
    {
        executor_fleet fleet{1};
        fleet_owner owner{fleet};
        owner.start(1);
        owner.submit(1, 2, milliseconds{40});
        fleet.run_for(milliseconds{200});
        // The poll that accompanies this run waits at the earlier process and
        // is lost with it.
        owner.submit(2, 1, milliseconds{300});
        fleet.run_for(milliseconds{20});
        fleet.restart(executor_id{1});
        owner.submit(3, 1, milliseconds{50});
        fleet.run_for(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.starts(client_job_id{3}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts_after_end);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_acknowledgement_test,
                                      "restart_acknowledgement");

} // namespace
