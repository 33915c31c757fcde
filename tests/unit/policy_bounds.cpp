#include "support/reference.hpp"
#include "support/results.hpp"
#include "support/simulation.hpp"
#include "support/table.hpp"
#include "support/workload.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string_view>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::bench;

// Runs some scenarios of bench/policy in virtual time with a fixed seed and
// checks the bounds of docs/design.md, section 14, so that a change of routing
// or admission that breaks them fails. docs/policy.md lists the bounds that are
// not met.
class policy_bounds_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(policy_bounds_test);
    CPPUNIT_TEST(responses_stay_near_the_reference);
    CPPUNIT_TEST(failing_executors_waste_few_messages);
    CPPUNIT_TEST(overload_keeps_goodput_and_bounds_the_wait);
    CPPUNIT_TEST(equal_seeds_give_equal_statistics);
    CPPUNIT_TEST_SUITE_END();

    static policy_statistics run(std::string_view name)
    {
        scenario parameters = find_scenario(name);
        parameters.seed = 2;
        auto const work = make_workload(parameters);
        auto const result =
            simulation{work, make_policies(work, "goldcrestgate")}.run();
        auto const reference = run_best_reference(work);
        auto statistics = compute_statistics(work, result, reference);
        auto const reference_statistics =
            compute_statistics(work, reference, reference);
        statistics.task_to_reference.mean =
            statistics.task_response.mean /
            reference_statistics.task_response.mean;
        statistics.job_to_reference.mean =
            statistics.job_response.mean /
            reference_statistics.job_response.mean;
        statistics.job_to_reference.p99 =
            statistics.job_response.p99 / reference_statistics.job_response.p99;
        return statistics;
    }

public:
    void responses_stay_near_the_reference()
    {
        auto const statistics = run("load80");
        CPPUNIT_ASSERT(statistics.task_to_reference.mean <= 1.05);
        CPPUNIT_ASSERT(statistics.job_to_reference.mean <= 1.08);
        CPPUNIT_ASSERT(statistics.job_to_reference.p99 <= 1.20);
        CPPUNIT_ASSERT(statistics.messages.wasted_share() <= 0.02);
    }

    void failing_executors_waste_few_messages()
    {
        CPPUNIT_ASSERT(run("failing").messages.wasted_share() <= 0.05);
    }

    void overload_keeps_goodput_and_bounds_the_wait()
    {
        auto const normal = run("load80");
        auto const overload = run("overload");
        CPPUNIT_ASSERT(overload.goodput >= 0.95);
        CPPUNIT_ASSERT(overload.task_response.p99 <=
                       2.0 * normal.task_response.p99);
    }

    void equal_seeds_give_equal_statistics()
    {
        auto const first = run("bursts");
        auto const second = run("bursts");
        CPPUNIT_ASSERT_EQUAL(first.task_response.mean,
                             second.task_response.mean);
        CPPUNIT_ASSERT_EQUAL(first.messages.useful, second.messages.useful);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(policy_bounds_test, "policy_bounds");

} // namespace
