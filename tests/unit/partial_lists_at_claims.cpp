#include "goldcrestgate/core/leasing/domain_ownership.hpp"
#include "goldcrestgate/core/leasing/owner_token.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <variant>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::tests::executor_fleet;
using goldcrestgate::tests::fleet_owner;
using goldcrestgate::tests::make_patient_job;
using std::chrono::milliseconds;

class partial_lists_at_claims_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(partial_lists_at_claims_test);
    CPPUNIT_TEST(unreadable_runs_at_a_claim_are_awaited);
    CPPUNIT_TEST(unlisted_executor_with_a_run_is_passed_on);
    CPPUNIT_TEST(claim_exceeds_the_renewals_of_a_living_owner);
    CPPUNIT_TEST(renewals_stay_below_the_next_claim);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: an executor whose rows could
    // not be read counted as claimed without runs.
    void unreadable_runs_at_a_claim_are_awaited()
    {
        executor_fleet fleet{3};
        fleet_owner first{fleet};
        fleet_owner second{fleet};
        first.start(1);
        auto const job = start_long_job(fleet, first);
        for (auto const id : fleet.ids())
        {
            fleet.behaviour(id).rows_unreadable = true;
        }
        second.list_all();
        second.take_over(2, true);
        second.offer(job, true);
        fleet.run_for(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(fleet.ids().size() - 1,
                             second.scheduler.load(fleet.now()).claimed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

    // Guards against a list for the successors that lacks an executor which
    // still has runs.
    void unlisted_executor_with_a_run_is_passed_on()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        auto const job = start_long_job(fleet, owner);
        for (auto const id : fleet.ids())
        {
            owner.scheduler.unlist(id, fleet.now());
        }
        auto const unlisted = owner.scheduler.unlisted_executors();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, unlisted.size());
        CPPUNIT_ASSERT(unlisted.front().draining);
    }

    // Guards against a claim below the token of an owner that has renewed it
    // since its last heartbeat, if the clock of the successor is behind.
    void claim_exceeds_the_renewals_of_a_living_owner()
    {
        constexpr std::uint64_t owner_term = 1'000'000;
        instance_key const self{domain_id{1}, instance_id{1}, incarnation{1}};
        instance_key const owner{domain_id{1}, instance_id{2}, incarnation{1}};
        time_point now{milliseconds{10'000}};
        domain_ownership ownership{self, 1, now};
        owner_heartbeat heartbeat;
        heartbeat.term = owner_term;
        heartbeat.highest_term = owner_term;
        heartbeat.interval = milliseconds{100};
        heartbeat.successors = {self.instance};
        ownership.heartbeat_received(owner, heartbeat, now);
        ownership.lost(owner.instance, true, now);
        now += milliseconds{2'000};
        auto const decision = ownership.decide(now, owner_term - 5'000);
        auto const* const claim = std::get_if<claim_ownership>(&decision);
        CPPUNIT_ASSERT(claim != nullptr);
        CPPUNIT_ASSERT(claim->token.value() >
                       make_owner_token(owner_term + max_token_renewals - 1,
                                        owner.instance)
                           .value());
    }

    // Guards against an owner that renews its token past that of its successor.
    void renewals_stay_below_the_next_claim()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        auto const claimed = token_term(owner.scheduler.token());
        for (std::uint64_t i = 0; i < 2 * max_token_renewals; ++i)
        {
            std::vector<scheduler_action> out;
            auto description = fleet.description(executor_id{1});
            description.incarnation += i + 1;
            owner.scheduler.list(executor_id{1}, description, fleet.now(), out);
        }
        auto const renewals = token_term(owner.scheduler.token()) - claimed;
        CPPUNIT_ASSERT(renewals > 0);
        CPPUNIT_ASSERT(renewals < max_token_renewals);
    }

private:
    static leased_job start_long_job(executor_fleet& fleet, fleet_owner& owner)
    {
        auto job =
            make_patient_job(1, milliseconds{2'000}, milliseconds{9'500});
        owner.submit(job, milliseconds{2'000});
        fleet.run_for(milliseconds{30});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(job.id));
        return job;
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(partial_lists_at_claims_test,
                                      "partial_lists_at_claims");

} // namespace
