#include "support/verdict_run.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

class failed_verdicts_with_crashes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failed_verdicts_with_crashes_test);
    CPPUNIT_TEST(jobs_fail_by_attempts_and_crashes_only);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against crashes that count without a run, or twice, where owners
    // change, orders are late or lost and jobs are submitted again.
    void jobs_fail_by_attempts_and_crashes_only()
    {
        goldcrestgate::tests::verdict_run::check_seeds(true);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(failed_verdicts_with_crashes_test,
                                      "failed_verdicts_with_crashes");

} // namespace
