#include "support/watched_job.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::watched_job_fixture;

class crashes_noticed_at_different_times_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crashes_noticed_at_different_times_test);
    CPPUNIT_TEST(crash_of_half_of_a_small_domain_fails_no_job);
    CPPUNIT_TEST(late_news_of_other_crashes_fail_no_job);
    CPPUNIT_TEST(restarts_at_different_times_fail_no_job);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against giving up a task when three of six executors crash.
    void crash_of_half_of_a_small_domain_fails_no_job()
    {
        watched_job_fixture test{6};
        test.fleet.restart_time = milliseconds{400};
        test.owner.start();
        test.submit(seconds{20});
        test.crash_twice(3);
        test.fleet.run_for(seconds{40});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against judging a crash before the others are known.
    void late_news_of_other_crashes_fail_no_job()
    {
        watched_job_fixture test{12};
        test.fleet.on_restarted = {};
        test.owner.start();
        test.submit(seconds{20});
        for (int wave = 0; wave < 2; ++wave)
        {
            test.fleet.run_for(milliseconds{1200});
            auto const target = test.last_target();
            for (auto const id : test.fleet.ids())
            {
                test.cut_off(id);
                test.fleet.restart(id);
            }
            test.fleet.run_for(milliseconds{500});
            test.reconnect(target);
            test.fleet.run_for(milliseconds{1000});
            for (auto const id : test.fleet.ids())
            {
                if (id != target)
                {
                    test.reconnect(id);
                }
            }
            test.fleet.run_for(milliseconds{500});
        }
        test.fleet.run_for(seconds{40});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against comparing crashes by the times of the restarts.
    void restarts_at_different_times_fail_no_job()
    {
        watched_job_fixture test{12};
        test.owner.start();
        test.submit(seconds{20});
        for (int wave = 0; wave < 2; ++wave)
        {
            test.fleet.run_for(milliseconds{1200});
            auto time = milliseconds{300};
            for (auto const id : test.fleet.ids())
            {
                test.fleet.restart_time = time;
                time += milliseconds{250};
                test.fleet.crash(id);
            }
            test.fleet.run_for(time + seconds{2});
        }
        test.fleet.run_for(seconds{40});
        test.check_outcome(job_outcome::completed);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(crashes_noticed_at_different_times_test,
                                      "crashes_noticed_at_different_times");

} // namespace
