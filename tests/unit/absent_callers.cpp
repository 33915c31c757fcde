#include "support/fleet_owner.hpp"

#include "goldcrestgate/core/leasing/owner_token.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

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

// Guards against runs of jobs whose callers have left: 1.3 s later these may
// submit the jobs in another failure domain.
class absent_callers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(absent_callers_test);
    CPPUNIT_TEST(work_of_a_lost_instance_stops_before_a_resubmission);
    CPPUNIT_TEST(work_of_a_silent_instance_goes_on_if_it_returns);
    CPPUNIT_TEST(returned_instance_keeps_only_the_jobs_that_it_offers_again);
    CPPUNIT_TEST(offer_before_a_withdrawal_starts_nothing);
    CPPUNIT_TEST(offer_of_an_earlier_term_starts_nothing);
    CPPUNIT_TEST(outdated_offer_starts_nothing);
    CPPUNIT_TEST(outdated_offer_does_not_replace_a_later_one);
    CPPUNIT_TEST(messages_of_another_connection_confirm_no_caller);
    CPPUNIT_TEST(lease_ends_with_the_silence_of_an_instance);
    CPPUNIT_TEST(withdrawn_job_ends_although_its_owner_is_paused);
    CPPUNIT_TEST(late_withdrawal_does_not_prolong_the_lease);
    CPPUNIT_TEST(job_of_a_restarted_instance_ends_although_its_owner_is_paused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against runs that continue when the caller of a lost instance
    // resubmits its job in another failure domain 1.3 s later.
    void work_of_a_lost_instance_stops_before_a_resubmission()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        owner.submit(7, 2, milliseconds{1400});
        fleet.run_for(milliseconds{50});
        // The loss of an unresponsive instance is detected after 450 ms.
        fleet.run_for(milliseconds{450});
        owner.scheduler.origin_lost(instance_id{1}, fleet.now());
        fleet.run_for(milliseconds{1300 - 450});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.running(client_job_id{7}));
    }

    // Guards against jobs that are given up because their instance was silent
    // for less time than its callers wait.
    void work_of_a_silent_instance_goes_on_if_it_returns()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        auto const job = owner.submit(7, 2, milliseconds{700});
        fleet.run_for(milliseconds{100});
        owner.scheduler.origin_lost(instance_id{1}, fleet.now());
        fleet.run_for(milliseconds{200});
        owner.scheduler.origin_returned(instance_id{1}, fleet.now());
        fleet.run_for(milliseconds{200});
        owner.offer(job, true);
        fleet.run_for(milliseconds{400});
        expect_completed(owner, client_job_id{7});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.starts(client_job_id{7}));
    }

    // Guards against runs beside those of a resubmission: an instance whose
    // connections were reset returned, and the owner took back the cancelling
    // also of the jobs whose callers had left meanwhile.
    void returned_instance_keeps_only_the_jobs_that_it_offers_again()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        auto const kept = owner.submit(7, 1, milliseconds{900});
        owner.submit(
            tests::make_patient_job(8, milliseconds{2000}, milliseconds{6000}),
            milliseconds{2000});
        fleet.run_for(milliseconds{100});
        owner.scheduler.origin_lost(instance_id{1}, fleet.now());
        owner.scheduler.origin_returned(instance_id{1}, fleet.now());
        owner.offer(kept, true);
        fleet.run_for(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(client_job_id{7}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.running(client_job_id{8}));
        fleet.run_for(milliseconds{500});
        expect_completed(owner, client_job_id{7});
    }

    // Guards against runs without a caller: an offer that was sent before the
    // withdrawal of its job arrived after it on another connection.
    void offer_before_a_withdrawal_starts_nothing()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        auto const job = make_leased_job(7, 1, milliseconds{300});
        fleet.set_work(job.id, milliseconds{300});
        std::vector<scheduler_action> out;
        owner.scheduler.withdraw(instance_id{1}, {job.id, 5}, fleet.now(), out);
        auto const* const answer = std::get_if<report_verdict>(&out.at(0));
        CPPUNIT_ASSERT(answer != nullptr &&
                       answer->verdict.outcome == job_outcome::withdrawn);
        out.clear();
        owner.scheduler.offer(instance_id{1}, {job, {}, false, false, 4},
                              fleet.now(), out);
        owner.apply(out);
        fleet.run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts(job.id));
        out.clear();
        owner.scheduler.offer(instance_id{1}, {job, {}, false, false, 6},
                              fleet.now(), out);
        owner.apply(out);
        fleet.run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.starts(job.id));
    }

    // Guards against starts for callers that have left: an offer waited in the
    // connection while its receiver was paused, and the receiver claimed the
    // executors again before it read the offer.
    void offer_of_an_earlier_term_starts_nothing()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.list_all();
        std::vector<scheduler_action> out;
        owner.scheduler.take_over(make_owner_token(20, instance_id{1}), true,
                                  fleet.now(), out);
        owner.apply(out);
        fleet.run_for(milliseconds{150});
        auto const job = make_leased_job(7, 1, milliseconds{300});
        fleet.set_work(job.id, milliseconds{300});
        for (auto const& [term, starts] :
             {std::pair{19, std::size_t{0}}, std::pair{20, std::size_t{1}}})
        {
            job_offer offer{job};
            offer.term = static_cast<std::uint64_t>(term);
            out.clear();
            owner.scheduler.offer(instance_id{1}, offer, fleet.now(), out);
            owner.apply(out);
            fleet.run_for(milliseconds{100});
            CPPUNIT_ASSERT_EQUAL(starts, fleet.starts(job.id));
        }
    }

    // Guards against starts for callers that have left: an offer was held up,
    // and its receiver took it for a new one.
    void outdated_offer_starts_nothing()
    {
        for (auto const age : {0, 300, 900, 1050, 1300, 2750, 5500})
        {
            executor_fleet fleet{2};
            fleet_owner owner{fleet};
            owner.start(1);
            auto const job = tests::make_patient_job(7, milliseconds{4000},
                                                     milliseconds{6000});
            fleet.set_work(job.id, milliseconds{4000});
            auto const sent_at = fleet.now() - milliseconds{age};
            owner.scheduler.origin_heard(instance_id{2}, sent_at);
            owner.offer(job, false, instance_id{2});
            fleet.run_for(milliseconds{50});
            bool const is_outdated = age > 1000;
            CPPUNIT_ASSERT_EQUAL(std::size_t{is_outdated ? 0U : 1U},
                                 fleet.starts(job.id));
            if (is_outdated)
            {
                CPPUNIT_ASSERT(owner.verdicts.at(job.id).outcome ==
                               job_outcome::not_owner);
                continue;
            }
            owner.pause(std::chrono::seconds{3});
            fleet.run_for(sent_at + milliseconds{1300} - fleet.now());
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.running(job.id));
        }
    }

    // Guards against verdicts that the origin does not expect: a repeated offer
    // arrived before the one that it repeats.
    void outdated_offer_does_not_replace_a_later_one()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        auto const job = make_leased_job(7, 1, milliseconds{300});
        fleet.set_work(job.id, milliseconds{300});
        for (auto const sequence : {std::uint64_t{6}, std::uint64_t{5}})
        {
            job_offer offer{job};
            offer.sequence = sequence;
            std::vector<scheduler_action> out;
            owner.scheduler.offer(instance_id{1}, offer, fleet.now(), out);
            owner.apply(out);
        }
        fleet.run_for(milliseconds{400});
        expect_completed(owner, job.id);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6},
                             owner.verdicts.at(job.id).sequence);
    }

    // Guards against runs without a caller: a withdrawal was lost with its
    // connection, and messages on the next one confirmed the job.
    void messages_of_another_connection_confirm_no_caller()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        auto const job =
            tests::make_patient_job(7, milliseconds{4000}, milliseconds{6000});
        fleet.set_work(job.id, milliseconds{4000});
        owner.scheduler.origin_heard(instance_id{2}, fleet.now(), 1);
        owner.offer(job, false, instance_id{2});
        hear_often(fleet, owner, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(job.id));
        hear_often(fleet, owner, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.running(job.id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.starts(job.id));
        owner.offer(job, true, instance_id{2});
        hear_often(fleet, owner, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(job.id));
    }

    // Guards against runs beside those of a resubmission: an instance stood
    // still, and the owner was paused before it cancelled the instance's jobs.
    void lease_ends_with_the_silence_of_an_instance()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        start_long_run(owner);
        owner.scheduler.origin_heard(instance_id{1}, fleet.now());
        fleet.run_for(milliseconds{600});
        pause_and_expect_end(fleet, owner, milliseconds{600});
    }

    // Guards against runs beside those of a resubmission: the owner was paused
    // between the withdrawal of a job and the stop of its runs.
    void withdrawn_job_ends_although_its_owner_is_paused()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        start_long_run(owner);
        fleet.run_for(milliseconds{100});
        withdraw_long_run(fleet, owner, {});
        fleet.run_for(milliseconds{600});
        pause_and_expect_end(fleet, owner, milliseconds{600});
    }

    // Guards against runs beside those of a resubmission: a withdrawal was lost
    // and repeated, and the lease was counted from its arrival.
    void late_withdrawal_does_not_prolong_the_lease()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        start_long_run(owner);
        fleet.run_for(milliseconds{500});
        withdraw_long_run(fleet, owner, milliseconds{300});
        fleet.run_for(milliseconds{340});
        pause_and_expect_end(fleet, owner, milliseconds{640});
    }

    // Guards against runs beside those of a resubmission: the messages of an
    // instance's new process extended the leases for the callers of the earlier
    // one.
    void job_of_a_restarted_instance_ends_although_its_owner_is_paused()
    {
        executor_fleet fleet{2};
        fleet_owner owner{fleet};
        owner.start(1);
        start_long_run(owner);
        owner.scheduler.origin_heard(instance_id{1}, fleet.now());
        // The loss of an unresponsive instance is detected after 450 ms.
        fleet.run_for(milliseconds{450});
        owner.scheduler.origin_lost(instance_id{1}, fleet.now());
        owner.scheduler.origin_heard(instance_id{1}, fleet.now());
        fleet.run_for(milliseconds{300});
        owner.scheduler.origin_heard(instance_id{1}, fleet.now());
        pause_and_expect_end(fleet, owner, milliseconds{750});
    }

