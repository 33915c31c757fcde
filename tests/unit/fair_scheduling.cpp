#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::executor_fleet;
using tests::fleet_owner;
using tests::make_leased_job;

/// An executor has capacity for two tasks.
constexpr std::size_t executors = 8;

leased_job make_job(std::uint64_t id, std::string route, std::uint8_t priority,
                    std::uint16_t tasks, duration estimate)
{
    auto job = make_leased_job(id, tasks, estimate);
    job.route = std::move(route);
    job.origin_domain = domain_id{1};
    job.priority = priority;
    return job;
}

scheduler_limits with_shares()
{
    scheduler_limits limits;
    limits.fair_shares = true;
    return limits;
}

scheduler_limits with_preemption()
{
    auto limits = with_shares();
    limits.preemption = true;
    return limits;
}

/// A fleet whose callers offer jobs of two routes at constant rates. The owner
/// can be replaced; its successor receives the open jobs again.
class two_routes
{
public:
    two_routes()
        : owner_(std::make_unique<fleet_owner>(fleet, with_shares()))
    {
        owner_->start();
    }

    /// Offers jobs of one task; the period is the time between two of them.
    void run(duration length, duration busy_period, duration calm_period)
    {
        auto const end = fleet.now() + length;
        auto next_busy = fleet.now();
        auto next_calm = fleet.now() + milliseconds{3};
        while (fleet.now() < end)
        {
            if (busy_period > duration{} && fleet.now() >= next_busy)
            {
                submit("busy");
                next_busy += busy_period;
            }
            if (fleet.now() >= next_calm)
            {
                submit("calm");
                next_calm += calm_period;
            }
            fleet.run_for(milliseconds{1});
        }
    }

    void replace_owner()
    {
        owner_->kill();
        tests::check_rejections(fleet, *owner_);
        for (auto const& [id, verdict] : owner_->verdicts)
        {
            ended_.emplace(id, verdict.outcome);
        }
        fleet.run_for(milliseconds{100});
        auto successor = std::make_unique<fleet_owner>(fleet, with_shares());
        successor->list_all();
        successor->take_over(2, true);
        for (auto const& [job, offered_at] : offered_)
        {
            if (!ended_.contains(job.id))
            {
                successor->offer(job, true, instance_id{1},
                                 fleet.now() - offered_at);
            }
        }
        killed_.push_back(std::exchange(owner_, std::move(successor)));
    }

    void finish()
    {
        fleet.run_for(milliseconds{2000});
        tests::check_rejections(fleet, *owner_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts_over_capacity);
    }

    /// Returns the share of a route's jobs that completed.
    [[nodiscard]] double served(std::string const& route) const
    {
        double offered = 0;
        double completed = 0;
        for (auto const& [job, offered_at] : offered_)
        {
            if (job.route != route)
            {
                continue;
            }
            offered += 1;
            auto const verdict = owner_->verdicts.find(job.id);
            auto const earlier = ended_.find(job.id);
            bool const is_completed =
                (verdict != owner_->verdicts.end() &&
                 verdict->second.outcome == job_outcome::completed) ||
                (earlier != ended_.end() &&
                 earlier->second == job_outcome::completed);
            completed += is_completed ? 1 : 0;
        }
        return completed / offered;
    }

    /// Returns the part of the rejections that came on arrival.
    [[nodiscard]] double rejected_on_arrival() const
    {
        double on_arrival = 0;
        double rejected = 0;
        for (auto const& [job, offered_at] : offered_)
        {
            if (owner_->verdicts.at(job.id).outcome == job_outcome::rejected)
            {
                rejected += 1;
                on_arrival += owner_->ended_at.at(job.id) == offered_at ? 1 : 0;
            }
        }
        return on_arrival / rejected;
    }

    executor_fleet fleet{executors};

private:
    void submit(std::string const& route)
    {
        auto const job =
            make_job(offered_.size() + 1, route, 1, 1, milliseconds{100});
        offered_.emplace_back(job, fleet.now());
        owner_->submit(job, milliseconds{100});
    }

    std::unique_ptr<fleet_owner> owner_;
    /// Killed owners; events of the fleet still refer to them.
    std::vector<std::unique_ptr<fleet_owner>> killed_;
    std::vector<std::pair<leased_job, time_point>> offered_;
    std::map<client_job_id, job_outcome> ended_;
};

