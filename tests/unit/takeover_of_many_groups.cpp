#include "support/scripted_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <pthread.h>

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <exception>
#include <functional>
#include <numeric>
#include <string_view>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::scripted_owner;

constexpr executor_id host{1};
constexpr std::uint64_t incarnation = 1;

/// Size at which work that doubles with each group takes seconds, while work
/// per dependency takes microseconds.
constexpr std::uint16_t full_graph_groups = 24;

/// Size at which work per pair of ends and pair of groups takes seconds.
constexpr std::uint16_t ended_groups = 300;

/// The same if the ends are known before the job.
constexpr std::uint16_t groups_with_known_ends = 1'500;

constexpr std::uint16_t chain_groups = 10'000;

/// Limit of the processor time of one answer.
constexpr double longest_answer_s = 0.5;

/// Stack that a recursion over all groups of the chain exceeds.
constexpr std::size_t small_stack_bytes = std::size_t{256} * 1024;

void add_group(leased_job& job, std::vector<std::uint16_t> after)
{
    auto group = job.groups.front();
    group.after = std::move(after);
    job.groups.push_back(std::move(group));
}

/// Makes a job of one group of small tasks whose caller waits for long.
leased_job make_job(std::uint16_t tasks = 1)
{
    auto job = tests::make_leased_job(1, tasks, milliseconds{10});
    job.groups.front().each_task = {1'000, 64, 0};
    job.objective = std::chrono::hours{1};
    job.time_limit = std::chrono::hours{1};
    return job;
}

/// Makes a job of which each group comes after all earlier ones.
leased_job make_full_graph(std::uint16_t groups)
{
    auto job = make_job();
    for (std::uint16_t i = 1; i < groups; ++i)
    {
        std::vector<std::uint16_t> after(i);
        std::iota(after.begin(), after.end(), std::uint16_t{0});
        add_group(job, std::move(after));
    }
    return job;
}

/// Makes a job of which each group comes after the one before it.
leased_job make_chain(std::uint16_t groups)
{
    auto job = make_job();
    for (std::uint16_t i = 1; i < groups; ++i)
    {
        add_group(job, {static_cast<std::uint16_t>(i - 1)});
    }
    return job;
}

task_run make_run(std::uint16_t group, std::uint16_t index = 0)
{
    return {{client_job_id{1}, group, index}, 1};
}

std::vector<finished_run> make_ends(std::vector<task_run> const& runs,
                                    run_end end = run_end::done)
{
    std::vector<finished_run> ends;
    ends.reserve(runs.size());
    for (auto const& run : runs)
    {
        ends.push_back({ends.size() + 1, run, end});
    }
    return ends;
}

double processor_time_s(std::function<void()> const& work)
{
    auto const begin = std::clock();
    work();
    return static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
}

/// Calls a function on a thread with a small stack.
void call_with_small_stack(std::function<void()> const& work)
{
    struct call
    {
        std::function<void()> const& work;
        std::exception_ptr failure;
    };
    call made{work, {}};
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, small_stack_bytes);
    pthread_t thread{};
    int const refused = pthread_create(
        &thread, &attributes,
        [](void* argument) -> void*
        {
            auto& given = *static_cast<call*>(argument);
            try
            {
                given.work();
            }
            catch (...)
            {
                given.failure = std::current_exception();
            }
            return nullptr;
        },
        &made);
    pthread_attr_destroy(&attributes);
    CPPUNIT_ASSERT_EQUAL(0, refused);
    pthread_join(thread, nullptr);
    if (made.failure)
    {
        std::rethrow_exception(made.failure);
    }
}

