#include "support/watched_job.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::lease_and_margin;
using tests::progress_known_time;
using tests::watched_job;
using tests::watched_job_fixture;

class failed_after_unseen_ends_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failed_after_unseen_ends_test);
    CPPUNIT_TEST(processes_that_outlive_the_lease_fail_no_job);
    CPPUNIT_TEST(runs_that_have_ended_fail_no_job);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against counting a crash for a run that ended with its lease,
    // while its process lived on.
    void processes_that_outlive_the_lease_fail_no_job()
    {
        watched_job_fixture test{6};
        test.owner.start();
        test.submit(seconds{3});
        test.cut_off_twice(progress_known_time, lease_and_margin,
                           [&test](executor_id id)
                           {
                               CPPUNIT_ASSERT_EQUAL(
                                   std::size_t{0},
                                   test.fleet.running(watched_job, id));
                               test.replace_process(id);
                           });
        test.fleet.run_for(seconds{10});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against counting a crash for a run that had ended when its process
    // ended, where only the answer that lists the end was lost.
    void runs_that_have_ended_fail_no_job()
    {
        watched_job_fixture test{6};
        test.owner.start();
        test.submit(milliseconds{200});
        test.cut_off_twice(milliseconds{20}, milliseconds{250},
                           [&test](executor_id id)
                           {
                               CPPUNIT_ASSERT_EQUAL(
                                   std::size_t{0},
                                   test.fleet.running(watched_job, id));
                               test.fleet.restart(id);
                               test.fleet.behaviour(id).unreachable = false;
                               test.owner.list(id);
                               test.fleet.run_for(milliseconds{50});
                           });
        test.fleet.run_for(seconds{10});
        test.check_outcome(job_outcome::completed);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(failed_after_unseen_ends_test,
                                      "failed_after_unseen_ends");

} // namespace
