#include "support/cut_run.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using goldcrestgate::tests::cut_run;

// Guards against tasks that run twice at a time, and against wrong answers,
// when instances that are cut off from the others take over executors whose
// owner is alive.
class domain_cuts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(domain_cuts_test);
    CPPUNIT_TEST(instances_cut_off_cause_no_duplicate_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void instances_cut_off_cause_no_duplicate_run()
    {
        constexpr std::uint64_t seeds = 60;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            cut_run run{seed};
            run.run();
            run.check();
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(domain_cuts_test, "domain_cuts");

} // namespace