// Guards against a successor that is busy for long, or gets the state of the
// groups wrong, when it takes over a job of many dependent groups.
class takeover_of_many_groups_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(takeover_of_many_groups_test);
    CPPUNIT_TEST(run_shows_which_groups_are_done);
    CPPUNIT_TEST(end_shows_which_groups_are_done);
    CPPUNIT_TEST(active_task_of_an_earlier_group_ends_first);
    CPPUNIT_TEST(failed_task_of_an_earlier_group_is_not_repeated);
    CPPUNIT_TEST(group_that_is_listed_twice_is_awaited_once);
    CPPUNIT_TEST(group_without_tasks_is_not_awaited);
    CPPUNIT_TEST(run_in_a_full_graph_is_adopted_soon);
    CPPUNIT_TEST(ends_in_rising_order_are_adopted_soon);
    CPPUNIT_TEST(ends_in_falling_order_are_adopted_soon);
    CPPUNIT_TEST(ends_known_before_the_job_are_adopted_soon);
    CPPUNIT_TEST(long_chain_needs_no_deep_stack);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a start of a group that is done, and against waiting of
    // one that is independent of the run.
    void run_shows_which_groups_are_done()
    {
        take_over(make_two_branches());
        answer({make_run(3)});
        check_adopted_runs({make_run(3)});
        check_starts({make_run(4)});
        answer({}, make_ends({make_run(3), make_run(4)}));
        check_completed();
    }

    // Guards against the same for a run that ended without an owner.
    void end_shows_which_groups_are_done()
    {
        take_over(make_two_branches());
        answer({}, make_ends({make_run(3)}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_events("end_adopted"));
        check_starts({make_run(4)});
        answer({make_run(4)});
        answer({}, {{2, make_run(4), run_end::done}});
        check_completed();
    }

    // Guards against an early end of a task that still runs, and against a
    // second start of the later group that has been waiting for it.
    void active_task_of_an_earlier_group_ends_first()
    {
        take_over_with_active_earlier_task();
        answer({make_run(1)}, make_ends({make_run(0, 1)}));
        check_adopted_runs({make_run(0, 1), make_run(1)});
        check_starts({});
        answer({}, {{2, make_run(1), run_end::done}});
        check_starts({make_run(2)});
    }

    // Guards against a start of an earlier group beside the run that shows it
    // to be done.
    void failed_task_of_an_earlier_group_is_not_repeated()
    {
        take_over_with_active_earlier_task();
        answer({make_run(1)}, make_ends({make_run(0, 1)}, run_end::failed));
        check_adopted_runs({make_run(0, 1), make_run(1)});
        check_starts({});
        answer({}, {{2, make_run(1), run_end::done}});
        check_starts({make_run(2)});
    }

    // Guards against a group that waits for ever, or starts early, if a client
    // names a group in `after` more than once.
    void group_that_is_listed_twice_is_awaited_once()
    {
        auto job = make_job(2);
        add_group(job, {0, 0});
        own();
        owner_.offer(job, false);
        check_starts({make_run(0, 0), make_run(0, 1)});
        answer({make_run(0, 1)}, make_ends({make_run(0, 0)}));
        check_starts({make_run(0, 0), make_run(0, 1)});
        answer({}, {{2, make_run(0, 1), run_end::done}});
        check_starts(
            {make_run(0, 0), make_run(0, 1), make_run(1, 0), make_run(1, 1)});
    }

    // Guards against a job that never ends because a group has no task to end.
    void group_without_tasks_is_not_awaited()
    {
        auto job = make_job();
        add_group(job, {0});
        add_group(job, {1});
        job.groups[1].task_count = 0;
        own();
        owner_.offer(job, false);
        check_starts({make_run(0), make_run(2)});
        answer({}, make_ends({make_run(0), make_run(2)}));
        check_completed();
    }

    // Guards against a takeover whose work doubles with each group.
    void run_in_a_full_graph_is_adopted_soon()
    {
        auto const last = make_run(full_graph_groups - 1);
        take_over(make_full_graph(full_graph_groups));
        check_answered_soon({last}, {});
        check_adopted_runs({last});
        check_starts({});
        answer({}, make_ends({last}));
        check_completed();
    }

    // Guards against work on all known ends, and all groups, for each end.
    void ends_in_rising_order_are_adopted_soon()
    {
        take_over(make_chain(ended_groups));
        check_answered_soon({}, make_ends(runs_of_chain(ended_groups)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{ended_groups},
                             count_events("end_adopted"));
        check_completed();
    }

    // Guards against the same for ends of which the first shows all others.
    void ends_in_falling_order_are_adopted_soon()
    {
        auto const last = make_run(ended_groups);
        auto runs = runs_of_chain(ended_groups);
        std::ranges::reverse(runs);
        take_over(make_chain(ended_groups + 1));
        check_answered_soon({}, make_ends(runs));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_events("end_adopted"));
        check_starts({last});
        answer({last});
        answer({}, {{ended_groups + 1, last, run_end::done}});
        check_completed();
    }

    // Guards against the same when the job is offered after its ends are known.
    void ends_known_before_the_job_are_adopted_soon()
    {
        own();
        answer({}, make_ends(runs_of_chain(groups_with_known_ends)));
        double const used_s = processor_time_s(
            [this]
            {
                owner_.offer(make_chain(groups_with_known_ends), true);
            });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(used_s) + " s",
                               used_s < longest_answer_s);
        check_completed();
    }

    // Guards against a recursion as deep as the job has groups.
    void long_chain_needs_no_deep_stack()
    {
        auto const last = make_run(chain_groups - 1);
        call_with_small_stack(
            [this, last]
            {
                take_over(make_chain(chain_groups));
                check_answered_soon({last}, {});
                check_adopted_runs({last});
                check_starts({});
                answer({}, make_ends({last}));
                check_completed();
            });
    }

