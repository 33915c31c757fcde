#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::executor_fleet;
using tests::fleet_owner;

class job_scheduler_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_scheduler_faults_test);
    CPPUNIT_TEST(random_faults_cause_no_duplicate_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against combinations of faults that no other test covers: owners
    // that are killed, and executors that hang, fail, stop responding, slow
    // down or start runs late.
    void random_faults_cause_no_duplicate_run()
    {
        for (std::uint64_t seed = 1; seed <= 150; ++seed)
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
        executor_fleet fleet{4};
        std::vector<std::unique_ptr<fleet_owner>> owners;
        std::map<std::uint64_t, leased_job> open;
        std::uint64_t next_id = 1;
        std::uint64_t token = 0;
        for (int step = 0; step < 60; ++step)
        {
            if (owners.empty() || pick(15) == 0)
            {
                if (!owners.empty())
                {
                    owners.back()->kill();
                    fleet.run_for(milliseconds{pick(500)});
                }
                owners.push_back(std::make_unique<fleet_owner>(fleet));
                bool const roster_known = pick(2) == 0;
                for (auto const id : fleet.ids())
                {
                    if (roster_known || pick(2) == 0)
                    {
                        owners.back()->list(id);
                    }
                }
                owners.back()->take_over(++token, roster_known);
                for (auto const& [id, job] : open)
                {
                    owners.back()->offer(job, true);
                }
            }
            auto& owner = *owners.back();
            auto& behaviour = fleet.behaviour(
                executor_id{static_cast<std::uint32_t>(1 + pick(4))});
            behaviour = {};
            switch (pick(8))
            {
            case 0:
                behaviour.hangs = true;
                break;
            case 1:
                behaviour.unreachable = true;
                break;
            case 2:
                behaviour.start_delay = milliseconds{200 + pick(2800)};
                break;
            case 3:
                behaviour.fails_tasks = true;
                break;
            case 4:
                behaviour.slowdown = 5.0;
                break;
            default:
                break;
            }
            auto const id = next_id++;
            open[id] = owner.submit(id, static_cast<std::uint16_t>(1 + pick(4)),
                                    milliseconds{30 + pick(600)});
            fleet.run_for(milliseconds{20 + pick(80)});
            for (auto const& [ended, verdict] : owner.verdicts)
            {
                open.erase(ended.value());
            }
        }
        fleet.run_for(milliseconds{3000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                     std::size_t{0}, fleet.duplicate_runs);
        if (owners.size() == 1)
        {
            tests::check_rejections(fleet, *owners.front());
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(job_scheduler_faults_test,
                                      "job_scheduler_faults");

} // namespace
