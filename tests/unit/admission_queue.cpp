#include "goldcrestgate/core/admission/admission_queue.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

constexpr time_point start{10s};
constexpr time_point far_deadline{1000s};

class admission_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_queue_test);
    CPPUNIT_TEST(work_is_shared_by_weight);
    CPPUNIT_TEST(a_light_team_passes_a_heavy_one);
    CPPUNIT_TEST(idle_time_earns_no_credit);
    CPPUNIT_TEST(a_job_that_waited_long_goes_first);
    CPPUNIT_TEST(the_nearly_finished_job_goes_first);
    CPPUNIT_TEST(urgent_tasks_go_first_up_to_their_share);
    CPPUNIT_TEST(a_team_at_its_quota_waits);
    CPPUNIT_TEST(a_requeued_task_is_the_next);
    CPPUNIT_TEST(the_last_task_is_the_shortest_of_the_first_job);
    CPPUNIT_TEST(cancel_removes_all_tasks_of_the_job);
    CPPUNIT_TEST(expired_tasks_leave_in_time);
    CPPUNIT_TEST(an_unreachable_deadline_is_rejected);
    CPPUNIT_TEST(a_job_behind_a_long_queue_is_rejected);
    CPPUNIT_TEST(an_idle_queue_admits_a_long_job);
    CPPUNIT_TEST_SUITE_END();

    static submission_id job(std::uint64_t sequence)
    {
        return {{domain_id{1}, instance_id{1}, incarnation{1}}, sequence};
    }

    static waiting_task task(std::uint64_t sequence, std::uint32_t team,
                             duration run_time = 100ms, std::uint32_t open = 1)
    {
        return {{job(sequence), task_index{0}},
                service_id{0},
                team_id{team},
                urgency::normal,
                run_time,
                far_deadline,
                start,
                open};
    }

    static void push_job(admission_queue& queue, std::uint64_t sequence,
                         std::uint32_t team, std::uint32_t count,
                         duration run_time = 100ms)
    {
        for (std::uint32_t i = 0; i < count; ++i)
        {
            waiting_task added = task(sequence, team, run_time, count);
            added.task.task = task_index{static_cast<std::uint16_t>(i)};
            queue.push(added);
        }
    }

    static std::shared_ptr<settings_view> make_settings()
    {
        auto made = std::make_shared<settings_view>();
        made->services.resize(1);
        made->teams.resize(2);
        return made;
    }

    static std::uint64_t next(admission_queue& queue, time_point now = start)
    {
        return queue.pop(now)->task.submission.sequence;
    }

