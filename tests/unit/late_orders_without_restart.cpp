#include "support/late_order_trial.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

namespace
{

using goldcrestgate::tests::late_order_trial;

constexpr std::uint64_t last_seed = 300;

class late_orders_without_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_orders_without_restart_test);
    CPPUNIT_TEST(late_orders_cause_no_duplicate_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time if orders without an answer
    // are carried out late by the process that they were sent to.
    void late_orders_cause_no_duplicate_run()
    {
        late_order_trial trial{true, true};
        trial.restarts = false;
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             trial.seeds_with_duplicate_runs(last_seed));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_orders_without_restart_test,
                                      "late_orders_without_restart");

} // namespace
