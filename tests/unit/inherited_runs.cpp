#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::executor_fleet;
using tests::fleet_owner;

constexpr client_job_id job_id{1};
constexpr std::uint64_t first_token = 1;
constexpr std::uint64_t second_token = 2;

// Guards against a second start of tasks whose runs an earlier owner of the
// executors started.
class inherited_runs_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(inherited_runs_test);
    CPPUNIT_TEST(run_of_a_later_group_is_not_started_beside_itself);
    CPPUNIT_TEST(run_that_ended_without_an_owner_is_not_repeated);
    CPPUNIT_TEST(run_that_ended_before_its_job_came_is_not_repeated);
    CPPUNIT_TEST(failed_run_of_a_lost_owner_is_repeated);
    CPPUNIT_TEST(acknowledged_run_may_be_repeated_but_not_at_the_same_time);
    CPPUNIT_TEST(known_job_that_is_resumed_waits_for_the_claims);
    CPPUNIT_TEST(late_list_of_executors_hides_no_run_of_a_living_owner);
    CPPUNIT_TEST(job_that_did_not_move_is_not_delayed);
    CPPUNIT_TEST(unclaimed_run_is_not_kept_alive);
    CPPUNIT_TEST(unclaimed_run_ends_in_time_after_a_silent_owner);
    CPPUNIT_TEST_SUITE_END();

