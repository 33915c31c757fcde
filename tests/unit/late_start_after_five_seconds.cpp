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

class late_start_after_five_seconds_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_start_after_five_seconds_test);
    CPPUNIT_TEST(start_of_the_earlier_process_is_stopped_eight_seconds_later);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: the owner forgot a start
    // without an answer 5 s after it was sent, did not repeat its stop after a
    // restart, and the new process carried out the start 8 s after it was sent.
    void start_of_the_earlier_process_is_stopped_eight_seconds_later()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        executor_id const first{1};
        owner.list(first);
        owner.take_over(1, true);
        fleet.run_for(milliseconds{150});
        auto const job = make_job(1, milliseconds{9000});
        fleet.behaviour(first).start_delay = milliseconds{8000};
        owner.submit(job, milliseconds{9000});
        fleet.behaviour(first).unreachable = true;
        fleet.run_for(milliseconds{200});
        fleet.behaviour(first) = {};
        owner.list(executor_id{2});
        fleet.run_for(milliseconds{5800});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             fleet.running(job.id, executor_id{2}));
        fleet.restart(first);
        owner.list(first);
        fleet.run_for(milliseconds{5000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

private:
    static leased_job make_job(std::uint64_t id, duration work)
    {
        return tests::make_patient_job(id, work, milliseconds{19'500});
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_start_after_five_seconds_test,
                                      "late_start_after_five_seconds");

} // namespace
