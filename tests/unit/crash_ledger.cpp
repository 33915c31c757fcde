#include "goldcrestgate/core/leasing/crash_ledger.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate::core;
using std::chrono::seconds;

constexpr time_point start{seconds{1000}};

leased_task task_of(std::uint64_t job, std::uint16_t index = 0)
{
    return {client_job_id{job}, 0, index};
}

bool is_open(client_job_id job)
{
    return job == client_job_id{1};
}

class crash_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_ledger_test);
    CPPUNIT_TEST(shared_crashes_identify_no_task_before_the_third);
    CPPUNIT_TEST(isolated_crash_identifies_the_task);
    CPPUNIT_TEST(refuted_crash_does_not_count);
    CPPUNIT_TEST(counts_of_open_jobs_do_not_expire);
    CPPUNIT_TEST(reports_are_bounded_and_merged_once);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against giving up a task that ran beside the one that crashes its
    // executors.
    void shared_crashes_identify_no_task_before_the_third()
    {
        crash_ledger ledger;
        for (int crash = 1; crash <= 3; ++crash)
        {
            CPPUNIT_ASSERT(!ledger.is_withheld(task_of(1)));
            ledger.suspect(task_of(1), false, start);
        }
        CPPUNIT_ASSERT(ledger.is_withheld(task_of(1)));
        CPPUNIT_ASSERT(!ledger.is_crash_looping(task_of(1)));
        CPPUNIT_ASSERT(ledger.withholds_task_of(client_job_id{1}));
        CPPUNIT_ASSERT(!ledger.withholds_task_of(client_job_id{2}));
    }

    // Guards against more crashes than needed to identify a task.
    void isolated_crash_identifies_the_task()
    {
        crash_ledger ledger;
        ledger.suspect(task_of(1), false, start);
        ledger.suspect(task_of(1), true, start);
        CPPUNIT_ASSERT(ledger.is_withheld(task_of(1)));
        ledger.confirm(task_of(1), false, start);
        CPPUNIT_ASSERT(!ledger.is_crash_looping(task_of(1)));
        ledger.confirm(task_of(1), true, start);
        CPPUNIT_ASSERT(ledger.is_crash_looping(task_of(1)));
        CPPUNIT_ASSERT(std::vector{task_of(1)} ==
                       ledger.crash_looping_tasks(client_job_id{1}));
    }

    // Guards against counting executors that were only cut off.
    void refuted_crash_does_not_count()
    {
        crash_ledger ledger;
        ledger.suspect(task_of(1), true, start);
        ledger.suspect(task_of(1), true, start);
        ledger.confirm(task_of(1), true, start);
        ledger.refute(task_of(1), true);
        CPPUNIT_ASSERT(ledger.is_suspect(task_of(1)));
        CPPUNIT_ASSERT(!ledger.is_withheld(task_of(1)));
        ledger.suspect(task_of(2), false, start);
        ledger.refute(task_of(2), false);
        CPPUNIT_ASSERT(!ledger.is_suspect(task_of(2)));
    }

    // Guards against counting anew while a patient caller still waits.
    void counts_of_open_jobs_do_not_expire()
    {
        crash_ledger ledger;
        ledger.suspect(task_of(1), true, start);
        ledger.suspect(task_of(2), true, start);
        ledger.expire(start + seconds{59}, is_open);
        CPPUNIT_ASSERT(ledger.is_suspect(task_of(2)));
        ledger.expire(start + seconds{61}, is_open);
        CPPUNIT_ASSERT(ledger.is_suspect(task_of(1)));
        CPPUNIT_ASSERT(!ledger.is_suspect(task_of(2)));
    }

    // Guards against reports that are refused as too large, and against
    // repeated reports that add up.
    void reports_are_bounded_and_merged_once()
    {
        crash_ledger ledger;
        ledger.suspect(task_of(1), true, start);
        crash_ledger successor;
        successor.adopt(ledger.report(start, is_open), start);
        successor.adopt(ledger.report(start, is_open), start);
        CPPUNIT_ASSERT(ledger.counts(task_of(1)) ==
                       successor.counts(task_of(1)));
        for (std::uint16_t i = 0; i < 2 * max_reported_crashes; ++i)
        {
            ledger.suspect(task_of(2, i), false, start);
        }
        CPPUNIT_ASSERT_EQUAL(max_reported_crashes,
                             ledger.report(start, is_open).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             ledger.report(start + seconds{4}, is_open).size());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(crash_ledger_test, "crash_ledger");

} // namespace