private:
    /// Lets messages of an instance arrive on a connection until the callers of
    /// its earlier ones may submit their jobs again.
    static void hear_often(executor_fleet& fleet, fleet_owner& owner,
                           std::uint64_t connection)
    {
        for (int i = 0; i < 14; ++i)
        {
            owner.scheduler.origin_heard(instance_id{2}, fleet.now(),
                                         connection);
            fleet.run_for(milliseconds{100});
        }
    }

    static void start_long_run(fleet_owner& owner)
    {
        owner.submit(
            tests::make_patient_job(7, milliseconds{4000}, milliseconds{6000}),
            milliseconds{4000});
    }

    /// @param elapsed time since the caller has left
    static void withdraw_long_run(executor_fleet const& fleet,
                                  fleet_owner& owner, duration elapsed)
    {
        std::vector<scheduler_action> out;
        owner.scheduler.withdraw(instance_id{1}, {client_job_id{7}, 0, elapsed},
                                 fleet.now(), out);
        owner.apply(out);
    }

    /// Pauses the owner and checks that the long run ends before its caller
    /// submits the job again.
    /// @param elapsed time since the caller was last known to wait
    static void pause_and_expect_end(executor_fleet& fleet, fleet_owner& owner,
                                     milliseconds elapsed)
    {
        constexpr milliseconds resubmission_delay{1300};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(client_job_id{7}));
        owner.pause(std::chrono::seconds{3});
        fleet.run_for(resubmission_delay - elapsed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.running(client_job_id{7}));
    }

    static void expect_completed(fleet_owner const& owner, client_job_id job)
    {
        auto const found = owner.verdicts.find(job);
        CPPUNIT_ASSERT(found != owner.verdicts.end());
        CPPUNIT_ASSERT(found->second.outcome == job_outcome::completed);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(absent_callers_test, "absent_callers");

} // namespace
