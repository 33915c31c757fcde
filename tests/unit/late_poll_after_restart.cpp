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

class late_poll_after_restart_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_poll_after_restart_test);
    CPPUNIT_TEST(late_poll_does_not_outlast_the_counted_lease);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: a poll that was sent to the
    // earlier process renewed the lease of the new process, which was cut off,
    // after the owner had last counted it.
    void late_poll_does_not_outlast_the_counted_lease()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        executor_id const first{1};
        owner.list(first);
        owner.take_over(1, true);
        fleet.run_for(milliseconds{150});
        owner.submit(make_job(1, milliseconds{300}), milliseconds{300});
        fleet.run_for(milliseconds{10});
        // The polls for the progress of this run arrive 3.1 s late.
        fleet.behaviour(first).poll_delay = milliseconds{3100};
        fleet.run_for(milliseconds{350});
        fleet.behaviour(first) = {};
        fleet.run_for(milliseconds{600});
        fleet.restart(first);
        owner.list(first);
        fleet.run_for(milliseconds{300});

        auto const job = make_job(2, milliseconds{4000});
        owner.submit(job, milliseconds{4000});
        fleet.run_for(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(job.id, first));
        owner.list(executor_id{2});
        fleet.behaviour(first).unreachable = true;
        fleet.run_for(milliseconds{3000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.starts(job.id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

private:
    static leased_job make_job(std::uint64_t id, duration work)
    {
        return tests::make_patient_job(id, work, milliseconds{9500});
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_poll_after_restart_test,
                                      "late_poll_after_restart");

} // namespace