class fair_scheduling_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fair_scheduling_test);
    CPPUNIT_TEST(busy_route_leaves_the_other_its_share);
    CPPUNIT_TEST(successor_keeps_the_shares);
    CPPUNIT_TEST(urgent_jobs_are_served_in_a_burst);
    CPPUNIT_TEST(long_jobs_keep_fast_executors);
    CPPUNIT_TEST(route_over_its_share_is_rejected_on_arrival);
    CPPUNIT_TEST(classes_change_nothing_while_capacity_is_free);
    CPPUNIT_TEST(preempted_task_runs_again_in_time);
    CPPUNIT_TEST(nothing_is_preempted_by_default);
    CPPUNIT_TEST(lost_answer_to_a_preemption_makes_no_second_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a route at twice its share that takes capacity from one at
    // half of its own. An executor runs two tasks at a time.
    void busy_route_leaves_the_other_its_share()
    {
        two_routes alone;
        alone.run(milliseconds{8000}, {}, calm_period);
        alone.finish();
        two_routes both;
        both.run(milliseconds{8000}, busy_period, calm_period);
        both.finish();
        CPPUNIT_ASSERT(both.served("calm") >= alone.served("calm") - 0.02);
        CPPUNIT_ASSERT(both.served("busy") >= 0.65);
        // The other rejections follow when a job has missed its objective; the
        // admission assumes the best-case run time.
        CPPUNIT_ASSERT(both.rejected_on_arrival() >= 0.4);
    }

    // Guards against a successor that has no shares, or that gives a route an
    // advantage because the shares are lost with the owner.
    void successor_keeps_the_shares()
    {
        two_routes both;
        both.run(milliseconds{3000}, busy_period, calm_period);
        both.replace_owner();
        both.run(milliseconds{5000}, busy_period, calm_period);
        both.finish();
        // For up to 0.25 s after the loss, nothing starts.
        CPPUNIT_ASSERT(both.served("calm") >= 0.95);
    }

    // Guards against urgent jobs that wait behind a burst of large jobs that
    // were offered before.
    void urgent_jobs_are_served_in_a_burst()
    {
        executor_fleet fleet{executors};
        fleet_owner owner{fleet, with_shares()};
        owner.start();
        std::uint64_t large = 1000;
        std::vector<client_job_id> urgent;
        for (std::uint64_t step = 0; step < 200; ++step)
        {
            if (step % 2 == 0)
            {
                auto const job =
                    make_job(++large, "large", 2, 4, milliseconds{400});
                owner.submit(job, milliseconds{300 + 10 * (step % 21)});
            }
            if (step > 50 && step % 5 == 0)
            {
                auto job = make_job(step, "urgent", 0, 1, milliseconds{60});
                job.objective = milliseconds{300};
                owner.submit(job, milliseconds{60});
                urgent.push_back(job.id);
            }
            fleet.run_for(milliseconds{20});
        }
        fleet.run_for(milliseconds{2000});
        std::size_t completed = 0;
        for (auto const id : urgent)
        {
            completed +=
                owner.verdicts.at(id).outcome == job_outcome::completed ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(urgent.size(), completed);
        tests::check_rejections(fleet, owner);
    }

    // Guards against long jobs of a low class that are lost behind short ones,
    // which could run on the slow executors as well.
    void long_jobs_keep_fast_executors()
    {
        executor_fleet fleet{6};
        for (auto const id : fleet.ids())
        {
            fleet.behaviour(id).slowdown = id.value() <= 2 ? 0.8 : 1.25;
        }
        fleet_owner owner{fleet, with_shares()};
        owner.start();
        std::uint64_t id = 0;
        for (int i = 0; i < 40; ++i)
        {
            owner.submit(make_job(++id, "short", 0, 12, milliseconds{40}),
                         milliseconds{40});
            fleet.run_for(milliseconds{120});
        }
        std::vector<client_job_id> long_jobs;
        for (int i = 0; i < 500; ++i)
        {
            for (int repeated = 0; repeated < 2; ++repeated)
            {
                owner.submit(make_job(++id, "short", 0, 1, milliseconds{60}),
                             milliseconds{60});
            }
            if (i % 30 == 0)
            {
                auto const job =
                    make_job(++id, "long", 2, 1, milliseconds{750});
                owner.submit(job, milliseconds{750});
                long_jobs.push_back(job.id);
            }
            fleet.run_for(milliseconds{10});
        }
        fleet.run_for(milliseconds{2000});
        auto const served = std::ranges::count_if(
            long_jobs,
            [&owner](client_job_id job)
            {
                return owner.verdicts.at(job).outcome == job_outcome::completed;
            });
        CPPUNIT_ASSERT(static_cast<std::size_t>(served) == long_jobs.size());
    }

    // Guards against the rejection of a job whose route is under its share
    // because of the waiting jobs of another route.
    void route_over_its_share_is_rejected_on_arrival()
    {
        executor_fleet fleet{1};
        fleet_owner owner{fleet, with_shares()};
        owner.start();
        std::uint64_t id = 0;
        while (!owner.verdicts.contains(client_job_id{id}))
        {
            owner.submit(make_job(++id, "busy", 1, 1, milliseconds{100}),
                         milliseconds{100});
            CPPUNIT_ASSERT(id < 20);
        }
        CPPUNIT_ASSERT(owner.verdicts.at(client_job_id{id}).outcome ==
                       job_outcome::rejected);
        auto const calm = make_job(50, "calm", 1, 1, milliseconds{100});
        owner.submit(calm, milliseconds{100});
        CPPUNIT_ASSERT(!owner.verdicts.contains(calm.id));
        auto const urgent = make_job(51, "busy", 0, 1, milliseconds{100});
        owner.submit(urgent, milliseconds{100});
        CPPUNIT_ASSERT(!owner.verdicts.contains(urgent.id));
        owner.submit(make_job(52, "busy", 1, 1, milliseconds{100}),
                     milliseconds{100});
        CPPUNIT_ASSERT(owner.verdicts.at(client_job_id{52}).outcome ==
                       job_outcome::rejected);
        fleet.run_for(milliseconds{1000});
        for (auto const& job : {calm, urgent})
        {
            CPPUNIT_ASSERT(owner.verdicts.at(job.id).outcome ==
                           job_outcome::completed);
        }
        tests::check_rejections(fleet, owner);
    }

    // Guards against other placements of jobs that all find capacity.
    void classes_change_nothing_while_capacity_is_free()
    {
        auto const with_classes = starts_of_light_load(true);
        CPPUNIT_ASSERT(with_classes.size() > 100);
        CPPUNIT_ASSERT(with_classes == starts_of_light_load(false));
    }

    // Guards against urgent work that waits for long tasks, and against stopped
    // tasks that miss their deadlines.
    void preempted_task_runs_again_in_time()
    {
        executor_fleet fleet{1};
        fleet_owner owner{fleet, with_preemption()};
        preempt(fleet, owner);
        CPPUNIT_ASSERT(owner.verdicts.at(urgent_id).outcome ==
                       job_outcome::completed);
        CPPUNIT_ASSERT(owner.ended_at.at(urgent_id) - urgent_at_ <=
                       milliseconds{200});
        check_victims(fleet, owner, 3);
    }

    void nothing_is_preempted_by_default()
    {
        executor_fleet fleet{1};
        fleet_owner owner{fleet, with_shares()};
        preempt(fleet, owner);
        CPPUNIT_ASSERT(owner.verdicts.at(urgent_id).outcome ==
                       job_outcome::rejected);
        check_victims(fleet, owner, 2);
    }

    // Guards against a start on capacity that is not free, a second run of the
    // stopped task, and further stops, when the answer to the stop is lost.
    void lost_answer_to_a_preemption_makes_no_second_run()
    {
        executor_fleet fleet{1};
        fleet.behaviour(executor_id{1}).stop_delay = milliseconds{40};
        fleet_owner owner{fleet, with_preemption()};
        preempt(fleet, owner);
        check_victims(fleet, owner, 3);
    }

private:
    static constexpr client_job_id urgent_id{9};
    /// 16 tasks run at a time: a load of 8 tasks is the share of one route.
    static constexpr duration busy_period = std::chrono::microseconds{6250};
    static constexpr duration calm_period = milliseconds{25};

    /// Returns the starts of jobs that need half of the capacity.
    static std::vector<std::pair<task_run, executor_id>>
    starts_of_light_load(bool with_classes)
    {
        executor_fleet fleet{executors};
        fleet_owner owner{fleet, with_shares()};
        owner.start();
        for (std::uint64_t id = 1; id <= 100; ++id)
        {
            auto const priority = static_cast<std::uint8_t>(id % 3);
            auto const route = "route" + std::to_string(id % 4);
            auto const work = milliseconds{40 + 17 * (id % 5)};
            owner.submit(make_job(id, with_classes ? route : "",
                                  with_classes ? priority : std::uint8_t{0}, 2,
                                  work),
                         work);
            fleet.run_for(milliseconds{20});
        }
        std::vector<std::pair<task_run, executor_id>> starts;
        for (auto const& order : owner.start_orders)
        {
            starts.emplace_back(order.run, order.executor);
        }
        return starts;
    }

    /// Two long tasks have the executor when an urgent one arrives.
    void preempt(executor_fleet& fleet, fleet_owner& owner)
    {
        owner.start();
        for (std::uint64_t id = 1; id <= 2; ++id)
        {
            owner.submit(make_job(id, "large", 2, 1, milliseconds{400}),
                         milliseconds{400});
        }
        fleet.run_for(milliseconds{60});
        urgent_at_ = fleet.now();
        auto urgent = make_job(9, "urgent", 0, 1, milliseconds{60});
        urgent.objective = milliseconds{200};
        owner.submit(urgent, milliseconds{60});
        fleet.run_for(milliseconds{2000});
    }

    static void check_victims(executor_fleet const& fleet,
                              fleet_owner const& owner, std::size_t starts)
    {
        std::size_t all_starts = 0;
        for (std::uint64_t id = 1; id <= 2; ++id)
        {
            CPPUNIT_ASSERT(owner.verdicts.at(client_job_id{id}).outcome ==
                           job_outcome::completed);
            all_starts += fleet.starts(client_job_id{id});
        }
        CPPUNIT_ASSERT_EQUAL(starts, all_starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts_over_capacity);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.capacity_refusals);
    }

    time_point urgent_at_{};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(fair_scheduling_test, "fair_scheduling");

} // namespace
