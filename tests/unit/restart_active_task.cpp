#include "support/scripted_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::scripted_owner;

class restart_active_task_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_active_task_test);
    CPPUNIT_TEST(late_run_of_an_active_task_is_stopped_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a late run of an earlier owner that goes on beside a later
    // run of its task for the time that runs of unknown jobs are kept.
    void late_run_of_an_active_task_is_stopped_at_once()
    {
        scripted_owner owner;
        owner.prepare();
        owner.offer();
        auto const start = owner.starts.at(0);
        owner.answer_start(start, order_outcome::accepted);
        executor_id const other{start.executor.value() == 1 ? 2U : 1U};
        owner.list(other, 2);
        task_run late = start.run;
        late.execution = 7;
        owner.answer_poll(other, owner.polls.at(other).order, 2, {{late, 5}});
        owner.wait(20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.stops.size());
        CPPUNIT_ASSERT(owner.stops.at(0).run == late);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_active_task_test,
                                      "restart_active_task");

} // namespace