private:
    /// Owns one claimed executor.
    void own()
    {
        owner_.list(host, incarnation);
        owner_.take_over(1);
        owner_.claim_all(incarnation);
    }

    /// Takes over a job whose executor has not been claimed.
    void take_over(leased_job const& job)
    {
        owner_.list(host, incarnation);
        owner_.take_over(1);
        owner_.offer(job, true);
    }

    /// Group 3 comes after 1 and 2, which come after 0, as 4 does.
    static leased_job make_two_branches()
    {
        auto job = make_job();
        add_group(job, {0});
        add_group(job, {0});
        add_group(job, {1, 2});
        add_group(job, {0});
        return job;
    }

    /// Takes over a chain of groups of two, one and one tasks. A task of the
    /// first group runs beside the task of the second group.
    void take_over_with_active_earlier_task()
    {
        auto job = make_job(2);
        add_group(job, {0});
        add_group(job, {1});
        job.groups[1].task_count = 1;
        job.groups[2].task_count = 1;
        take_over(job);
        answer({make_run(0, 1), make_run(1)});
        check_adopted_runs({make_run(0, 1)});
        check_starts({});
    }

    static std::vector<task_run> runs_of_chain(std::uint16_t groups)
    {
        std::vector<task_run> runs;
        for (std::uint16_t i = 0; i < groups; ++i)
        {
            runs.push_back(make_run(i));
        }
        return runs;
    }

    /// Answers the last poll and lets the scheduler place waiting tasks.
    void answer(std::vector<task_run> const& running,
                std::vector<finished_run> const& finished = {})
    {
        std::vector<listed_run> listed;
        listed.reserve(running.size());
        for (auto const& run : running)
        {
            listed.push_back({run});
        }
        owner_.answer_poll(host, owner_.polls.at(host).order, incarnation,
                           listed, finished);
        owner_.wait(20);
    }

    void check_answered_soon(std::vector<task_run> const& running,
                             std::vector<finished_run> const& finished)
    {
        double const used_s = processor_time_s(
            [&]
            {
                answer(running, finished);
            });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(used_s) + " s",
                               used_s < longest_answer_s);
    }

    [[nodiscard]] std::size_t count_events(std::string_view name) const
    {
        return static_cast<std::size_t>(std::ranges::count(
            owner_.events, name, &scheduler_log_event::event));
    }

    void check_adopted_runs(std::vector<task_run> const& expected) const
    {
        std::vector<task_run> adopted;
        for (auto const& log_event : owner_.events)
        {
            if (log_event.event == "run_adopted")
            {
                adopted.push_back(log_event.run.value());
            }
        }
        CPPUNIT_ASSERT(adopted == expected);
    }

    void check_starts(std::vector<task_run> const& expected) const
    {
        std::vector<task_run> started;
        for (auto const& order : owner_.starts)
        {
            started.push_back(order.run);
        }
        CPPUNIT_ASSERT(started == expected);
    }

    void check_completed() const
    {
        auto const ended = std::ranges::find(owner_.events, "job_ended",
                                             &scheduler_log_event::event);
        CPPUNIT_ASSERT(ended != owner_.events.end());
        CPPUNIT_ASSERT(ended->reason == "completed");
    }

    scripted_owner owner_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(takeover_of_many_groups_test,
                                      "takeover_of_many_groups");

} // namespace
