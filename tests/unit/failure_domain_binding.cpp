#include "goldcrestgate/core/leasing/job_gateway.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::tests::make_leased_job;
using std::chrono::milliseconds;

using owner_views = std::vector<owner_view>;

owner_view owner(std::uint16_t domain, std::uint32_t instance,
                 std::uint64_t term = 1)
{
    constexpr std::uint32_t plenty = 1'000'000;
    return {domain_id{domain}, instance_id{instance}, term, plenty, {}};
}

// Guards against a task that runs in two failure domains at a time: only the
// owner of the executors of one failure domain knows the runs there.
class failure_domain_binding_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(failure_domain_binding_test);
    CPPUNIT_TEST(job_of_a_lost_owner_stays_in_its_failure_domain);
    CPPUNIT_TEST(job_of_a_lost_owner_follows_a_later_successor);
    CPPUNIT_TEST(job_that_was_offered_again_stays_in_its_failure_domain);
    CPPUNIT_TEST(job_without_a_successor_is_answered_as_abandoned);
    CPPUNIT_TEST(job_that_no_owner_accepted_may_go_elsewhere);
    CPPUNIT_TEST(ended_term_gets_no_second_offer);
    CPPUNIT_TEST(job_that_moves_is_withdrawn_from_the_earlier_owner);
    CPPUNIT_TEST(offer_tells_whether_the_job_has_moved);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        now_ = time_point{std::chrono::seconds{100}};
        gateway_ = job_gateway{domain_id{1}};
        out_.clear();
    }

    void job_of_a_lost_owner_stays_in_its_failure_domain()
    {
        lose_two_owners();
        tick({owner(2, 21)});
        CPPUNIT_ASSERT(out_.empty());
    }

    void job_of_a_lost_owner_follows_a_later_successor()
    {
        lose_two_owners();
        tick({owner(2, 21)});
        tick({owner(1, 13, 3), owner(2, 21)});
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{13});
        CPPUNIT_ASSERT(last<send_offer>().offer.resumed);
    }

    // The refusal may answer the second offer only, and the owner may have
    // accepted the first one and lost ownership between them.
    void job_that_was_offered_again_stays_in_its_failure_domain()
    {
        submit({owner(1, 11), owner(2, 21)});
        gateway_.owner_reconnected(instance_id{11}, now_, out_);
        refuse(11, {owner(2, 21)});
        tick({owner(2, 21)});
        CPPUNIT_ASSERT(out_.empty());
    }

    void job_without_a_successor_is_answered_as_abandoned()
    {
        lose_two_owners();
        for (int i = 0; i < 20; ++i)
        {
            tick({owner(2, 21)});
            now_ += milliseconds{50};
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway_.open_jobs());
        // Withdrawals that no owner has answered are repeated after it.
        CPPUNIT_ASSERT(only_answer().outcome == job_outcome::abandoned);
        CPPUNIT_ASSERT(std::ranges::none_of(
            out_,
            [](auto const& action)
            {
                return std::holds_alternative<send_offer>(action);
            }));
    }

    void job_that_no_owner_accepted_may_go_elsewhere()
    {
        submit({owner(1, 11), owner(2, 21)});
        refuse(11, {owner(2, 21)});
        tick({owner(2, 21)});
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{21});
        CPPUNIT_ASSERT(!last<send_offer>().offer.resumed);
    }

    // Guards against an offer in each tick until the heartbeat arrives that
    // shows the end of the ownership.
    void ended_term_gets_no_second_offer()
    {
        lose_two_owners();
        tick({owner(1, 12, 2), owner(2, 21)});
        CPPUNIT_ASSERT(out_.empty());
        tick({owner(1, 12, 3), owner(2, 21)});
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{12});
        CPPUNIT_ASSERT(last<send_offer>().offer.resumed);
    }

    // Guards against an earlier owner that lives and starts further tasks of
    // the job.
    void job_that_moves_is_withdrawn_from_the_earlier_owner()
    {
        submit({owner(1, 11)});
        out_.clear();
        tick({owner(1, 12, 2)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, out_.size());
        auto const* const withdrawn = std::get_if<send_withdrawal>(&out_[0]);
        CPPUNIT_ASSERT(withdrawn != nullptr);
        CPPUNIT_ASSERT(withdrawn->owner == instance_id{11});
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{12});
        out_.clear();
        tick({owner(1, 12, 3)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out_.size());
    }

    // Guards against jobs that wait for the end of unknown runs although only
    // the connection to their owner was made anew.
    void offer_tells_whether_the_job_has_moved()
    {
        submit({owner(1, 11)});
        gateway_.owner_reconnected(instance_id{11}, now_, out_);
        CPPUNIT_ASSERT(last<send_offer>().offer.only_offered_here);
        tick({owner(1, 11, 2)});
        CPPUNIT_ASSERT(!last<send_offer>().offer.only_offered_here);
        gateway_.owner_reconnected(instance_id{11}, now_, out_);
        CPPUNIT_ASSERT(!last<send_offer>().offer.only_offered_here);
    }

private:
    /// Instance 11 accepts the job and loses ownership to instance 12, which
    /// loses it before the offer arrives.
    void lose_two_owners()
    {
        submit({owner(1, 11), owner(2, 21)});
        tick({owner(1, 12, 2), owner(2, 21)});
        CPPUNIT_ASSERT(last<send_offer>().owner == instance_id{12});
        refuse(12, {owner(2, 21)});
    }

    void submit(owner_views const& owners)
    {
        gateway_.submit(request_id{1}, make_leased_job(7, 2, milliseconds{60}),
                        owners, now_, out_);
    }

    void tick(owner_views const& owners)
    {
        gateway_.tick(owners, now_, out_);
    }

    /// Delivers `not_owner` and forgets the earlier actions.
    void refuse(std::uint32_t from, owner_views const& owners)
    {
        out_.clear();
        gateway_.verdict(instance_id{from},
                         {client_job_id{7}, job_outcome::not_owner, {}}, owners,
                         now_, out_);
    }

    answer_job const& only_answer() const
    {
        answer_job const* only = nullptr;
        for (auto const& action : out_)
        {
            if (auto const* const answer = std::get_if<answer_job>(&action))
            {
                CPPUNIT_ASSERT(only == nullptr);
                only = answer;
            }
        }
        CPPUNIT_ASSERT(only != nullptr);
        return *only;
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

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(failure_domain_binding_test,
                                      "failure_domain_binding");

} // namespace
