#include "support/mixed_load.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::executor_fleet;
using tests::fleet_owner;
using tests::limits_with;
using tests::make_job;
using tests::replay_mixed_load;
using namespace tests::mixed_load_figures;

/// Executors with one run each that leaves too little for a large task: on "a"
/// it ends after 150 ms, on "b" after 350 ms.
class occupied_fleet
{
public:
    explicit occupied_fleet(std::uint32_t reservations)
        : limits_(limits_with(reservations))
    {
        for (auto const id : fleet.ids())
        {
            fleet.set_capacity(id, capacity);
            fleet.describe(id, "desk", {id == first ? "a" : "b"});
        }
        owners_.push_back(std::make_unique<fleet_owner>(fleet, limits_));
        owner().start();
        occupy(1, "a", milliseconds{150});
        occupy(2, "b", milliseconds{350});
        fleet.run_for(milliseconds{20});
    }

    [[nodiscard]] fleet_owner& owner()
    {
        return *owners_.back();
    }

    /// Submits a job of one task.
    client_job_id submit(std::uint64_t id, resource_amounts const& amounts,
                         milliseconds work, milliseconds objective,
                         std::string label = {})
    {
        auto job = make_job(id, 1, amounts, work);
        job.objective = objective;
        job.groups.front().required_label = std::move(label);
        submit(job, work);
        return job.id;
    }

    /// Kills the owner. Its successor claims the executors and gets the jobs
    /// again.
    void replace_owner()
    {
        owner().kill();
        owners_.push_back(std::make_unique<fleet_owner>(fleet, limits_));
        owner().list_all();
        owner().take_over(2, true);
        for (auto const& sent : sent_)
        {
            owner().offer(sent.job, true, instance_id{1},
                          fleet.now() - sent.at);
        }
    }

    [[nodiscard]] bool is_completed(client_job_id job)
    {
        auto const found = owner().verdicts.find(job);
        return found != owner().verdicts.end() &&
               found->second.outcome == job_outcome::completed;
    }

    static constexpr executor_id first{1};
    static constexpr executor_id second{2};
    executor_fleet fleet{2};

private:
    struct sent_job
    {
        leased_job job;
        time_point at{};
    };

    void submit(leased_job const& job, duration work)
    {
        fleet.set_millicores(job.id,
                             job.groups.front().each_task.cpu_millicores);
        sent_.push_back({job, fleet.now()});
        owner().submit(job, work);
    }

    void occupy(std::uint64_t id, std::string label, milliseconds work)
    {
        auto job = make_job(id, 1, small_task, work);
        job.groups.front().required_label = std::move(label);
        submit(job, work);
    }

    scheduler_limits limits_;
    std::vector<std::unique_ptr<fleet_owner>> owners_;
    std::vector<sent_job> sent_;
};

// Guards against small tasks that fill each gap before it is large enough for a
// large task, and against reservations that outlast their cause.
class backfill_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(backfill_test);
    CPPUNIT_TEST(large_jobs_wait_less);
    CPPUNIT_TEST(small_tasks_are_backfilled);
    CPPUNIT_TEST(lost_executor_releases_its_reservation);
    CPPUNIT_TEST(successor_reserves_again);
    CPPUNIT_TEST(no_unusable_remainder_is_left);
    CPPUNIT_TEST(unreserved_executor_is_preferred);
    CPPUNIT_TEST_SUITE_END();

