#include "support/restart_trial.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

namespace
{

using goldcrestgate::tests::restart_trial;

constexpr std::uint64_t last_seed = 300;

class restarts_with_lost_orders_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restarts_with_lost_orders_test);
    CPPUNIT_TEST(lost_orders_cause_no_duplicate_run);
    CPPUNIT_TEST(changes_of_owner_cause_no_duplicate_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time if the orders that follow the
    // news of a restart are lost.
    void lost_orders_cause_no_duplicate_run()
    {
        restart_trial const trial{false, false};
        CPPUNIT_ASSERT_EQUAL(std::string{}, trial.failed_seeds(last_seed));
    }

    // The same with changes of the owner.
    void changes_of_owner_cause_no_duplicate_run()
    {
        restart_trial const trial{true, false};
        CPPUNIT_ASSERT_EQUAL(std::string{}, trial.failed_seeds(last_seed));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restarts_with_lost_orders_test,
                                      "restarts_with_lost_orders");

} // namespace