public:
    void run_of_a_later_group_is_not_started_beside_itself()
    {
        auto job = tests::make_leased_job(job_id.value(), 1, milliseconds{50});
        job.groups.push_back(job.groups.front());
        job.groups.back().after = {0};
        fleet_.set_work(leased_task{job_id, 0, 0}, milliseconds{50});
        fleet_.set_work(leased_task{job_id, 1, 0}, milliseconds{400});
        first_.start(first_token);
        first_.offer(job);
        fleet_.run_for(milliseconds{120});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet_.starts(job_id));
        replace_owner();
        second_.offer(job, true);
        fleet_.run_for(milliseconds{1500});
        check_completed(2);
    }

    void run_that_ended_without_an_owner_is_not_repeated()
    {
        auto const job = start_job(milliseconds{200});
        first_.kill();
        fleet_.run_for(milliseconds{200});
        second_.list_all();
        second_.take_over(second_token, true);
        second_.offer(job, true);
        fleet_.run_for(milliseconds{1000});
        check_completed(2);
    }

    void run_that_ended_before_its_job_came_is_not_repeated()
    {
        auto const job = start_job(milliseconds{200});
        replace_owner();
        fleet_.run_for(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet_.running(job_id));
        second_.offer(job, true);
        fleet_.run_for(milliseconds{1000});
        check_completed(2);
    }

    void failed_run_of_a_lost_owner_is_repeated()
    {
        for (auto const id : fleet_.ids())
        {
            fleet_.behaviour(id).fails_tasks = true;
        }
        auto const job = start_job(milliseconds{200});
        first_.kill();
        fleet_.run_for(milliseconds{200});
        for (auto const id : fleet_.ids())
        {
            fleet_.behaviour(id).fails_tasks = false;
        }
        second_.list_all();
        second_.take_over(second_token, true);
        second_.offer(job, true);
        fleet_.run_for(milliseconds{1000});
        check_completed(4);
    }

    // An executor forgets the ends that its owner has acknowledged. A job whose
    // caller waits may run again from the start, but no task twice at a time.
    void acknowledged_run_may_be_repeated_but_not_at_the_same_time()
    {
        fleet_.set_work(leased_task{job_id, 0, 0}, milliseconds{50});
        fleet_.set_work(leased_task{job_id, 0, 1}, milliseconds{400});
        auto const job =
            tests::make_leased_job(job_id.value(), 2, milliseconds{200});
        first_.start(first_token);
        first_.offer(job);
        fleet_.run_for(milliseconds{150});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_.running(job_id));
        replace_owner();
        second_.offer(job, true);
        fleet_.run_for(milliseconds{1000});
        check_completed(3);
    }

    // Guards against runs beside those of a resubmission: a restarted process
    // claimed the executors just before their leases ended and renewed them,
    // and was killed before it stopped the runs.
    void unclaimed_run_is_not_kept_alive()
    {
        start_long_run();
        first_.kill();
        fleet_.run_for(milliseconds{800});
        second_.list_all();
        second_.take_over(second_token, false);
        fleet_.run_for(milliseconds{140});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_.running(job_id));
        second_.kill();
        fleet_.run_for(milliseconds{1300 - 800 - 140});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet_.running(job_id));
    }

    // Guards against the same with the successor of a paused owner.
    void unclaimed_run_ends_in_time_after_a_silent_owner()
    {
        start_long_run();
        first_.kill();
        second_.scheduler.origin_heard(instance_id{1}, fleet_.now());
        fleet_.run_for(milliseconds{550});
        second_.list_all();
        second_.take_over(second_token, true);
        fleet_.run_for(milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_.running(job_id));
        second_.kill();
        fleet_.run_for(milliseconds{1300 - 550 - 300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet_.running(job_id));
    }

    // Guards against a second run of a task whose run is on an executor that
    // the successor has not claimed yet, when a resubmission of the job arrives
    // before the offer that names it as resumed.
    void known_job_that_is_resumed_waits_for_the_claims()
    {
        auto const job = start_job(milliseconds{900});
        first_.kill();
        second_.list_all();
        for (auto const id : fleet_.ids())
        {
            fleet_.behaviour(id).unreachable = true;
        }
        second_.take_over(second_token, true);
        second_.offer(job, false, instance_id{2});
        second_.offer(job, true, instance_id{1});
        for (auto const id : fleet_.ids())
        {
            fleet_.behaviour(id).unreachable = fleet_.running(job_id, id) != 0;
        }
        fleet_.run_for(milliseconds{1800});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet_.duplicate_runs);
    }

    // Guards against an owner that takes all runs for known or expired some
    // time after its claim, although it learns of executors later and an
    // earlier owner renews the leases there.
    void late_list_of_executors_hides_no_run_of_a_living_owner()
    {
        first_.start(first_token);
        second_.take_over(second_token, false);
        fleet_.run_for(milliseconds{2000});
        auto const job = first_.submit(job_id.value(), 2, milliseconds{600});
        fleet_.run_for(milliseconds{50});
        second_.offer(job, true);
        for (auto const id : fleet_.ids())
        {
            if (fleet_.running(job_id, id) == 0)
            {
                second_.list(id);
            }
        }
        fleet_.run_for(milliseconds{150});
        second_.list_all();
        fleet_.run_for(milliseconds{1000});
        check_completed(2);
    }

    // Guards against a delay of all jobs of an instance that has only connected
    // again to an owner which claimed without a roster.
    void job_that_did_not_move_is_not_delayed()
    {
        first_.list_all();
        first_.take_over(first_token, false);
        fleet_.run_for(milliseconds{150});
        auto const job =
            tests::make_leased_job(job_id.value(), 2, milliseconds{200});
        fleet_.set_work(job_id, milliseconds{200});
        std::vector<scheduler_action> out;
        first_.scheduler.offer(instance_id{1}, {job, {}, true, true},
                               fleet_.now(), out);
        first_.apply(out);
        fleet_.run_for(milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet_.running(job_id));
    }

private:
    /// Starts a job of two tasks and runs it for 100 ms.
    leased_job start_job(duration work)
    {
        first_.start(first_token);
        auto job = first_.submit(job_id.value(), 2, work);
        fleet_.run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet_.running(job_id));
        return job;
    }

    void start_long_run()
    {
        first_.start(first_token);
        first_.submit(tests::make_patient_job(job_id.value(),
                                              milliseconds{4000},
                                              milliseconds{6000}),
                      milliseconds{4000});
        fleet_.run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_.running(job_id));
    }

    void replace_owner()
    {
        first_.kill();
        second_.list_all();
        second_.take_over(second_token, true);
        fleet_.run_for(milliseconds{10});
    }

    void check_completed(std::size_t starts) const
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet_.duplicate_runs);
        CPPUNIT_ASSERT_EQUAL(starts, fleet_.starts(job_id));
        CPPUNIT_ASSERT(second_.verdicts.contains(job_id));
        CPPUNIT_ASSERT(second_.verdicts.at(job_id).outcome ==
                       job_outcome::completed);
    }

    executor_fleet fleet_{4};
    fleet_owner first_{fleet_};
    fleet_owner second_{fleet_};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(inherited_runs_test, "inherited_runs");

} // namespace