public:
    // The objective allows a large job to wait 0.6 run times plus 60 ms; the
    // mean must not use more than half of it. Fails without reservations.
    void large_jobs_wait_less()
    {
        auto const without = replay_mixed_load(0);
        auto const with = replay_mixed_load(8);
        constexpr double allowed_ms = 0.6 * large_work.count() + 60;
        CPPUNIT_ASSERT(without.large.mean_wait_ms() > allowed_ms / 2);
        CPPUNIT_ASSERT(with.large.mean_wait_ms() < allowed_ms / 2);
        CPPUNIT_ASSERT(with.large.on_time_share() >
                       without.large.on_time_share());

        // A reservation keeps an executor from small tasks for at most the
        // longest run of a small task on it. So a small task meets such an
        // executor with the probability below, and waits that time longer.
        constexpr double hold_ms =
            small_work.count() * slowest * largest_overrun;
        constexpr double held_share =
            large_jobs_per_second * hold_ms / 1000.0 / executor_count;
        CPPUNIT_ASSERT(with.small.mean_wait_ms() <
                       without.small.mean_wait_ms() + hold_ms * held_share);
        CPPUNIT_ASSERT(with.small.on_time_share() >
                       without.small.on_time_share() - held_share);
    }

    // All small jobs come after the large one in the serving order. A task of
    // 60 ms ends before the reservation on the first executor, one of 400 ms
    // would delay it. Fails without reservations.
    void small_tasks_are_backfilled()
    {
        occupied_fleet site{1};
        auto& fleet = site.fleet;
        auto const large =
            site.submit(10, large_task, milliseconds{200}, milliseconds{600});
        auto const longer =
            site.submit(11, small_task, milliseconds{400}, milliseconds{1200});
        auto const last =
            site.submit(12, small_task, milliseconds{400}, milliseconds{1300});
        auto const shorter =
            site.submit(13, small_task, milliseconds{60}, milliseconds{1200});
        fleet.run_for(milliseconds{10});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             fleet.running(shorter, site.first));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             fleet.running(longer, site.second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.running(last));
        fleet.run_for(milliseconds{150});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(large, site.first));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.running(last));
        fleet.run_for(milliseconds{900});
        for (auto const job : {large, longer, last, shorter})
        {
            CPPUNIT_ASSERT(site.is_completed(job));
        }
    }

    // The first executor, which has the reservation, is lost. The large task
    // then has to start on the second one as soon as its run has ended,
    // although small tasks wait that could start there earlier.
    void lost_executor_releases_its_reservation()
    {
        occupied_fleet site{1};
        auto& fleet = site.fleet;
        auto const large =
            site.submit(10, large_task, milliseconds{200}, milliseconds{1200});
        fleet.run_for(milliseconds{60});
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            site.owner().scheduler.load(fleet.now()).reservations);
        fleet.crash(site.first);
        fleet.run_for(milliseconds{200});
        auto const small = site.submit(11, small_task, milliseconds{300},
                                       milliseconds{1400}, "b");
        fleet.run_for(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.running(small));
        fleet.run_for(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(large, site.second));
        fleet.run_for(milliseconds{700});
        CPPUNIT_ASSERT(site.is_completed(large));
        CPPUNIT_ASSERT(site.is_completed(small));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0},
            site.owner().scheduler.load(fleet.now()).reservations);
    }

    // The successor has no reservation of its predecessor. It reserves again
    // from the run lists of the executors.
    void successor_reserves_again()
    {
        occupied_fleet site{1};
        auto& fleet = site.fleet;
        auto const large =
            site.submit(10, large_task, milliseconds{200}, milliseconds{900});
        fleet.run_for(milliseconds{30});
        site.replace_owner();
        fleet.run_for(milliseconds{30});
        auto const longer =
            site.submit(11, small_task, milliseconds{400}, milliseconds{1200});
        auto const last =
            site.submit(12, small_task, milliseconds{400}, milliseconds{1300});
        fleet.run_for(milliseconds{10});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             fleet.running(longer, site.second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.running(last));
        fleet.run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(large, site.first));
        fleet.run_for(milliseconds{900});
        for (auto const job : {large, longer, last})
        {
            CPPUNIT_ASSERT(site.is_completed(job));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

    // A task of 6 cores beside one of 6 leaves 4 of 16 cores, which no waiting
    // task can use; on 12 free cores it leaves enough for another of 6.
    void no_unusable_remainder_is_left()
    {
        std::array const candidates = {make_candidate(1, 10'000),
                                       make_candidate(2, 12'000),
                                       make_candidate(3, 16'000)};
        auto request = make_request();
        CPPUNIT_ASSERT(chosen(candidates, request) == executor_id{1});
        request.smallest_waiting_millicores = 6'000;
        CPPUNIT_ASSERT(chosen(candidates, request) == executor_id{2});
        request.smallest_waiting_millicores = 11'000;
        CPPUNIT_ASSERT(chosen(candidates, request) == executor_id{1});
    }

    // Guards against a start that delays a reservation although another
    // executor serves the task as well.
    void unreserved_executor_is_preferred()
    {
        std::array candidates = {make_candidate(1, 10'000),
                                 make_candidate(2, 12'000)};
        candidates.front().delays_reservation = true;
        CPPUNIT_ASSERT(chosen(candidates, make_request()) == executor_id{2});
        candidates.back().slowdown = 10.0;
        CPPUNIT_ASSERT(chosen(candidates, make_request()) == executor_id{1});
    }

private:
    static placement_candidate make_candidate(std::uint32_t id,
                                              std::uint32_t free_millicores)
    {
        placement_candidate candidate;
        candidate.executor = executor_id{id};
        candidate.free = {free_millicores, 4096, 0};
        return candidate;
    }

    static placement_request make_request()
    {
        placement_request request;
        request.demand = small_task;
        request.estimate = small_work;
        request.to_objective = milliseconds{250};
        request.to_limit = time_limit;
        return request;
    }

    static executor_id chosen(std::span<placement_candidate const> candidates,
                              placement_request const& request)
    {
        return choose_executor(candidates, request)->executor;
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(backfill_test, "backfill");

} // namespace
