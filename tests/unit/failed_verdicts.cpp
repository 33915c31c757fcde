#include "support/verdict_run.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

class failed_verdicts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failed_verdicts_test);
    CPPUNIT_TEST(jobs_fail_by_their_attempts_only);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against ends that count twice, or for another run, where owners
    // change, orders are late or lost and jobs are submitted again, but no
    // executor's process ends.
    void jobs_fail_by_their_attempts_only()
    {
        goldcrestgate::tests::verdict_run::check_seeds(false);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(failed_verdicts_test, "failed_verdicts");

} // namespace
