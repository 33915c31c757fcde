#include "support/watched_job.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::watched_job;
using tests::watched_job_fixture;

class shared_crashes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shared_crashes_test);
    CPPUNIT_TEST(crash_of_most_of_a_small_domain_fails_no_job);
    CPPUNIT_TEST(crash_of_a_whole_service_fails_no_job);
    CPPUNIT_TEST(crash_of_isolated_suspects_fails_no_job);
    CPPUNIT_TEST(late_report_of_a_done_task_fails_no_job);
    CPPUNIT_TEST(late_report_of_a_done_task_withholds_no_job);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against giving up a task when three of four executors crash.
    void crash_of_most_of_a_small_domain_fails_no_job()
    {
        watched_job_fixture test{4};
        test.fleet.restart_time = milliseconds{400};
        test.owner.start();
        test.submit(seconds{20});
        test.crash_twice(3);
        test.fleet.run_for(seconds{40});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against taking an executor of another service for a witness.
    void crash_of_a_whole_service_fails_no_job()
    {
        watched_job_fixture test{8};
        test.fleet.restart_time = milliseconds{400};
        test.fleet.describe(executor_id{8}, "other", {"a"});
        test.owner.start();
        auto job = tests::make_patient_job(1, milliseconds{800}, seconds{60});
        job.groups.front().task_count = 14;
        test.owner.submit(job, milliseconds{800});
        for (int wave = 0; wave < 2; ++wave)
        {
            test.fleet.run_for(milliseconds{300});
            for (auto const id : test.fleet.ids())
            {
                if (id != executor_id{8})
                {
                    test.fleet.crash(id);
                }
            }
            test.fleet.run_for(milliseconds{1500});
        }
        test.fleet.run_for(seconds{50});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against leaving out the executors of suspects when most crash.
    void crash_of_isolated_suspects_fails_no_job()
    {
        watched_job_fixture test{16};
        test.fleet.restart_time = milliseconds{400};
        test.owner.start();
        for (std::uint64_t id = 1; id <= 10; ++id)
        {
            auto job = tests::make_patient_job(id, seconds{40}, seconds{200});
            job.groups.front().each_task.cpu_millicores = 40'000;
            test.owner.submit(job, seconds{40});
        }
        // One crash of its own for each job, 1.5 s apart.
        for (std::uint64_t id = 1; id <= 10; ++id)
        {
            test.fleet.run_for(milliseconds{1500});
            if (auto const at = test.fleet.executor_of(client_job_id{id}))
            {
                test.fleet.crash(*at);
            }
        }
        test.fleet.run_for(milliseconds{2500});
        for (auto const id : test.fleet.ids())
        {
            bool busy = false;
            for (std::uint64_t job = 1; job <= 10; ++job)
            {
                busy |= test.fleet.running(client_job_id{job}, id) > 0;
            }
            if (busy)
            {
                test.fleet.crash(id);
            }
        }
        test.fleet.run_for(seconds{100});
        auto const failed = std::ranges::count_if(
            test.owner.verdicts,
            [](auto const& entry)
            {
                return entry.second.outcome == job_outcome::failed;
            });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, failed);
    }

    // Guards against ending a job by crashes of a task that is done.
    void late_report_of_a_done_task_fails_no_job()
    {
        watched_job_fixture test{4};
        test.owner.start();
        auto job = tests::make_patient_job(1, seconds{3}, seconds{60});
        job.groups.front().task_count = 2;
        test.fleet.set_work(leased_task{watched_job, 0, 0}, milliseconds{100});
        test.owner.submit(job, seconds{3});
        test.fleet.run_for(milliseconds{500});
        std::vector<task_crashes> const late{
            {{watched_job, 0, 0},
             {{1, crash_state::confirmed, true},
              {2, crash_state::confirmed, true}}}};
        test.owner.adopt_crashes(late);
        test.fleet.run_for(seconds{10});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against delaying a job by suspicions of a task that is done.
    void late_report_of_a_done_task_withholds_no_job()
    {
        watched_job_fixture test{4};
        test.owner.start();
        auto job = tests::make_patient_job(1, seconds{1}, seconds{60});
        job.groups.push_back(job.groups.front());
        job.groups.back().after = {0};
        test.owner.submit(job, seconds{1});
        test.fleet.run_for(milliseconds{1300});
        std::vector<task_crashes> const late{
            {{watched_job, 0, 0},
             {{1, crash_state::suspected, true},
              {2, crash_state::suspected, true},
              {3, crash_state::suspected, true},
              {4, crash_state::suspected, true}}}};
        test.owner.adopt_crashes(late);
        test.fleet.crash(test.last_target());
        test.fleet.run_for(seconds{12});
        test.check_outcome(job_outcome::completed);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(shared_crashes_test, "shared_crashes");

} // namespace
