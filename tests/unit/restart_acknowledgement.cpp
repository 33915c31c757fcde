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
    // Guards against a start of a task that is done: the poll that accompanied
    // the first start after a restart acknowledged the ends of the earlier
    // process, and the new process forgot its first end unseen.
    void end_on_the_new_process_is_not_forgotten_unseen()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        owner.submit(1, 4, milliseconds{40});
        fleet.run_for(milliseconds{200});
        for (auto const id : fleet.ids())
        {
            fleet.restart(id);
        }
        owner.submit(2, 1, milliseconds{100});
        fleet.run_for(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.starts(client_job_id{2}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts_after_end);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_acknowledgement_test,
                                      "restart_acknowledgement");

} // namespace
