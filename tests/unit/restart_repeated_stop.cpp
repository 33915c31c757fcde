#include "support/scripted_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::scripted_owner;

class restart_repeated_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_repeated_stop_test);
    CPPUNIT_TEST(repeated_stop_without_an_answer_is_sent_again);
    CPPUNIT_TEST(repeated_stop_that_is_accepted_is_not_sent_again);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stop that is lost although the start may still arrive.
    void repeated_stop_without_an_answer_is_sent_again()
    {
        scripted_owner owner;
        owner.prepare();
        auto const first = owner.lose_first_start();
        owner.list(first.executor, 2);
        auto const count = owner.stops.size();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count);
        owner.now += milliseconds{160};
        owner.answer_stop(owner.stops.back(), order_outcome::unanswered);
        owner.wait(80);
        owner.wait(80);
        CPPUNIT_ASSERT_EQUAL(count + 1, owner.stops.size());
    }

    // Guards against stops that are sent although the present process has
    // accepted one.
    void repeated_stop_that_is_accepted_is_not_sent_again()
    {
        scripted_owner owner;
        owner.prepare();
        auto const first = owner.lose_first_start();
        owner.list(first.executor, 2);
        auto const count = owner.stops.size();
        owner.answer_stop(owner.stops.back(), order_outcome::accepted);
        owner.wait(80);
        owner.wait(300);
        CPPUNIT_ASSERT_EQUAL(count, owner.stops.size());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_repeated_stop_test,
                                      "restart_repeated_stop");

} // namespace