public:
    // Guards against a team that gets more than its weight under contention.
    void work_is_shared_by_weight()
    {
        auto settings = make_settings();
        settings->teams[1].weight = 3.0;
        admission_queue queue;
        queue.set_settings(settings);
        for (std::uint64_t i = 0; i < 400; ++i)
        {
            queue.push(task(2 * i, 0));
            queue.push(task(2 * i + 1, 1));
        }
        std::uint32_t heavy = 0;
        for (int i = 0; i < 200; ++i)
        {
            heavy += queue.pop(start)->team == team_id{1} ? 1 : 0;
        }
        CPPUNIT_ASSERT(heavy >= 148 && heavy <= 152);
    }

    // Guards against a small request that waits behind another team's job.
    void a_light_team_passes_a_heavy_one()
    {
        admission_queue queue;
        push_job(queue, 1, 0, 1800);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next(queue));
        queue.push(task(2, 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next(queue));
    }

    // Guards against a team that accumulates credit while it has no work.
    void idle_time_earns_no_credit()
    {
        admission_queue queue;
        push_job(queue, 1, 0, 1000);
        for (int i = 0; i < 500; ++i)
        {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next(queue));
        }
        push_job(queue, 2, 1, 500);
        push_job(queue, 3, 1, 500);
        int other = 0;
        for (int i = 0; i < 1500; ++i)
        {
            other += next(queue) != 1 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(1000, other);
    }

    // Guards against starvation of a large job by small ones.
    void a_job_that_waited_long_goes_first()
    {
        admission_queue queue;
        push_job(queue, 1, 0, 1800);
        waiting_task late = task(2, 0);
        late.since = start + 5s;
        queue.push(late);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next(queue, start + 5s));
    }

    // Guards against many half-finished jobs instead of a few finished ones.
    void the_nearly_finished_job_goes_first()
    {
        admission_queue queue;
        push_job(queue, 1, 0, 100);
        push_job(queue, 2, 0, 50);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next(queue));
        queue.set_open_in_job(job(1), 3);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next(queue));
    }

    // Guards against urgent work that takes all slots from normal work.
    void urgent_tasks_go_first_up_to_their_share()
    {
        admission_queue queue;
        queue.set_settings(make_settings());
        queue.push(task(1, 0));
        waiting_task urgent_task = task(2, 0);
        urgent_task.urgency = urgency::urgent;
        queue.push(urgent_task);
        urgent_task.task.submission = job(3);
        queue.push(urgent_task);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next(queue));
        queue.task_running(team_id{0}, urgency::urgent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next(queue));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, next(queue));
    }

    // Guards against a team above its quota.
    void a_team_at_its_quota_waits()
    {
        auto settings = make_settings();
        settings->teams[0].max_running_tasks = 1;
        admission_queue queue;
        queue.set_settings(settings);
        queue.task_running(team_id{0}, urgency::normal);
        queue.push(task(1, 0));
        CPPUNIT_ASSERT(!queue.pop(start));
        queue.push(task(2, 1));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next(queue));
        queue.task_ended(team_id{0}, urgency::normal);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next(queue));
    }

    // Guards against a task that loses its place when a server refuses it.
    void a_requeued_task_is_the_next()
    {
        admission_queue queue;
        push_job(queue, 1, 0, 10);
        push_job(queue, 2, 1, 10);
        auto const popped = *queue.pop(start);
        queue.push_front(popped);
        CPPUNIT_ASSERT(queue.pop(start)->task == popped.task);
        CPPUNIT_ASSERT_EQUAL(std::size_t{19}, queue.size());
    }

    // Guards against a long task on a slow server at the end of a job.
    void the_last_task_is_the_shortest_of_the_first_job()
    {
        admission_queue queue;
        for (auto const run_time : {300ms, 100ms, 200ms})
        {
            queue.push(task(1, 0, run_time, 3));
        }
        CPPUNIT_ASSERT(queue.last(start)->expected_run_time == 100ms);
        queue.pop_last(start);
        CPPUNIT_ASSERT(queue.pop(start)->expected_run_time == 300ms);
        CPPUNIT_ASSERT(queue.pop(start)->expected_run_time == 200ms);
        CPPUNIT_ASSERT(queue.waiting_work() == duration{});
    }

    // Guards against cancelled tasks that still start.
    void cancel_removes_all_tasks_of_the_job()
    {
        admission_queue queue;
        push_job(queue, 1, 0, 1800);
        push_job(queue, 2, 0, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1800}, queue.cancel(job(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, queue.cancel(job(1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next(queue));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size());
    }

    // Guards against tasks that start after their deadline.
    void expired_tasks_leave_in_time()
    {
        admission_queue queue;
        waiting_task soon = task(1, 0);
        soon.deadline = start + 1s;
        queue.push(soon);
        queue.push(task(2, 0));
        CPPUNIT_ASSERT(queue.next_deadline() == start + 1s);
        CPPUNIT_ASSERT(queue.expire(start + 999ms).empty());
        auto const expired = queue.expire(start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
        CPPUNIT_ASSERT(expired.front() == soon.task);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.size());
    }

    // Guards against jobs that are admitted only to miss their deadline: the
    // caller must get the error at submission.
    void an_unreachable_deadline_is_rejected()
    {
        admission_queue queue;
        std::vector<duration> const run_times(100, 1s);
        job_demand demand{service_id{0}, team_id{0}, urgency::normal, run_times,
                          start + 3s};
        CPPUNIT_ASSERT(!queue.admit(demand, 50, start));
        CPPUNIT_ASSERT(queue.admit(demand, 20, start) ==
                       error_code::deadline_unreachable);
        demand.deadline = start + 999ms;
        CPPUNIT_ASSERT(queue.admit(demand, 1000, start) ==
                       error_code::deadline_unreachable);
    }

    // Guards against an unbounded wait in the queue, and against rejecting a
    // team whose fair share of the slots is free.
    void a_job_behind_a_long_queue_is_rejected()
    {
        admission_queue queue;
        queue.set_settings(make_settings());
        push_job(queue, 1, 0, 100, 1s);
        std::vector<duration> const run_times(1, 1s);
        job_demand demand{service_id{0}, team_id{0}, urgency::normal, run_times,
                          far_deadline};
        CPPUNIT_ASSERT(!queue.admit(demand, 100, start));
        CPPUNIT_ASSERT(queue.admit(demand, 10, start) ==
                       error_code::overloaded);
        demand.team = team_id{1};
        CPPUNIT_ASSERT(!queue.admit(demand, 10, start));
    }

    // Guards against an idle instance that rejects a job for its size alone.
    void an_idle_queue_admits_a_long_job()
    {
        admission_queue queue;
        queue.set_settings(make_settings());
        std::vector<duration> const run_times(80, 1500ms);
        job_demand const demand{service_id{0}, team_id{0}, urgency::normal,
                                run_times, start + 60s};
        CPPUNIT_ASSERT(!queue.admit(demand, 32, start));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(admission_queue_test, "admission_queue");

} // namespace
