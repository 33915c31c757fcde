#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>
#include <set>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::executor_fleet;
using tests::fleet_owner;

leased_task task_of(std::uint64_t job, std::uint16_t index = 0)
{
    return {client_job_id{job}, 0, index};
}

/// Job whose caller waits long enough for several executors to crash.
leased_job make_patient_job(std::uint64_t id, std::uint16_t tasks,
                            duration work)
{
    auto job = tests::make_leased_job(id, tasks, work);
    job.objective = seconds{40};
    job.time_limit = seconds{60};
    return job;
}

/// Owner that lists the new processes of crashed executors, as the store
/// reports them.
class crash_fixture
{
public:
    explicit crash_fixture(std::size_t executors)
        : fleet(executors)
        , owner(fleet)
    {
        owner.list_restarted();
        owner.start();
    }

    [[nodiscard]] bool has_outcome(std::uint64_t job, job_outcome outcome) const
    {
        auto const found = owner.verdicts.find(client_job_id{job});
        return found != owner.verdicts.end() &&
               found->second.outcome == outcome;
    }

    executor_fleet fleet;
    fleet_owner owner;
};

class crash_looping_task_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_looping_task_test);
    CPPUNIT_TEST(task_is_given_up_after_two_crashes);
    CPPUNIT_TEST(tasks_on_a_crashed_executor_are_done);
    CPPUNIT_TEST(task_of_a_silent_executor_is_not_given_up);
    CPPUNIT_TEST(random_crashes_end_no_other_job);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a task that crashes one executor after another.
    void task_is_given_up_after_two_crashes()
    {
        crash_fixture test{6};
        test.fleet.set_crashing(task_of(1));
        test.owner.submit(make_patient_job(1, 1, milliseconds{60}),
                          milliseconds{60});
        test.fleet.run_for(seconds{30});
        CPPUNIT_ASSERT(test.has_outcome(1, job_outcome::failed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.fleet.crashes(task_of(1)));
    }

    // Guards against innocent tasks that are given up, or that crash a second
    // time beside the task that causes the crashes.
    void tasks_on_a_crashed_executor_are_done()
    {
        crash_fixture test{4};
        test.owner.submit(make_patient_job(1, 4, milliseconds{800}),
                          milliseconds{800});
        test.fleet.run_for(milliseconds{20});
        test.fleet.set_crashing(task_of(2));
        test.owner.submit(make_patient_job(2, 1, milliseconds{60}),
                          milliseconds{60});
        test.owner.submit(make_patient_job(3, 4, milliseconds{300}),
                          milliseconds{300});
        test.fleet.run_for(seconds{30});
        CPPUNIT_ASSERT(test.has_outcome(1, job_outcome::completed));
        CPPUNIT_ASSERT(test.has_outcome(2, job_outcome::failed));
        CPPUNIT_ASSERT(test.has_outcome(3, job_outcome::completed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, test.fleet.crashes(task_of(2)));
    }

    // Guards against giving up the tasks of executors that were only cut off.
    void task_of_a_silent_executor_is_not_given_up()
    {
        crash_fixture test{6};
        test.owner.submit(make_patient_job(1, 1, milliseconds{900}),
                          milliseconds{900});
        for (int cut = 0; cut < 4; ++cut)
        {
            test.fleet.run_for(milliseconds{100});
            executor_id cut_off;
            for (auto const id : test.fleet.ids())
            {
                if (test.fleet.running(client_job_id{1}, id) > 0)
                {
                    cut_off = id;
                }
            }
            if (cut_off == executor_id{})
            {
                continue;
            }
            test.fleet.behaviour(cut_off).unreachable = true;
            test.fleet.run_for(milliseconds{1400});
            test.fleet.behaviour(cut_off).unreachable = false;
            test.fleet.run_for(milliseconds{200});
        }
        test.fleet.run_for(seconds{5});
        CPPUNIT_ASSERT(test.has_outcome(1, job_outcome::completed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, test.fleet.duplicate_runs);
    }

    // Guards against combinations: several crash-looping tasks in a loaded
    // failure domain, beside executors that crash by themselves.
    void random_crashes_end_no_other_job()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            run_seed(seed);
        }
    }

private:
    static void run_seed(std::uint64_t seed)
    {
        std::mt19937_64 random{seed};
        auto const pick = [&random](std::uint64_t below)
        {
            return random() % below;
        };
        crash_fixture test{10};
        std::set<std::uint64_t> crash_looping;
        constexpr std::uint64_t jobs = 60;
        for (std::uint64_t id = 1; id <= jobs; ++id)
        {
            auto const tasks = static_cast<std::uint16_t>(1 + pick(4));
            if (pick(15) == 0)
            {
                test.fleet.set_crashing(
                    task_of(id, static_cast<std::uint16_t>(pick(tasks))));
                crash_looping.insert(id);
            }
            auto const work = milliseconds{30 + pick(400)};
            test.owner.submit(make_patient_job(id, tasks, work), work);
            if (pick(30) == 0)
            {
                test.fleet.crash(
                    executor_id{static_cast<std::uint32_t>(1 + pick(10))});
            }
            test.fleet.run_for(milliseconds{20 + pick(150)});
        }
        test.fleet.run_for(seconds{60});
        auto const label = "seed " + std::to_string(seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::size_t{0},
                                     test.fleet.duplicate_runs);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            label, std::size_t{0}, test.fleet.most_starts_after_third_crash());
        for (std::uint64_t id = 1; id <= jobs; ++id)
        {
            auto const expected = crash_looping.contains(id)
                                      ? job_outcome::failed
                                      : job_outcome::completed;
            CPPUNIT_ASSERT_MESSAGE(label + " job " + std::to_string(id),
                                   test.has_outcome(id, expected));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(crash_looping_task_test,
                                      "crash_looping_task");

} // namespace
