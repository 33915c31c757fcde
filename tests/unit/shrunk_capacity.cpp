#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::executor_fleet;
using tests::fleet_owner;

constexpr resource_amounts full_capacity{64'000, 65'536, 0};
constexpr resource_amounts capacity_for_one_run{30'000, 65'536, 0};
constexpr resource_amounts no_capacity{0, 0, 0};

leased_job make_patient_job(std::uint64_t id, std::uint16_t tasks,
                            duration work)
{
    auto job = tests::make_leased_job(id, tasks, work);
    job.objective = seconds{20};
    job.time_limit = seconds{30};
    return job;
}

class shrunk_capacity_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shrunk_capacity_test);
    CPPUNIT_TEST(no_start_exceeds_a_listed_capacity);
    CPPUNIT_TEST(refusals_are_rare_until_the_capacity_is_listed);
    CPPUNIT_TEST(grown_capacity_is_used_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starts beyond a capacity that has shrunk below what runs,
    // on an executor that accepts every start.
    void no_start_exceeds_a_listed_capacity()
    {
        executor_fleet fleet{1};
        executor_id const executor{1};
        fleet.behaviour(executor).ignores_capacity = true;
        fleet_owner owner{fleet};
        owner.start();
        owner.submit(make_patient_job(1, 6, milliseconds{400}),
                     milliseconds{400});
        fleet.run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.running(client_job_id{1}));
        for (auto const& capacity :
             {capacity_for_one_run, no_capacity, capacity_for_one_run,
              full_capacity, capacity_for_one_run})
        {
            fleet.set_capacity(executor, capacity);
            owner.list(executor);
            fleet.run_for(milliseconds{550});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts_over_capacity);
    }

    // Guards against repeated starts on an executor that refuses them, as its
    // capacity has shrunk and the store does not show it yet.
    void refusals_are_rare_until_the_capacity_is_listed()
    {
        executor_fleet fleet{1};
        executor_id const executor{1};
        fleet_owner owner{fleet};
        owner.start();
        fleet.set_capacity(executor, capacity_for_one_run);
        owner.submit(make_patient_job(1, 3, seconds{2}), seconds{2});
        fleet.run_for(seconds{1});
        CPPUNIT_ASSERT(fleet.capacity_refusals <= 3);
        owner.list(executor);
        fleet.run_for(seconds{9});
        CPPUNIT_ASSERT(fleet.capacity_refusals <= 3);
        CPPUNIT_ASSERT(job_outcome::completed ==
                       owner.verdicts.at(client_job_id{1}).outcome);
    }

    // Guards against capacity that stays unused after it has grown, also right
    // after a refusal.
    void grown_capacity_is_used_at_once()
    {
        executor_fleet fleet{1};
        executor_id const executor{1};
        fleet_owner owner{fleet};
        owner.start();
        fleet.set_capacity(executor, capacity_for_one_run);
        owner.submit(make_patient_job(1, 3, seconds{2}), seconds{2});
        fleet.run_for(milliseconds{50});
        owner.list(executor);
        fleet.run_for(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(client_job_id{1}));
        fleet.set_capacity(executor, full_capacity);
        owner.list(executor);
        fleet.run_for(milliseconds{30});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.running(client_job_id{1}));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(shrunk_capacity_test, "shrunk_capacity");

} // namespace
