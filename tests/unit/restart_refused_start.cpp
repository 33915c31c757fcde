#include "support/scripted_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::scripted_owner;

class restart_refused_start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_refused_start_test);
    CPPUNIT_TEST(refused_start_waits_for_a_late_run_that_is_being_stopped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: a late run was listed while
    // a later run of its task was starting; when that start was refused, the
    // task started again although the late run still lived.
    void refused_start_waits_for_a_late_run_that_is_being_stopped()
    {
        scripted_owner owner;
        auto const late = list_late_run(owner);
        auto const second = owner.starts.back();
        CPPUNIT_ASSERT(second.executor != late.executor);
        owner.answer_start(second, order_outcome::no_room);
        owner.wait(20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.starts.size());
    }

private:
    /// Lists the run of a first start that arrived at a new process while the
    /// second start of the task is not answered yet.
    static start_run list_late_run(scripted_owner& owner)
    {
        owner.prepare();
        auto first = owner.lose_first_start();
        owner.now += milliseconds{5};
        owner.answer_poll(first.executor, owner.polls.at(first.executor).order,
                          2, {{first.run, 5}});
        return first;
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_refused_start_test,
                                      "restart_refused_start");

} // namespace
