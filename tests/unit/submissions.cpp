#include "support/dispatcher_driver.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate::test;

class submissions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(submissions_test);
    CPPUNIT_TEST(complete_answer_goes_to_its_caller);
    CPPUNIT_TEST(resubmission_starts_nothing_and_gets_the_same_answer);
    CPPUNIT_TEST(another_body_under_the_same_id_is_refused);
    CPPUNIT_TEST(expired_id_is_unknown_and_never_runs);
    CPPUNIT_TEST(id_that_was_not_minted_never_runs);
    CPPUNIT_TEST(refusal_stays_refused);
    CPPUNIT_TEST(held_response_times_out_with_202);
    CPPUNIT_TEST(answer_for_a_disconnected_caller_is_kept);
    CPPUNIT_TEST(cancellation_before_arrival_prevents_the_job);
    CPPUNIT_TEST(memory_of_final_jobs_is_released);
    CPPUNIT_TEST(refusals_name_the_failed_rule);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against partial answers and against answers to the wrong request.
    void complete_answer_goes_to_its_caller()
    {
        dispatcher_driver driver;
        request_id const caller =
            driver.submit(driver.mint(), driver.make_job(2, false));
        auto const started = driver.all<start_task>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started.size());
        driver.end(started[1], task_outcome::succeeded, "second");
        CPPUNIT_ASSERT(!driver.last<answer_caller>());
        driver.end(started[0], task_outcome::succeeded, "first \"quoted\"");
        auto const answer = *driver.last<answer_caller>();
        CPPUNIT_ASSERT(answer.request == caller);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, answer.status);
        CPPUNIT_ASSERT_EQUAL(
            "{\"id\":\"" + to_string(started[0].task.submission) +
                "\",\"state\":\"done\",\"tasks\":[{\"fate\":\"done\","
                "\"result\":\"first \\\"quoted\\\"\"},{\"fate\":\"done\","
                "\"result\":\"second\"}]}",
            answer.body);
    }

    // Guards against a resubmission that starts the tasks a second time.
    void resubmission_starts_nothing_and_gets_the_same_answer()
    {
        dispatcher_driver driver;
        submission_id const id = driver.mint();
        driver.submit(id, driver.make_job(1, false));
        auto const started = *driver.last<start_task>();
        driver.submit(id, driver.make_job(1, false));
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
        driver.end(started, task_outcome::succeeded, "r");
        auto const answers = driver.all<answer_caller>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answers.size());
        CPPUNIT_ASSERT_EQUAL(answers[0].body, answers[1].body);
        driver.submit(id, driver.make_job(1, false));
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
        CPPUNIT_ASSERT_EQUAL(answers[0].body,
                             driver.last<answer_caller>()->body);
    }

    // Guards against answering a job with the result of another one that was
    // submitted under the same id.
    void another_body_under_the_same_id_is_refused()
    {
        dispatcher_driver driver;
        submission_id const id = driver.mint();
        driver.submit(id, driver.make_job(1, false, 1));
        driver.submit(id, driver.make_job(1, false, 2));
        auto const answer = *driver.last<answer_caller>();
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{409}, answer.status);
        CPPUNIT_ASSERT(contains(answer.body, "submission_conflict"));
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
    }

    // Guards against a second run after the record of the first one was
    // dropped.
    void expired_id_is_unknown_and_never_runs()
    {
        dispatcher_driver driver;
        submission_id const id = driver.mint();
        driver.advance(13min);
        driver.submit(id, driver.make_job(1, false));
        auto const answer = *driver.last<answer_caller>();
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{410}, answer.status);
        CPPUNIT_ASSERT(contains(answer.body, "\"fate\":\"unknown\""));
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
    }

    // Guards against jobs under ids that this incarnation did not issue.
    void id_that_was_not_minted_never_runs()
    {
        dispatcher_driver driver;
        submission_id id = driver.mint();
        id.sequence += 5;
        driver.submit(id, driver.make_job(1, false));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{410},
                             driver.last<answer_caller>()->status);
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
    }

    // Guards against running a job after `not_run` was reported to its caller.
    void refusal_stays_refused()
    {
        dispatcher_driver driver;
        submission_id const id = driver.mint();
        job_request job = driver.make_job(1, false);
        job.deadline = 50ms;
        driver.submit(id, job);
        auto const first = *driver.last<answer_caller>();
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{429}, first.status);
        CPPUNIT_ASSERT(contains(first.body, "\"fate\":\"not_run\""));
        driver.submit(id, job);
        CPPUNIT_ASSERT_EQUAL(first.body, driver.last<answer_caller>()->body);
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
    }

    // Guards against responses that are held longer than the caller's wait
    // time.
    void held_response_times_out_with_202()
    {
        dispatcher_driver driver;
        request_id const caller =
            driver.submit(driver.mint(), driver.make_job(1, false), 200ms);
        driver.advance(199ms);
        CPPUNIT_ASSERT(!driver.last<answer_caller>());
        driver.advance(1ms);
        auto const answer = *driver.last<answer_caller>();
        CPPUNIT_ASSERT(answer.request == caller);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{202}, answer.status);
    }

    // Guards against answers that are lost when a caller's connection drops.
    void answer_for_a_disconnected_caller_is_kept()
    {
        dispatcher_driver driver;
        submission_id const id = driver.mint();
        request_id const caller = driver.submit(id, driver.make_job(1, false));
        auto const started = *driver.last<start_task>();
        driver.handle(caller_disconnected{caller});
        driver.end(started, task_outcome::succeeded, "kept");
        CPPUNIT_ASSERT(!driver.last<answer_caller>());
        driver.handle(query_job{driver.next_request(), id, 0s});
        CPPUNIT_ASSERT(contains(driver.last<answer_caller>()->body, "kept"));
    }

    // Guards against running a job whose cancellation arrived first.
    void cancellation_before_arrival_prevents_the_job()
    {
        dispatcher_driver driver;
        submission_id const id = driver.mint();
        driver.handle(cancel_job{driver.next_request(), id});
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{200},
                             driver.last<answer_caller>()->status);
        driver.submit(id, driver.make_job(2, false));
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
        CPPUNIT_ASSERT(contains(driver.last<answer_caller>()->body,
                                "\"tasks\":[{\"fate\":\"not_run\"},"
                                "{\"fate\":\"not_run\"}]"));
    }

    // Guards against memory use that grows with the number of jobs ever run.
    void memory_of_final_jobs_is_released()
    {
        dispatcher_driver driver;
        driver.submit(driver.mint(), driver.make_job(1, false));
        driver.end(*driver.last<start_task>(), task_outcome::succeeded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             driver.core().counts().submissions);
        driver.advance(12min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             driver.core().counts().submissions);
        driver.advance(3min);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             driver.core().counts().submissions);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, driver.core().counts().timers);
    }

    // Guards against refusals whose cause a caller cannot distinguish.
    void refusals_name_the_failed_rule()
    {
        dispatcher_driver driver;
        job_request job = driver.make_job(1, false);
        job.service = "desk.other";
        driver.submit(driver.mint(), job);
        expect_refusal(driver, 400, "unknown_service");
        job = driver.make_job(1, false);
        job.team = "other";
        driver.submit(driver.mint(), job);
        expect_refusal(driver, 400, "unknown_team");
        driver.submit(driver.mint(), driver.make_job(1801, false));
        expect_refusal(driver, 400, "too_many_tasks");
        driver.submit(driver.mint(), driver.make_job(0, false));
        expect_refusal(driver, 400, "invalid_field");
        job = driver.make_job(1, false);
        job.tasks[0].run_time = 0ms;
        driver.submit(driver.mint(), job);
        expect_refusal(driver, 400, "invalid_field");
    }

private:
    static void expect_refusal(dispatcher_driver const& driver,
                               std::uint16_t status, std::string_view name)
    {
        auto const answer = *driver.last<answer_caller>();
        CPPUNIT_ASSERT_EQUAL(status, answer.status);
        CPPUNIT_ASSERT(contains(answer.body, name));
        CPPUNIT_ASSERT(contains(answer.body, "\"fate\":\"not_run\""));
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(submissions_test, "submissions");

} // namespace
