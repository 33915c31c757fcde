#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::executor_fleet;
using tests::fleet_owner;

/// Owners of one fleet that follow each other; all executors are listed at
/// each.
class succession
{
public:
    explicit succession(std::size_t executors)
        : fleet(executors)
    {
        fleet.on_restarted = [this](executor_id id)
        {
            owners.back()->list(id);
        };
        send_heartbeats();
    }

    void submit(leased_job const& job, duration work)
    {
        if (owners.empty())
        {
            replace_owner();
        }
        jobs_.push_back({job, fleet.now()});
        owners.back()->submit(job, work);
    }

    /// @brief Kills the owner; its successor takes over and is offered the open
    /// jobs again.
    void replace_owner()
    {
        if (!owners.empty())
        {
            owners.back()->kill();
            is_owner_lost_ = true;
            fleet.run_for(milliseconds{300});
        }
        owners.push_back(std::move(successor_));
        successor_ = std::make_unique<fleet_owner>(fleet);
        is_owner_lost_ = false;
        owners.back()->list_all();
        owners.back()->take_over(owners.size(), true);
        for (auto const& [job, submitted_at] : jobs_)
        {
            if (!has_verdict(job.id))
            {
                owners.back()->offer(job, true, instance_id{1},
                                     fleet.now() - submitted_at);
            }
        }
    }

    [[nodiscard]] bool has_verdict(client_job_id job) const
    {
        return std::ranges::any_of(owners,
                                   [job](auto const& owner)
                                   {
                                       return owner->verdicts.contains(job);
                                   });
    }

    executor_fleet fleet;
    std::vector<std::unique_ptr<fleet_owner>> owners;

private:
    /// The owner sends the crashes that it has counted to its successor.
    void send_heartbeats()
    {
        if (!owners.empty() && !is_owner_lost_)
        {
            successor_->adopt_crashes(*owners.back());
        }
        fleet.schedule(milliseconds{100},
                       [this]
                       {
                           send_heartbeats();
                       });
    }

    struct submitted_job
    {
        leased_job job;
        time_point submitted_at{};
    };

    std::vector<submitted_job> jobs_;
    std::unique_ptr<fleet_owner> successor_ =
        std::make_unique<fleet_owner>(fleet);
    bool is_owner_lost_ = false;
};

class crash_counts_at_successor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_counts_at_successor_test);
    CPPUNIT_TEST(task_is_started_twice_at_most_after_three_crashes);
    CPPUNIT_TEST(random_handovers_and_crashes_keep_the_bound);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a successor that starts counting the crashes under a task
    // anew.
    void task_is_started_twice_at_most_after_three_crashes()
    {
        for (int const lifetime_ms : {150, 600, 1500, 2500, 4000})
        {
            leased_task const task{client_job_id{1}, 0, 0};
            succession test{12};
            test.fleet.set_crashing(task);
            auto job = tests::make_leased_job(1, 1, milliseconds{60});
            job.objective = seconds{40};
            job.time_limit = seconds{60};
            test.submit(job, milliseconds{60});
            for (int handover = 0; handover < 8; ++handover)
            {
                test.fleet.run_for(milliseconds{lifetime_ms});
                test.replace_owner();
            }
            test.fleet.run_for(seconds{20});
            auto const label =
                "owners live " + std::to_string(lifetime_ms) + " ms";
            CPPUNIT_ASSERT_MESSAGE(
                label, test.fleet.most_starts_after_third_crash() <= 2);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::size_t{0},
                                         test.fleet.duplicate_runs);
        }
    }

    // Guards against combinations: owners that are killed at random moments
    // while tasks crash executors, beside tasks that do not.
    void random_handovers_and_crashes_keep_the_bound()
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed)
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
        succession test{10};
        for (std::uint64_t id = 1; id <= 50; ++id)
        {
            auto const tasks = static_cast<std::uint16_t>(1 + pick(4));
            auto const work = milliseconds{30 + pick(400)};
            auto job = tests::make_leased_job(id, tasks, work);
            job.objective = seconds{40};
            job.time_limit = seconds{60};
            if (pick(12) == 0)
            {
                test.fleet.set_crashing({job.id, 0, 0});
            }
            test.submit(job, work);
            test.fleet.run_for(milliseconds{20 + pick(150)});
            if (pick(8) == 0)
            {
                test.replace_owner();
            }
        }
        test.fleet.run_for(seconds{60});
        auto const label = "seed " + std::to_string(seed);
        CPPUNIT_ASSERT_MESSAGE(label,
                               test.fleet.most_starts_after_third_crash() <= 2);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::size_t{0},
                                     test.fleet.duplicate_runs);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(crash_counts_at_successor_test,
                                      "crash_counts_at_successor");

} // namespace
