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

class late_poll_forgets_end_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(late_poll_forgets_end_test);
    CPPUNIT_TEST(end_is_not_acknowledged_by_a_poll_to_the_earlier_process);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a start of a task that is done: a poll that acknowledged
    // the ends of the earlier process was carried out late by the new process,
    // which forgot an end that the owner had not seen.
    void end_is_not_acknowledged_by_a_poll_to_the_earlier_process()
    {
        executor_fleet fleet{1};
        fleet_owner owner{fleet};
        executor_id const first{1};
        owner.start(1);
        owner.submit(1, 2, milliseconds{40});
        fleet.run_for(milliseconds{200});
        // The poll that accompanies this start acknowledges two ends.
        fleet.behaviour(first).poll_delay = milliseconds{2500};
        owner.submit(2, 1, milliseconds{40});
        fleet.behaviour(first) = {};
        fleet.run_for(milliseconds{900});
        fleet.restart(first);
        owner.list(first);
        fleet.run_for(milliseconds{1450});

        auto const job = make_job(3, milliseconds{100});
        owner.submit(job, milliseconds{100});
        fleet.run_for(milliseconds{50});
        fleet.behaviour(first).unreachable = true;
        fleet.run_for(milliseconds{150});
        fleet.behaviour(first) = {};
        fleet.run_for(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.starts(job.id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts_after_end);
    }

private:
    static leased_job make_job(std::uint64_t id, duration work)
    {
        return tests::make_patient_job(id, work, milliseconds{19'500});
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(late_poll_forgets_end_test,
                                      "late_poll_forgets_end");

} // namespace
