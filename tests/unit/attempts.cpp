#include "support/dispatcher_driver.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace
{

using namespace goldcrestgate::test;

class attempts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(attempts_test);
    CPPUNIT_TEST(lost_task_that_is_not_repeatable_is_never_sent_again);
    CPPUNIT_TEST(failed_task_that_is_not_repeatable_is_never_sent_again);
    CPPUNIT_TEST(refused_start_is_tried_elsewhere_even_if_not_repeatable);
    CPPUNIT_TEST(repeatable_task_is_retried_up_to_its_limit);
    CPPUNIT_TEST(retries_stop_when_the_budget_is_used_up);
    CPPUNIT_TEST(refusals_beyond_the_budget_are_delayed);
    CPPUNIT_TEST(three_permanent_refusals_end_the_task_as_not_run);
    CPPUNIT_TEST(failed_task_fails_the_job_with_fates_and_no_results);
    CPPUNIT_TEST(waiting_job_fails_at_its_deadline);
    CPPUNIT_TEST(started_job_outlives_its_deadline);
    CPPUNIT_TEST(cancellation_sends_one_message_for_each_attempt);
    CPPUNIT_TEST(task_that_ends_despite_its_cancellation_has_its_true_fate);
    CPPUNIT_TEST(straggler_gets_one_hedged_attempt_and_the_loser_is_cancelled);
    CPPUNIT_TEST(no_hedged_attempt_without_a_budget_or_a_repeatable_task);
    CPPUNIT_TEST(leaving_server_gets_no_new_work);
    CPPUNIT_TEST(stop_waits_for_work_and_held_responses);
    CPPUNIT_TEST(decisions_about_a_task_can_be_explained);
    CPPUNIT_TEST(result_that_is_not_utf8_fails_the_task);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a second run of a task that is not repeatable: a lost
    // attempt may have run on its server.
    void lost_task_that_is_not_repeatable_is_never_sent_again()
    {
        dispatcher_driver driver;
        driver.submit(driver.mint(), driver.make_job(1, false));
        driver.end(*driver.last<start_task>(), task_outcome::lost);
        expect_answer(driver, "\"state\":\"failed\"", "task_fate_unknown",
                      "\"tasks\":[{\"fate\":\"unknown\"}]");
        driver.advance(1min);
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
    }

    // Guards against a second run of a task that is not repeatable after it
    // failed on its server.
    void failed_task_that_is_not_repeatable_is_never_sent_again()
    {
        dispatcher_driver driver;
        driver.submit(driver.mint(), driver.make_job(1, false));
        driver.end(*driver.last<start_task>(), task_outcome::failed);
        expect_answer(driver, "\"state\":\"failed\"", "task_failed",
                      "\"tasks\":[{\"fate\":\"failed\"}]");
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
    }

    // Guards against failing a job when a refused start proves that its task
    // did not run.
    void refused_start_is_tried_elsewhere_even_if_not_repeatable()
    {
        dispatcher_driver driver;
        driver.submit(driver.mint(), driver.make_job(1, false));
        auto const first = *driver.last<start_task>();
        driver.end(first, task_outcome::not_sent);
        auto const second = *driver.last<start_task>();
        CPPUNIT_ASSERT(first.server != second.server);
        CPPUNIT_ASSERT_EQUAL(2U, second.attempt);
        driver.end(second, task_outcome::succeeded, "r");
        expect_answer(driver, "\"state\":\"done\"", "\"result\":\"r\"", "");
    }

    // Guards against unlimited retries.
    void repeatable_task_is_retried_up_to_its_limit()
    {
        service_policy policy;
        policy.max_attempts = 2;
        dispatcher_driver driver{policy};
        driver.submit(driver.mint(), driver.make_job(1, true));
        driver.end(*driver.last<start_task>(), task_outcome::lost);
        auto const second = *driver.last<start_task>();
        driver.end(second, task_outcome::failed);
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
        expect_answer(driver, "\"state\":\"failed\"", "task_failed",
                      "\"fate\":\"unknown\"");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, driver.core().counts().retries);
    }

    // Guards against retry storms when every attempt fails.
    void retries_stop_when_the_budget_is_used_up()
    {
        service_policy policy;
        policy.max_attempts = 100;
        dispatcher_driver driver{policy, 10, 10};
        for (int i = 0; i < 100; ++i)
        {
            driver.submit(driver.mint(), driver.make_job(1, true));
            while (auto const started = driver.last<start_task>())
            {
                driver.end(*started, task_outcome::failed);
            }
            expect_answer(driver, "\"state\":\"failed\"", "", "");
        }
        // 100 first starts earn a tenth of a retry each, in addition to the
        // initial reserve of one.
        auto const counts = driver.core().counts();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, counts.first_starts);
        CPPUNIT_ASSERT(counts.retries >= 10);
        CPPUNIT_ASSERT(counts.retries <= 12);
    }

    // Guards against retrying refused starts without a delay, and against
    // failing a job because all servers are briefly busy.
    void refusals_beyond_the_budget_are_delayed()
    {
        dispatcher_driver driver;
        driver.submit(driver.mint(), driver.make_job(1, false));
        int starts = 0;
        while (auto const started = driver.last<start_task>())
        {
            ++starts;
            driver.end(*started, task_outcome::refused_busy);
        }
        CPPUNIT_ASSERT(starts <= 3);
        CPPUNIT_ASSERT(!driver.last<answer_caller>());
        driver.advance(50ms);
        CPPUNIT_ASSERT(driver.last<start_task>().has_value());
    }

    // Guards against trying every server with a task that none can run.
    void three_permanent_refusals_end_the_task_as_not_run()
    {
        dispatcher_driver driver{{}, 10, 1};
        driver.submit(driver.mint(), driver.make_job(1, false));
        std::set<server_id> refused;
        for (int i = 0; i < 3; ++i)
        {
            if (!driver.last<start_task>())
            {
                driver.advance(2s);
            }
            auto const started = *driver.last<start_task>();
            refused.insert(started.server);
            driver.end(started, task_outcome::cannot_run);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, refused.size());
        expect_answer(driver, "\"state\":\"failed\"", "cannot_run",
                      "\"tasks\":[{\"fate\":\"not_run\"}]");
    }

    // Guards against results in the answer of a failed job and against wrong
    // fates of its unstarted tasks.
    void failed_task_fails_the_job_with_fates_and_no_results()
    {
        dispatcher_driver driver{{}, 1, 2};
        driver.submit(driver.mint(), driver.make_job(3, false));
        auto const started = driver.all<start_task>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, started.size());
        driver.end(started[0], task_outcome::failed);
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
        CPPUNIT_ASSERT(!driver.last<answer_caller>());
        driver.end(started[1], task_outcome::succeeded, "secret");
        expect_answer(driver, "\"state\":\"failed\"",
                      "[{\"fate\":\"failed\"},{\"fate\":\"done\"},"
                      "{\"fate\":\"not_run\"}]",
                      "task 0 failed");
        CPPUNIT_ASSERT(!contains(driver.last<answer_caller>()->body, "secret"));
    }

    // Guards against starting a task after the deadline of its job.
    void waiting_job_fails_at_its_deadline()
    {
        dispatcher_driver driver{{}, 1, 1};
        driver.submit(driver.mint(), driver.make_job(1, false));
        job_request late = driver.make_job(1, false);
        late.deadline = 500ms;
        driver.submit(driver.mint(), late);
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
        driver.advance(500ms);
        expect_answer(driver, "\"state\":\"failed\"", "deadline_exceeded",
                      "\"tasks\":[{\"fate\":\"not_run\"}]");
        CPPUNIT_ASSERT(driver.all<start_task>().empty());
    }

    // Guards against failing a job at its deadline although all its tasks have
    // started.
    void started_job_outlives_its_deadline()
    {
        dispatcher_driver driver;
        job_request job = driver.make_job(1, false);
        job.deadline = 500ms;
        driver.submit(driver.mint(), job);
        auto const started = *driver.last<start_task>();
        driver.advance(600ms);
        CPPUNIT_ASSERT(!driver.last<answer_caller>());
        driver.end(started, task_outcome::succeeded, "r");
        expect_answer(driver, "\"state\":\"done\"", "", "");
    }

    // Guards against repeated cancel messages for the same attempt.
    void cancellation_sends_one_message_for_each_attempt()
    {
        dispatcher_driver driver{{}, 1, 2};
        submission_id const id = driver.mint();
        driver.submit(id, driver.make_job(4, false));
        auto const started = driver.all<start_task>();
        driver.handle(cancel_job{driver.next_request(), id});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, driver.all<cancel_task>().size());
        driver.handle(cancel_job{driver.next_request(), id});
        CPPUNIT_ASSERT(driver.all<cancel_task>().empty());
        driver.end(started[0], task_outcome::cancelled);
        driver.end(started[1], task_outcome::cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                             driver.all<answer_caller>().size());
        expect_answer(driver, "\"state\":\"cancelled\"",
                      "[{\"fate\":\"cancelled\"},{\"fate\":\"cancelled\"},"
                      "{\"fate\":\"not_run\"},{\"fate\":\"not_run\"}]",
                      "");
    }

    // Guards against reporting `cancelled` for a task that completed or may
    // have run.
    void task_that_ends_despite_its_cancellation_has_its_true_fate()
    {
        dispatcher_driver driver;
        submission_id const id = driver.mint();
        driver.submit(id, driver.make_job(2, false));
        auto const started = driver.all<start_task>();
        driver.handle(cancel_job{driver.next_request(), id});
        driver.end(started[0], task_outcome::succeeded, "r");
        driver.end(started[1], task_outcome::lost);
        expect_answer(driver, "\"state\":\"cancelled\"",
                      "[{\"fate\":\"done\"},{\"fate\":\"unknown\"}]", "");
    }

    // Guards against answers delayed by one slow server: a repeatable
    // straggler gets a hedged attempt on another server.
    void straggler_gets_one_hedged_attempt_and_the_loser_is_cancelled()
    {
        service_policy policy;
        policy.hedge_budget_ratio = 1.0;
        dispatcher_driver driver{policy};
        driver.submit(driver.mint(), driver.make_job(1, true));
        auto const first = *driver.last<start_task>();
        driver.advance(2s);
        auto const hedged = driver.all<start_task>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hedged.size());
        CPPUNIT_ASSERT(hedged[0].server != first.server);
        driver.end(hedged[0], task_outcome::succeeded, "r");
        expect_answer(driver, "\"state\":\"done\"", "", "");
        auto const cancelled = driver.all<cancel_task>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cancelled.size());
        CPPUNIT_ASSERT(cancelled[0].server == first.server);
        driver.end(first, task_outcome::succeeded, "late");
        CPPUNIT_ASSERT(!driver.last<answer_caller>());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             driver.core().counts().open_attempts);
    }

    // Guards against hedged attempts without a hedge budget or of a task that
    // is not repeatable.
    void no_hedged_attempt_without_a_budget_or_a_repeatable_task()
    {
        service_policy policy;
        dispatcher_driver no_budget{policy};
        no_budget.submit(no_budget.mint(), no_budget.make_job(1, true));
        no_budget.advance(20s);
        CPPUNIT_ASSERT(no_budget.all<start_task>().empty());
        policy.hedge_budget_ratio = 1.0;
        dispatcher_driver not_repeatable{policy};
        not_repeatable.submit(not_repeatable.mint(),
                              not_repeatable.make_job(1, false));
        not_repeatable.advance(20s);
        CPPUNIT_ASSERT(not_repeatable.all<start_task>().empty());
    }

    // Guards against sending tasks to a server that the instance list marks as
    // leaving.
    void leaving_server_gets_no_new_work()
    {
        dispatcher_driver driver{{}, 2, 4};
        instance_list list;
        for (std::uint32_t id = 1; id <= 2; ++id)
        {
            listed_instance entry;
            entry.kind = listed_kind::backend_server;
            entry.id = id;
            entry.domain = driver.self.domain;
            entry.slots = 4;
            entry.leaving = id == 1;
            list.entries.push_back(entry);
        }
        driver.handle(list);
        driver.submit(driver.mint(), driver.make_job(8, false));
        auto const started = driver.all<start_task>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, started.size());
        for (start_task const& start : started)
        {
            CPPUNIT_ASSERT(start.server == server_id{2});
        }
    }

    // Guards against a graceful shutdown that interrupts open work or drops a
    // held response.
    void stop_waits_for_work_and_held_responses()
    {
        dispatcher_driver driver;
        submission_id const unused = driver.mint();
        driver.submit(driver.mint(), driver.make_job(1, false));
        auto const started = *driver.last<start_task>();
        driver.handle(begin_stop{});
        CPPUNIT_ASSERT(!driver.last<set_ready>()->ready);
        CPPUNIT_ASSERT(!driver.last<stopped>());
        driver.submit(unused, driver.make_job(1, false));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{503},
                             driver.last<answer_caller>()->status);
        driver.end(started, task_outcome::succeeded, "r");
        expect_answer(driver, "\"state\":\"done\"", "", "");
        CPPUNIT_ASSERT(driver.last<stopped>());
        driver.advance(1s);
        CPPUNIT_ASSERT(!driver.last<stopped>());
    }

    // Guards against decisions that an operator cannot look up afterwards.
    void decisions_about_a_task_can_be_explained()
    {
        dispatcher_driver driver;
        driver.submit(driver.mint(), driver.make_job(1, false));
        auto const first = *driver.last<start_task>();
        driver.end(first, task_outcome::refused_busy);
        auto const kept = driver.core().explain(first.task);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, kept.size());
        CPPUNIT_ASSERT(kept[0].decision.kind == decision_kind::place);
        CPPUNIT_ASSERT(kept[1].decision.kind == decision_kind::retry);
        CPPUNIT_ASSERT(kept[1].decision.reason == "server_busy");
        CPPUNIT_ASSERT(kept[2].decision.kind == decision_kind::place);
    }

    // Guards against answers that are not valid JSON, which cannot carry a
    // result that is not UTF-8.
    void result_that_is_not_utf8_fails_the_task()
    {
        dispatcher_driver driver;
        driver.submit(driver.mint(), driver.make_job(1, false));
        driver.end(*driver.last<start_task>(), task_outcome::succeeded,
                   "\xff\xfe");
        expect_answer(driver, "\"state\":\"failed\"", "task_failed", "");
    }

private:
    static void expect_answer(dispatcher_driver const& driver,
                              std::string_view first, std::string_view second,
                              std::string_view third)
    {
        auto const answer = driver.last<answer_caller>();
        CPPUNIT_ASSERT(answer.has_value());
        for (std::string_view const part : {first, second, third})
        {
            CPPUNIT_ASSERT_MESSAGE(answer->body, contains(answer->body, part));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(attempts_test, "attempts");

} // namespace
