#include "goldcrestgate/core/leasing/job_gateway.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::tests::make_leased_job;
using std::chrono::milliseconds;

constexpr std::uint32_t plenty = 1'000'000;

owner_view owner(std::uint16_t domain, std::uint32_t instance,
                 std::uint64_t term = 1)
{
    return {domain_id{domain}, instance_id{instance}, term, plenty, {}};
}

// Guards against callers that get no answer, two answers or a wrong one.
class job_gateway_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_gateway_test);
    CPPUNIT_TEST(job_is_offered_to_the_own_domain_first);
    CPPUNIT_TEST(busy_domain_overflows);
    CPPUNIT_TEST(rejected_job_is_offered_to_another_domain);
    CPPUNIT_TEST(rejected_job_gets_one_more_domain);
    CPPUNIT_TEST(second_offer_waits_for_the_successor);
    CPPUNIT_TEST(job_follows_the_successor);
    CPPUNIT_TEST(job_of_a_lost_owner_is_not_reported_as_rejected);
    CPPUNIT_TEST(no_owner_is_a_rejection);
    CPPUNIT_TEST(verdict_of_an_earlier_owner_is_ignored);
    CPPUNIT_TEST(job_of_a_disconnected_caller_is_withdrawn);
    CPPUNIT_TEST(withdrawal_is_repeated_until_it_is_answered);
    CPPUNIT_TEST(withdrawal_after_a_long_pause_is_repeated);
    CPPUNIT_TEST(job_that_is_submitted_again_is_not_withdrawn);
    CPPUNIT_TEST(refusal_of_an_earlier_offer_is_ignored);
    CPPUNIT_TEST(answer_to_an_earlier_withdrawal_is_ignored);
    CPPUNIT_TEST(time_limit_ends_a_job);
    CPPUNIT_TEST(stopping_instance_answers_its_open_jobs);
    CPPUNIT_TEST(reconnected_owner_gets_the_job_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        now_ = time_point{std::chrono::seconds{100}};
        gateway_ = job_gateway{domain_id{1}};
        out_.clear();
    }

    void job_is_offered_to_the_own_domain_first()
    {
        submit({owner(1, 11), owner(2, 21)});
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{11});
    }

    void busy_domain_overflows()
    {
        auto busy = owner(1, 11);
        busy.expected_wait = milliseconds{80};
        busy.free_millicores = 0;
        submit({busy, owner(2, 21)});
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{21});
    }

    void rejected_job_is_offered_to_another_domain()
    {
        submit({owner(1, 11), owner(2, 21)});
        deliver_verdict(11, job_outcome::rejected,
                        {owner(1, 11), owner(2, 21)});
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{21});
        CPPUNIT_ASSERT(!last<send_offer>().offer.resumed);
        deliver_verdict(21, job_outcome::rejected,
                        {owner(1, 11), owner(2, 21)});
        CPPUNIT_ASSERT(last<answer_job>().outcome == job_outcome::rejected);
    }

    // Guards against a job that goes round all failure domains.
    void rejected_job_gets_one_more_domain()
    {
        std::vector const owners{owner(1, 11), owner(2, 21), owner(3, 31)};
        submit(owners);
        deliver_verdict(11, job_outcome::rejected, owners);
        auto const second = last<send_offer>();
        CPPUNIT_ASSERT(second.owner != instance_id{11});
        CPPUNIT_ASSERT(second.reason == "second_offer");
        deliver_verdict(second.owner.value(), job_outcome::rejected, owners);
        CPPUNIT_ASSERT(last<answer_job>().outcome == job_outcome::rejected);
    }

    // Guards against a third failure domain, or the one that rejected the job,
    // if the second owner has released its ownership.
    void second_offer_waits_for_the_successor()
    {
        std::vector owners{owner(1, 11), owner(2, 21)};
        submit(owners);
        deliver_verdict(11, job_outcome::rejected, owners);
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{21});
        deliver_verdict(21, job_outcome::not_owner, owners);
        out_.clear();
        gateway_.tick(std::vector{owner(1, 11), owner(3, 31)}, now_, out_);
        CPPUNIT_ASSERT(out_.empty());
        owners[1] = owner(2, 22, 2);
        owners.push_back(owner(3, 31));
        gateway_.tick(owners, now_, out_);
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{22});
    }

    void job_follows_the_successor()
    {
        submit({owner(1, 11)});
        gateway_.tick(std::vector{owner(1, 12, 2)}, now_, out_);
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{12});
        CPPUNIT_ASSERT(last<send_offer>().offer.resumed);
        deliver_verdict(12, job_outcome::completed, {owner(1, 12, 2)});
        CPPUNIT_ASSERT(last<answer_job>().outcome == job_outcome::completed);
    }

    // A rejection guarantees that the job never runs; after the loss of its
    // owner this is unknown.
    void job_of_a_lost_owner_is_not_reported_as_rejected()
    {
        submit({owner(1, 11)});
        gateway_.tick({}, now_, out_);
        now_ += milliseconds{700};
        gateway_.tick({}, now_, out_);
        CPPUNIT_ASSERT(last<answer_job>().outcome == job_outcome::abandoned);
    }

    void no_owner_is_a_rejection()
    {
        submit({});
        gateway_.tick({}, now_, out_);
        now_ += milliseconds{700};
        gateway_.tick({}, now_, out_);
        CPPUNIT_ASSERT(last<answer_job>().outcome == job_outcome::rejected);
        CPPUNIT_ASSERT(last<answer_job>().retry_after > duration{});
    }

    void verdict_of_an_earlier_owner_is_ignored()
    {
        submit({owner(1, 11)});
        gateway_.tick(std::vector{owner(1, 12, 2)}, now_, out_);
        auto const before = out_.size();
        deliver_verdict(11, job_outcome::rejected, {owner(1, 12, 2)});
        CPPUNIT_ASSERT_EQUAL(before, out_.size());
    }

    void job_of_a_disconnected_caller_is_withdrawn()
    {
        submit({owner(1, 11)});
        gateway_.caller_disconnected(request_id{1}, now_, out_);
        CPPUNIT_ASSERT(last<send_withdrawal>().owner == instance_id{11});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway_.open_jobs());
    }

    // Guards against runs beside those of a resubmission: a withdrawal was lost
    // with its connection, and the owner went on with the job.
    void withdrawal_is_repeated_until_it_is_answered()
    {
        submit({owner(1, 11)});
        gateway_.caller_disconnected(request_id{1}, now_, out_);
        auto const first = last<send_withdrawal>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, withdrawals_in(milliseconds{250}));
        CPPUNIT_ASSERT(last<send_withdrawal>().owner == instance_id{11});
        CPPUNIT_ASSERT(last<send_withdrawal>().withdrawal.sequence >
                       first.withdrawal.sequence);
        gateway_.owner_reconnected(instance_id{11}, now_, out_);
        CPPUNIT_ASSERT_EQUAL(3U, last<send_withdrawal>().repeats);
        // The owner counts the time from the leaving of the caller.
        CPPUNIT_ASSERT(first.withdrawal.elapsed == duration{});
        CPPUNIT_ASSERT(last<send_withdrawal>().withdrawal.elapsed >=
                       milliseconds{250});
        deliver_verdict(11, job_outcome::withdrawn, {owner(1, 11)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, withdrawals_in(milliseconds{500}));
    }

    // Guards against a withdrawal that is not repeated, or is refused as
    // malformed, because its instance was paused for long.
    void withdrawal_after_a_long_pause_is_repeated()
    {
        submit({owner(1, 11)});
        gateway_.caller_disconnected(request_id{1}, now_, out_,
                                     std::chrono::hours{2});
        CPPUNIT_ASSERT(last<send_withdrawal>().withdrawal.elapsed >=
                       milliseconds{1300});
        CPPUNIT_ASSERT(last<send_withdrawal>().withdrawal.elapsed <
                       std::chrono::minutes{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, withdrawals_in(milliseconds{250}));
    }

    // Guards against a repeated withdrawal that ends a job that its caller has
    // submitted again.
    void job_that_is_submitted_again_is_not_withdrawn()
    {
        submit({owner(1, 11)});
        gateway_.caller_disconnected(request_id{1}, now_, out_);
        auto const withdrawn = last<send_withdrawal>().withdrawal.sequence;
        submit({owner(1, 11)});
        CPPUNIT_ASSERT(last<send_offer>().offer.sequence > withdrawn);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, withdrawals_in(milliseconds{500}));
        deliver_verdict(11, job_outcome::withdrawn, {owner(1, 11)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, gateway_.open_jobs());
    }

    // Guards against runs in two failure domains: the owner refused an offer of
    // the job's earlier submission, while it had accepted that of the present
    // one, and the job was offered to another failure domain.
    void refusal_of_an_earlier_offer_is_ignored()
    {
        std::vector const owners{owner(1, 11), owner(2, 21)};
        submit(owners);
        auto const earlier = last<send_offer>().offer.sequence;
        gateway_.caller_disconnected(request_id{1}, now_, out_);
        submit(owners);
        auto const present = last<send_offer>().offer.sequence;
        for (auto const outcome :
             {job_outcome::not_owner, job_outcome::rejected,
              job_outcome::abandoned})
        {
            out_.clear();
            deliver_verdict(11, outcome, owners, earlier);
            gateway_.tick(owners, now_, out_);
            CPPUNIT_ASSERT(out_.empty());
            // An earlier process of this instance may have used higher numbers.
            deliver_verdict(11, outcome, owners, present + 100);
            CPPUNIT_ASSERT(out_.empty());
        }
        deliver_verdict(11, job_outcome::rejected, owners, present);
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{21});
    }

    // Guards against a withdrawal that is lost and not repeated, as the answer
    // to an earlier one of the same job arrived.
    void answer_to_an_earlier_withdrawal_is_ignored()
    {
        std::vector const owners{owner(1, 11)};
        submit(owners);
        gateway_.caller_disconnected(request_id{1}, now_, out_);
        auto const earlier = last<send_withdrawal>().withdrawal.sequence;
        submit(owners);
        gateway_.caller_disconnected(request_id{1}, now_, out_);
        auto const present = last<send_withdrawal>().withdrawal.sequence;
        deliver_verdict(11, job_outcome::withdrawn, owners, earlier);
        CPPUNIT_ASSERT(withdrawals_in(milliseconds{250}) > 0);
        deliver_verdict(11, job_outcome::withdrawn, owners, present);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, withdrawals_in(milliseconds{250}));
    }

    void time_limit_ends_a_job()
    {
        submit({owner(1, 11)});
        now_ += milliseconds{1500};
        gateway_.tick(std::vector{owner(1, 11)}, now_, out_);
        CPPUNIT_ASSERT(last<answer_job>().outcome == job_outcome::abandoned);
    }

    // Guards against a job that waits for a verdict which was lost together
    // with a connection, until its caller is told that its fate is unknown.
    void reconnected_owner_gets_the_job_again()
    {
        submit({owner(1, 11), owner(2, 21)});
        out_.clear();
        gateway_.owner_reconnected(instance_id{21}, now_, out_);
        CPPUNIT_ASSERT(out_.empty());
        gateway_.owner_reconnected(instance_id{11}, now_, out_);
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{11});
        CPPUNIT_ASSERT(last<send_offer>().offer.resumed);
        deliver_verdict(11, job_outcome::completed, {owner(1, 11)});
        CPPUNIT_ASSERT(last<answer_job>().outcome == job_outcome::completed);
    }

    // Guards against callers that get no answer, or an internal error, from an
    // instance that stops before their job has ended.
    void stopping_instance_answers_its_open_jobs()
    {
        submit({owner(1, 11), owner(2, 21)});
        out_.clear();
        gateway_.abandon_all(now_, out_);
        CPPUNIT_ASSERT(last<answer_job>().outcome == job_outcome::abandoned);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, out_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway_.open_jobs());
    }

