#include "support/watched_job.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

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

class failed_without_cause_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failed_without_cause_test);
    CPPUNIT_TEST(starts_that_never_arrive_fail_no_job);
    CPPUNIT_TEST(processes_that_drain_after_the_lease_fail_no_job);
    CPPUNIT_TEST(late_entries_of_earlier_processes_fail_no_job);
    CPPUNIT_TEST(other_executors_at_an_address_fail_no_job);
    CPPUNIT_TEST(crash_before_a_done_run_does_not_count_later);
    CPPUNIT_TEST(ends_forgotten_by_late_polls_fail_no_job);
    CPPUNIT_TEST(failures_count_against_the_attempts_of_the_last_offer);
    CPPUNIT_TEST(verdict_of_fewer_attempts_is_not_repeated);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against counting a crash for a start that no process received,
    // once the lease that it would have had has ended.
    void starts_that_never_arrive_fail_no_job()
    {
        watched_job_fixture test{2};
        test.owner.start();
        // The new process of the first executor takes no tasks.
        test.fleet.on_restarted = [&test](executor_id id)
        {
            auto description = test.fleet.description(id);
            description.draining = id == executor_id{1};
            test.owner.list(id, description);
        };
        test.fleet.crash(executor_id{1});
        test.submit(milliseconds{200});
        test.fleet.run_for(milliseconds{2500});
        CPPUNIT_ASSERT(test.last_target() == executor_id{1});
        test.fleet.crash(executor_id{2});
        test.fleet.run_for(milliseconds{2500});
        CPPUNIT_ASSERT(test.last_target() == executor_id{2});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.fleet.starts(watched_job));
        test.fleet.run_for(seconds{10});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against counting a crash although the process has published,
    // after the lease of the run had ended, that it drains.
    void processes_that_drain_after_the_lease_fail_no_job()
    {
        watched_job_fixture test{6};
        test.owner.start();
        test.submit(seconds{3});
        test.cut_off_twice(progress_known_time, lease_and_margin,
                           [&](executor_id id)
                           {
                               auto leaving = test.fleet.description(id);
                               leaving.draining = true;
                               test.owner.list(id, leaving);
                               test.fleet.run_for(milliseconds{100});
                               test.replace_process(id);
                           });
        test.fleet.run_for(seconds{10});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against taking an entry of an earlier process, which is read after
    // the present one has answered, for news of a later process.
    void late_entries_of_earlier_processes_fail_no_job()
    {
        watched_job_fixture test{6};
        std::map<executor_id, executor_description> earlier;
        for (auto const id : test.fleet.ids())
        {
            auto leaving = test.fleet.description(id);
            leaving.draining = true;
            earlier[id] = leaving;
        }
        test.owner.list_all();
        for (auto const id : test.fleet.ids())
        {
            test.fleet.restart(id);
        }
        test.owner.take_over(1, true);
        test.fleet.run_for(milliseconds{150});
        test.submit(seconds{3});
        test.cut_off_twice(progress_known_time, lease_and_margin,
                           [&](executor_id id)
                           {
                               test.owner.list(id, earlier.at(id));
                               test.fleet.run_for(milliseconds{100});
                               test.reconnect(id);
                           });
        test.fleet.run_for(seconds{10});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against counting a crash when an executor has left as planned,
    // which its owner could not read, and another one has its address.
    void other_executors_at_an_address_fail_no_job()
    {
        watched_job_fixture test{6};
        test.owner.start();
        test.submit(milliseconds{600});
        for (int left = 0; left < 2; ++left)
        {
            test.fleet.run_for(milliseconds{100});
            auto const id = test.last_target();
            test.fleet.restart(id);
            test.fleet.behaviour(id).replaced = true;
            test.fleet.run_for(milliseconds{400});
        }
        test.fleet.run_for(seconds{10});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against counting a crash that is confirmed after a later run of
    // the task has ended as done against another submission of its job.
    void crash_before_a_done_run_does_not_count_later()
    {
        watched_job_fixture test{6};
        test.owner.start();
        test.fleet.restart_time = seconds{9};
        test.submit(seconds{3});
        test.fleet.run_for(progress_known_time);
        test.fleet.crash(test.last_target());
        test.fleet.run_for(seconds{9});
        test.check_outcome(job_outcome::completed);
        test.owner.verdicts.clear();
        // The verdict is repeated for some seconds.
        test.fleet.run_for(seconds{5});
        test.submit(seconds{3});
        test.fleet.run_for(milliseconds{500});
        test.fleet.restart_time = milliseconds{300};
        test.fleet.crash(test.last_target());
        test.fleet.run_for(seconds{10});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against counting a crash for a run of the present process, whose
    // end a late poll with the acknowledgement of the earlier process forgot.
    void ends_forgotten_by_late_polls_fail_no_job()
    {
        watched_job_fixture test{2};
        test.fleet.describe(executor_id{1}, "desk", {"a", "first"});
        test.owner.start();
        test.owner.submit(tests::make_leased_job(10, 4, milliseconds{50}),
                          milliseconds{50});
        test.fleet.run_for(milliseconds{500});
        for (auto const id : test.fleet.ids())
        {
            test.fleet.restart(id);
            test.fleet.behaviour(id).poll_delay = milliseconds{300};
        }
        test.submit(milliseconds{200});
        test.fleet.run_for(milliseconds{320});
        CPPUNIT_ASSERT(test.last_target() == executor_id{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.fleet.running(watched_job));
        test.fleet.behaviour(executor_id{1}).poll_delay.reset();
        // The task goes to the other executor, as it runs beside no other one.
        auto other = tests::make_patient_job(11, seconds{5}, seconds{60});
        other.groups.front().required_label = "first";
        test.owner.submit(other, seconds{5});
        test.fleet.run_for(milliseconds{450});
        CPPUNIT_ASSERT(test.last_target() == executor_id{2});
        test.fleet.run_for(milliseconds{320});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.fleet.running(watched_job));
        test.fleet.behaviour(executor_id{2}).poll_delay.reset();
        test.fleet.run_for(seconds{10});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against ending a job by the number of attempts of an earlier
    // configuration after it was submitted again under a later one.
    void failures_count_against_the_attempts_of_the_last_offer()
    {
        watched_job_fixture test{2};
        test.owner.start();
        auto job = tests::make_patient_job(watched_job.value(),
                                           milliseconds{300}, seconds{60});
        job.max_attempts = 1;
        test.owner.submit(job, milliseconds{300});
        test.fleet.run_for(milliseconds{100});
        job.max_attempts = 3;
        test.owner.offer(job, false, instance_id{2});
        auto const id = test.last_target();
        test.fleet.behaviour(id).fails_tasks = true;
        test.fleet.run_for(milliseconds{250});
        test.fleet.behaviour(id).fails_tasks = false;
        test.fleet.run_for(seconds{3});
        test.check_outcome(job_outcome::completed);
    }

    // Guards against repeating the verdict on a submission with fewer attempts
    // for one under a later configuration.
    void verdict_of_fewer_attempts_is_not_repeated()
    {
        watched_job_fixture test{2};
        test.owner.start();
        auto job = tests::make_patient_job(watched_job.value(),
                                           milliseconds{300}, seconds{60});
        job.max_attempts = 1;
        test.owner.submit(job, milliseconds{300});
        auto const id = test.last_target();
        test.fleet.behaviour(id).fails_tasks = true;
        test.fleet.run_for(milliseconds{350});
        test.fleet.behaviour(id).fails_tasks = false;
        test.check_outcome(job_outcome::failed);
        test.owner.verdicts.clear();
        test.fleet.run_for(milliseconds{1300});
        job.max_attempts = 3;
        test.owner.offer(job, false, instance_id{2});
        test.fleet.run_for(seconds{3});
        test.check_outcome(job_outcome::completed);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(failed_without_cause_test,
                                      "failed_without_cause");

} // namespace
