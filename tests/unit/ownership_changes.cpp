#include "support/cut_run.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using goldcrestgate::tests::cut_run;

/// A cut changes the owner of a failure domain once and its end once more.
constexpr std::size_t max_changes =
    cut_run::domain_count * (1 + 2 * cut_run::cuts);

// Guards against instances that take executors from each other in turn while
// links between them are cut.
class ownership_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ownership_changes_test);
    CPPUNIT_TEST(each_cut_causes_few_changes);
    CPPUNIT_TEST_SUITE_END();

public:
    void each_cut_causes_few_changes()
    {
        constexpr std::uint64_t seeds = 400;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            cut_run run{seed};
            run.run();
            CPPUNIT_ASSERT_MESSAGE("changes of ownership: " +
                                       std::to_string(run.ownership_changes()) +
                                       ", seed " + std::to_string(seed),
                                   run.ownership_changes() <= max_changes);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(ownership_changes_test,
                                      "ownership_changes");

} // namespace