private:
    void submit(std::vector<owner_view> const& owners)
    {
        gateway_.submit(request_id{1}, make_leased_job(7, 2, milliseconds{60}),
                        owners, now_, out_);
    }

    void deliver_verdict(std::uint32_t from, job_outcome outcome,
                         std::vector<owner_view> const& owners,
                         std::uint64_t sequence = 0)
    {
        gateway_.verdict(
            instance_id{from},
            {client_job_id{7}, outcome, std::chrono::seconds{1}, sequence},
            owners, now_, out_);
    }

    /// Returns the number of withdrawals that are sent within a time.
    std::size_t withdrawals_in(milliseconds time)
    {
        auto const before = out_.size();
        for (auto const end = now_ + time; now_ < end; now_ += milliseconds{50})
        {
            gateway_.tick(std::vector{owner(1, 11)}, now_, out_);
        }
        return static_cast<std::size_t>(std::count_if(
            out_.begin() + static_cast<std::ptrdiff_t>(before), out_.end(),
            [](gateway_action const& action)
            {
                return std::holds_alternative<send_withdrawal>(action);
            }));
    }

    template <typename Action>
    Action const& last() const
    {
        CPPUNIT_ASSERT(!out_.empty());
        auto const* const found = std::get_if<Action>(&out_.back());
        CPPUNIT_ASSERT(found != nullptr);
        return *found;
    }

    time_point now_;
    job_gateway gateway_{domain_id{1}};
    std::vector<gateway_action> out_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(job_gateway_test, "job_gateway");

} // namespace
