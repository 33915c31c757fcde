#include "support/scripted_owner.hpp"

#include "goldcrestgate/core/leasing/given_up_runs.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::scripted_owner;

std::vector<scheduler_log_event> events_named(scripted_owner const& owner,
                                              std::string_view name)
{
    std::vector<scheduler_log_event> found;
    for (auto const& log_event : owner.events)
    {
        if (log_event.event == name)
        {
            found.push_back(log_event);
        }
    }
    return found;
}

/// Returns the only event of a name.
scheduler_log_event only_event(scripted_owner const& owner,
                               std::string_view name)
{
    auto const found = events_named(owner, name);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string{name}, std::size_t{1},
                                 found.size());
    return found.front();
}

class late_run_events_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_run_events_test);
    CPPUNIT_TEST(late_start_on_a_new_process_names_the_run_beside_it);
    CPPUNIT_TEST(run_that_outlives_its_lease_names_the_run_beside_it);
    CPPUNIT_TEST(end_of_a_run_that_outlived_its_lease_is_logged);
    CPPUNIT_TEST(unknown_run_is_logged_once);
    CPPUNIT_TEST(runs_of_the_earlier_owner_are_not_late);
    CPPUNIT_TEST(older_list_shows_no_late_run);
    CPPUNIT_TEST(acceptance_is_logged_only_if_it_is_unusual);
    CPPUNIT_TEST(stop_without_answer_is_logged);
    CPPUNIT_TEST(claim_names_the_process);
    CPPUNIT_TEST(given_up_runs_are_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a log from which a late start on a restarted executor
    // cannot be told from a run that outlived its lease.
    void late_start_on_a_new_process_names_the_run_beside_it()
    {
        scripted_owner owner;
        owner.prepare();
        auto const sent_at = owner.now;
        auto const first = owner.lose_first_start();
        auto const& second = owner.starts.back();
        CPPUNIT_ASSERT(second.executor != first.executor);
        owner.list(first.executor, 2);
        owner.wait(30);
        owner.answer_poll(first.executor, owner.polls.at(first.executor).order,
                          2, {{first.run}});
        auto const found = only_event(owner, "late_run_found");
        CPPUNIT_ASSERT(found.reason == "other_run_recorded");
        CPPUNIT_ASSERT(found.run == first.run);
        CPPUNIT_ASSERT(found.executor == first.executor);
        CPPUNIT_ASSERT(found.incarnation == std::uint64_t{2});
        CPPUNIT_ASSERT(found.late->given_up == "start_unanswered");
        CPPUNIT_ASSERT(found.late->since_sent == owner.now - sent_at);
        CPPUNIT_ASSERT(found.late->other_executor == second.executor);
        CPPUNIT_ASSERT_EQUAL(second.run.execution, found.late->other_execution);
    }

    // Guards against a log that does not show that a run outlived the lease
    // that its owner counted.
    void run_that_outlives_its_lease_names_the_run_beside_it()
    {
        scripted_owner owner;
        auto const first = lose_lease(owner);
        owner.answer_poll(first.executor, owner.polls.at(first.executor).order,
                          1, {{first.run}});
        auto const found = only_event(owner, "late_run_found");
        CPPUNIT_ASSERT(found.reason == "other_run_recorded");
        CPPUNIT_ASSERT(found.incarnation == std::uint64_t{1});
        CPPUNIT_ASSERT(found.late->given_up == "lease_expired");
        CPPUNIT_ASSERT(found.late->since_sent == milliseconds{1200});
        CPPUNIT_ASSERT(found.late->other_executor ==
                       owner.starts.back().executor);
    }

    // Guards against a run beside another one that stays unseen because it
    // ended before its executor was heard again.
    void end_of_a_run_that_outlived_its_lease_is_logged()
    {
        scripted_owner owner;
        auto const first = lose_lease(owner);
        owner.answer_poll(first.executor, owner.polls.at(first.executor).order,
                          1, {}, {{1, first.run, run_end::done}});
        auto const found = only_event(owner, "late_end_found");
        CPPUNIT_ASSERT(found.late->given_up == "lease_expired");
        CPPUNIT_ASSERT(found.late->other_executor ==
                       owner.starts.back().executor);
        CPPUNIT_ASSERT(events_named(owner, "late_run_found").empty());
    }

    // Guards against a line for each list in which a late run appears.
    void unknown_run_is_logged_once()
    {
        scripted_owner owner;
        owner.prepare();
        owner.offer();
        auto const& start = owner.starts.at(0);
        owner.answer_start(start, order_outcome::accepted);
        task_run const unknown{{client_job_id{7}, 0, 0}, 1};
        for (int i = 0; i < 3; ++i)
        {
            owner.wait(20);
            owner.answer_poll(start.executor,
                              owner.polls.at(start.executor).order, 1,
                              {{start.run}, {unknown}});
        }
        auto const found = only_event(owner, "late_run_found");
        CPPUNIT_ASSERT(found.reason == "job_unknown");
        CPPUNIT_ASSERT(found.late->given_up.empty());
        CPPUNIT_ASSERT(!found.late->since_sent);
        CPPUNIT_ASSERT(!found.late->other_executor);
    }

    // Guards against a line for each run that a successor takes over.
    void runs_of_the_earlier_owner_are_not_late()
    {
        scripted_owner owner;
        executor_id const id{1};
        owner.list(id, 1);
        owner.take_over(2);
        owner.answer_poll(id, owner.polls.at(id).order, 1,
                          {{task_run{{client_job_id{7}, 0, 0}, 1}}});
        CPPUNIT_ASSERT(events_named(owner, "late_run_found").empty());
    }

    // Guards against a false alarm: a list that arrives after a newer one names
    // a run that has ended since.
    void older_list_shows_no_late_run()
    {
        scripted_owner owner;
        owner.prepare();
        owner.offer();
        auto const start = owner.starts.at(0);
        owner.answer_start(start, order_outcome::accepted);
        auto const earlier = owner.polls.at(start.executor).order;
        owner.wait(700);
        CPPUNIT_ASSERT(owner.polls.at(start.executor).order != earlier);
        owner.answer_poll(start.executor, owner.polls.at(start.executor).order,
                          1, {}, {{1, start.run, run_end::done}});
        owner.answer_poll(start.executor, earlier, 1, {{start.run}});
        CPPUNIT_ASSERT(events_named(owner, "late_run_found").empty());
    }

    // Guards against a line for each start, and against an acceptance by
    // another process that is not seen in the log.
    void acceptance_is_logged_only_if_it_is_unusual()
    {
        // The polls of scripted_owner are answered with a clock of 10 s.
        CPPUNIT_ASSERT(reason_of_acceptance(10, 10'010, 1).empty());
        CPPUNIT_ASSERT(reason_of_acceptance(10, 9'900, 1).empty());
        CPPUNIT_ASSERT(reason_of_acceptance(130, 10'130, 1) == "slow_answer");
        CPPUNIT_ASSERT(reason_of_acceptance(10, 40, 1) == "clock_restarted");
        CPPUNIT_ASSERT(reason_of_acceptance(10, 10'010, 2) ==
                       "sent_to_earlier_process");
    }

    // Guards against a run that goes on unseen after its job has ended, as its
    // stop got no answer.
    void stop_without_answer_is_logged()
    {
        scripted_owner owner;
        owner.prepare();
        owner.offer();
        auto const start = owner.starts.at(0);
        owner.answer_start(start, order_outcome::accepted);
        owner.scheduler.withdraw(instance_id{1}, {start.run.task.job},
                                 owner.now, owner.out);
        owner.wait(500);
        owner.answer_poll(start.executor, owner.polls.at(start.executor).order,
                          1, {{start.run}});
        owner.wait(200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.stops.size());
        owner.now += milliseconds{160};
        owner.answer_stop(owner.stops[0], order_outcome::unanswered);
        auto const refused = only_event(owner, "stop_refused");
        CPPUNIT_ASSERT(refused.run == start.run);
        CPPUNIT_ASSERT(refused.reason == "unanswered");
        CPPUNIT_ASSERT(refused.run_time == milliseconds{860});
        owner.wait(60);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.stops.size());
        owner.answer_stop(owner.stops[1], order_outcome::accepted);
        only_event(owner, "stop_refused");
    }

    // Guards against a claim in the log whose process is not known.
    void claim_names_the_process()
    {
        scripted_owner owner;
        owner.list(executor_id{1}, 5);
        owner.take_over(1);
        owner.claim_all(6);
        CPPUNIT_ASSERT(only_event(owner, "executor_claimed").incarnation ==
                       std::uint64_t{6});
    }

    // Guards against records that grow with the number of lost runs, and
    // against a run that is traced to a start of long ago.
    void given_up_runs_are_bounded()
    {
        given_up_runs records;
        executor_id const id{1};
        time_point const at{milliseconds{1000}};
        auto const run_of = [](std::uint64_t job)
        {
            return task_run{{client_job_id{job}, 0, 0}, 1};
        };
        records.add({id, run_of(1), at, "start_unanswered", at});
        records.add({id, run_of(1), at, "lease_expired", at});
        CPPUNIT_ASSERT(records.find(id, run_of(1), at)->reason ==
                       "start_unanswered");
        CPPUNIT_ASSERT(!records.find(executor_id{2}, run_of(1), at));
        CPPUNIT_ASSERT(records.find(id, run_of(1), at + milliseconds{13'999}));
        CPPUNIT_ASSERT(!records.find(id, run_of(1), at + milliseconds{14'000}));
        for (std::uint64_t job = 2; job <= 4097; ++job)
        {
            records.add({id, run_of(job), at, "executor_lost", at});
        }
        CPPUNIT_ASSERT(!records.find(id, run_of(1), at));
        CPPUNIT_ASSERT(records.find(id, run_of(2), at));
        CPPUNIT_ASSERT(records.find(id, run_of(4097), at));
    }

private:
    /// Lets the lease of the first run expire while its executor is silent, so
    /// that the task starts elsewhere.
    static start_run lose_lease(scripted_owner& owner)
    {
        owner.prepare();
        owner.offer();
        auto first = owner.starts.at(0);
        owner.answer_start(first, order_outcome::accepted);
        owner.now += milliseconds{560};
        poll_answer lost;
        lost.order = owner.polls.at(first.executor).order;
        lost.executor = first.executor;
        lost.outcome = order_outcome::unanswered;
        owner.scheduler.poll_answered(lost, owner.now, owner.out);
        owner.collect();
        owner.wait(640);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.starts.size());
        CPPUNIT_ASSERT(owner.starts.back().executor != first.executor);
        return first;
    }

    /// Returns the reason of the event of an acceptance; empty if there is
    /// none.
    /// @param incarnation process that is listed when the acceptance arrives
    static std::string reason_of_acceptance(int after_ms,
                                            std::uint64_t clock_ms,
                                            std::uint64_t incarnation)
    {
        scripted_owner owner;
        owner.prepare();
        owner.offer();
        auto const start = owner.starts.at(0);
        owner.list(start.executor, incarnation);
        owner.now += milliseconds{after_ms};
        owner.scheduler.start_answered({start.order, start.executor, start.run,
                                        order_outcome::accepted,
                                        executor_clock{clock_ms}},
                                       owner.now, owner.out);
        owner.collect();
        auto const found = events_named(owner, "start_accepted");
        CPPUNIT_ASSERT(found.size() <= 1);
        return found.empty() ? std::string{} : std::string{found[0].reason};
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_run_events_test, "late_run_events");

} // namespace
