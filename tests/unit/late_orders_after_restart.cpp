#include "support/late_order_trial.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

namespace
{

using goldcrestgate::tests::late_order_trial;

constexpr std::uint64_t last_seed = 300;

class late_orders_after_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_orders_after_restart_test);
    CPPUNIT_TEST(late_stops_and_polls_cause_no_duplicate_run);
    CPPUNIT_TEST(late_orders_cause_no_duplicate_run);
    CPPUNIT_TEST(changes_of_owner_cause_no_duplicate_run);
    CPPUNIT_TEST(task_does_not_start_after_its_acknowledged_end);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time if stops and polls are
    // carried out by a later process.
    void late_stops_and_polls_cause_no_duplicate_run()
    {
        late_order_trial const trial{false, false};
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             trial.seeds_with_duplicate_runs(last_seed));
    }

    // The same if starts are late too.
    void late_orders_cause_no_duplicate_run()
    {
        late_order_trial const trial{true, false};
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             trial.seeds_with_duplicate_runs(last_seed));
    }

    // The same with changes of the owner.
    void changes_of_owner_cause_no_duplicate_run()
    {
        late_order_trial const trial{true, true};
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             trial.seeds_with_duplicate_runs(last_seed));
    }

    // Guards against a start of a task that is done, after its end was
    // acknowledged. Owners do not share the ends that they know, so the owner
    // does not change.
    void task_does_not_start_after_its_acknowledged_end()
    {
        late_order_trial const trial{true, false};
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             trial.seeds_with_starts_after_end(last_seed));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_orders_after_restart_test,
                                      "late_orders_after_restart");

} // namespace
