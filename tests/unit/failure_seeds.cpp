#include "support/driver/search.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>

namespace
{

using namespace goldcrestgate::test;

// Guards against violated guarantees under combined random faults. A fixed set
// of seeds keeps the test short; failure_search runs many more.
class failure_seeds_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_seeds_test);
    CPPUNIT_TEST(fixed_seeds_keep_all_guarantees);
    CPPUNIT_TEST(a_seed_reproduces_its_run);
    CPPUNIT_TEST(a_trace_reads_back_as_written);
    CPPUNIT_TEST_SUITE_END();

public:
    void fixed_seeds_keep_all_guarantees()
    {
        constexpr std::uint64_t seeds = 150;
        run_counts total;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            auto const outcome = run_schedule(make_schedule(seed));
            for (auto const& found : outcome.violations)
            {
                CPPUNIT_FAIL("seed " + std::to_string(seed) + ": " +
                             std::string{found.guarantee} + ": " + found.text);
            }
            add(total, outcome.counts);
        }
        // A run that does no work cannot violate a guarantee, so the runs must
        // have done enough.
        CPPUNIT_ASSERT(total.runs > 10 * seeds);
        CPPUNIT_ASSERT(total.jobs_done > seeds);
        CPPUNIT_ASSERT(total.fates_by_copies > seeds);
    }

    void a_seed_reproduces_its_run()
    {
        auto const first = run_schedule(make_schedule(7)).counts;
        auto const second = run_schedule(make_schedule(7)).counts;
        CPPUNIT_ASSERT_EQUAL(first.events, second.events);
        CPPUNIT_ASSERT_EQUAL(first.peer_messages, second.peer_messages);
    }

    void a_trace_reads_back_as_written()
    {
        std::stringstream first;
        write_schedule(first, make_schedule(7));
        std::stringstream second;
        write_schedule(second, read_schedule(first));
        CPPUNIT_ASSERT_EQUAL(first.str(), second.str());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(failure_seeds_test, "failure_seeds");

} // namespace
