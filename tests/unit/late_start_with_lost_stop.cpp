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

class late_start_with_lost_stop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_start_with_lost_stop_test);
    CPPUNIT_TEST(start_is_not_carried_out_after_the_claim_of_the_new_process);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: the new process of a
    // restarted executor was claimed, the repeated stop of a start to its
    // earlier process was lost, and the new process carried out the start.
    void start_is_not_carried_out_after_the_claim_of_the_new_process()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        executor_id const first{1};
        owner.list(first);
        owner.take_over(1, true);
        fleet.run_for(milliseconds{150});
        auto const job = make_job(1, milliseconds{4000});
        fleet.behaviour(first).start_delay = milliseconds{2500};
        owner.submit(job, milliseconds{4000});
        fleet.behaviour(first) = {};
        fleet.run_for(milliseconds{170});
        owner.list(executor_id{2});
        fleet.run_for(milliseconds{2280});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             fleet.running(job.id, executor_id{2}));
        fleet.restart(first);
        fleet.behaviour(first).stop_delay = milliseconds{5000};
        owner.list(first);
        fleet.run_for(milliseconds{20});
        fleet.behaviour(first) = {};
        fleet.run_for(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

private:
    static leased_job make_job(std::uint64_t id, duration work)
    {
        return tests::make_patient_job(id, work, milliseconds{19'500});
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_start_with_lost_stop_test,
                                      "late_start_with_lost_stop");

} // namespace
