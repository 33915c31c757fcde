#include "support/restart_trial.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

namespace
{

using goldcrestgate::tests::restart_trial;

constexpr std::uint64_t last_seed = 300;

class restarts_with_late_starts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restarts_with_late_starts_test);
    CPPUNIT_TEST(late_starts_cause_no_duplicate_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time under late starts, restarts
    // and changes of the owner.
    void late_starts_cause_no_duplicate_run()
    {
        restart_trial const trial{true, true};
        CPPUNIT_ASSERT_EQUAL(std::string{}, trial.failed_seeds(last_seed));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restarts_with_late_starts_test,
                                      "restarts_with_late_starts");

} // namespace
