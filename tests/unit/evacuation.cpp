#include "goldcrestgate/core/leasing/evacuations.hpp"

#include "platform/configuration_codec.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::executor_fleet;
using tests::fleet_owner;

// Guards against tasks that start in a failure domain while it is being
// evacuated, and against work that is lost through the evacuation.
class evacuation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(running_tasks_end_and_no_task_starts);
    CPPUNIT_TEST(waiting_job_is_rejected_at_once);
    CPPUNIT_TEST(evacuation_outlives_a_change_of_the_owner);
    CPPUNIT_TEST(tasks_start_again_after_the_evacuation);
    CPPUNIT_TEST(earlier_state_is_not_adopted);
    CPPUNIT_TEST(record_of_the_operator_names_the_failure_domain);
    CPPUNIT_TEST_SUITE_END();

public:
    void running_tasks_end_and_no_task_starts()
    {
        executor_fleet fleet{3};
        fleet_owner owner{fleet};
        owner.start(1);
        owner.submit(7, 3, milliseconds{300});
        fleet.run_for(milliseconds{50});
        suspend(fleet, owner, true);
        owner.submit(8, 1, milliseconds{60});
        fleet.run_for(milliseconds{600});
        expect(owner, 7, job_outcome::completed);
        expect(owner, 8, job_outcome::rejected);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts(client_job_id{8}));
    }

    void waiting_job_is_rejected_at_once()
    {
        executor_fleet fleet{1};
        fleet_owner owner{fleet};
        owner.start(1);
        owner.submit(7, 2, milliseconds{200});
        owner.submit(8, 1, milliseconds{400});
        fleet.run_for(milliseconds{20});
        CPPUNIT_ASSERT(!owner.verdicts.contains(client_job_id{8}));
        suspend(fleet, owner, true);
        expect(owner, 8, job_outcome::rejected);
        CPPUNIT_ASSERT(owner.verdicts[client_job_id{8}].retry_after >=
                       seconds{1});
        tests::check_rejections(fleet, owner);
    }

    void evacuation_outlives_a_change_of_the_owner()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        suspend(fleet, owner, true);
        owner.start(1);
        owner.submit(7, 1, milliseconds{60});
        fleet.run_for(milliseconds{200});
        owner.take_over(2, true);
        fleet.run_for(milliseconds{100});
        owner.submit(8, 1, milliseconds{60});
        fleet.run_for(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts(client_job_id{7}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts(client_job_id{8}));
    }

    void tasks_start_again_after_the_evacuation()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        suspend(fleet, owner, true);
        fleet.run_for(milliseconds{500});
        suspend(fleet, owner, false);
        owner.submit(7, 2, milliseconds{60});
        fleet.run_for(milliseconds{300});
        expect(owner, 7, job_outcome::completed);
    }

    // Guards against an instance that falls back to an earlier state, which a
    // peer or a lagging read of the store still has.
    void earlier_state_is_not_adopted()
    {
        domain_id const north{1};
        domain_id const south{2};
        evacuations known;
        CPPUNIT_ASSERT(known.adopt({5, {north}}));
        CPPUNIT_ASSERT(!known.adopt({4, {}}));
        CPPUNIT_ASSERT(known.contains(north));
        CPPUNIT_ASSERT(!known.adopt({6, {north}}));
        CPPUNIT_ASSERT(known.adopt({7, {south}}));
        CPPUNIT_ASSERT(!known.contains(north));
        CPPUNIT_ASSERT(known.contains(south));
    }

    void record_of_the_operator_names_the_failure_domain()
    {
        CPPUNIT_ASSERT(adapter::evacuated_domain("evacuate/north") == "north");
        CPPUNIT_ASSERT(!adapter::evacuated_domain("config"));
        CPPUNIT_ASSERT(!adapter::evacuated_domain("wave/1"));
    }

private:
    static void suspend(executor_fleet const& fleet, fleet_owner& owner,
                        bool suspended)
    {
        std::vector<scheduler_action> out;
        owner.scheduler.suspend(suspended, fleet.now(), out);
        owner.apply(out);
    }

    static void expect(fleet_owner const& owner, std::uint64_t job,
                       job_outcome outcome)
    {
        auto const found = owner.verdicts.find(client_job_id{job});
        CPPUNIT_ASSERT(found != owner.verdicts.end());
        CPPUNIT_ASSERT(outcome == found->second.outcome);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(evacuation_test, "evacuation");

} // namespace
