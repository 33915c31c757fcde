#include "goldcrestgate/core/leasing/domain_ownership.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate::core;
using std::chrono::milliseconds;

constexpr std::uint64_t unix_ms = 1'800'000'000'000;

instance_key key(std::uint16_t domain, std::uint32_t id)
{
    return {domain_id{domain}, instance_id{id}, incarnation{id}};
}

owner_heartbeat make_heartbeat(std::uint64_t term, std::uint32_t weight = 250)
{
    owner_heartbeat heartbeat;
    heartbeat.term = term;
    heartbeat.highest_term = term;
    heartbeat.weight = weight;
    return heartbeat;
}

/// Returns a heartbeat of an owner that designates instance 2 as its successor.
owner_heartbeat make_designation(std::uint64_t term)
{
    auto heartbeat = make_heartbeat(term);
    heartbeat.successors = {instance_id{2}};
    return heartbeat;
}

// Guards against executors without an owner, and against instances that take
// ownership from each other.
class domain_ownership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(domain_ownership_test);
    CPPUNIT_TEST(largest_instance_claims);
    CPPUNIT_TEST(new_instance_does_not_delay_a_claim);
    CPPUNIT_TEST(unresponsive_owner_is_succeeded_with_a_higher_term);
    CPPUNIT_TEST(reset_connection_leaves_time_to_reconnect);
    CPPUNIT_TEST(ended_process_is_succeeded_at_once);
    CPPUNIT_TEST(leaving_owner_is_succeeded_before_it_ends);
    CPPUNIT_TEST(undesignated_instance_leaves_the_claim_to_successors);
    CPPUNIT_TEST(silent_connection_to_the_owner_causes_no_claim);
    CPPUNIT_TEST(owner_designates_the_largest_instances);
    CPPUNIT_TEST(paused_owner_releases_before_it_acts);
    CPPUNIT_TEST(owner_yields_to_a_much_larger_instance);
    CPPUNIT_TEST(owner_keeps_ownership_from_a_slightly_larger_instance);
    CPPUNIT_TEST(lower_term_releases_ownership);
    CPPUNIT_TEST(refused_claim_uses_a_later_term);
    CPPUNIT_TEST(other_domains_do_not_matter);
    CPPUNIT_TEST(tokens_rise_when_the_time_of_day_jumps_back);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        now_ = time_point{std::chrono::seconds{100}};
    }

    void largest_instance_claims()
    {
        domain_ownership small{key(1, 1), 90, now_};
        domain_ownership large{key(1, 2), 250, now_};
        now_ += milliseconds{950};
        small.heartbeat_received(key(1, 2), large.heartbeat(0, {}, now_), now_);
        large.heartbeat_received(key(1, 1), small.heartbeat(0, {}, now_), now_);
        CPPUNIT_ASSERT(!claims(small));
        CPPUNIT_ASSERT(claims(large));
    }

    // Guards against an instance that waits for the claim of one that started
    // later. After a loss of all instances of a failure domain, they start one
    // after the other, and this wait left the executors unused for 230 ms more.
    void new_instance_does_not_delay_a_claim()
    {
        domain_ownership first{key(1, 2), 250, now_};
        now_ += milliseconds{150};
        domain_ownership later{key(1, 1), 250, now_};
        first.heartbeat_received(key(1, 1), later.heartbeat(0, {}, now_), now_);
        later.heartbeat_received(key(1, 2), first.heartbeat(0, {}, now_), now_);
        CPPUNIT_ASSERT(!claims(first));
        now_ += milliseconds{60};
        CPPUNIT_ASSERT(claims(first));
        later.heartbeat_received(key(1, 2), first.heartbeat(0, {}, now_), now_);
        now_ += milliseconds{200};
        later.heartbeat_received(key(1, 2), first.heartbeat(0, {}, now_), now_);
        CPPUNIT_ASSERT(!claims(later));
    }

    void unresponsive_owner_is_succeeded_with_a_higher_term()
    {
        domain_ownership self{key(1, 2), 250, now_};
        now_ += milliseconds{950};
        self.heartbeat_received(key(1, 1), make_heartbeat(unix_ms + 5000),
                                now_);
        CPPUNIT_ASSERT(!claims(self));
        now_ += milliseconds{500};
        CPPUNIT_ASSERT(claims(self));
        CPPUNIT_ASSERT(self.term() > unix_ms + 5000);
    }

    void reset_connection_leaves_time_to_reconnect()
    {
        domain_ownership self{key(1, 2), 250, now_};
        now_ += milliseconds{950};
        self.heartbeat_received(key(1, 1), make_heartbeat(unix_ms), now_);
        self.lost(instance_id{1}, false, now_);
        CPPUNIT_ASSERT(!claims(self));
        now_ += milliseconds{150};
        self.heartbeat_received(key(1, 1), make_heartbeat(unix_ms), now_);
        now_ += milliseconds{150};
        CPPUNIT_ASSERT(!claims(self));
    }

    void ended_process_is_succeeded_at_once()
    {
        domain_ownership self{key(1, 2), 250, now_};
        now_ += milliseconds{950};
        self.heartbeat_received(key(1, 1), make_designation(unix_ms), now_);
        self.lost(instance_id{1}, true, now_);
        CPPUNIT_ASSERT(claims(self));
    }

    void leaving_owner_is_succeeded_before_it_ends()
    {
        domain_ownership self{key(1, 2), 250, now_};
        now_ += milliseconds{950};
        auto leaving = make_designation(unix_ms);
        leaving.leaving = true;
        self.heartbeat_received(key(1, 1), leaving, now_);
        CPPUNIT_ASSERT(claims(self));
    }

    // Guards against hundreds of instances that claim at the same time, each
    // unaware of the others, when an owner ends.
    void undesignated_instance_leaves_the_claim_to_successors()
    {
        domain_ownership self{key(1, 2), 250, now_};
        now_ += milliseconds{950};
        self.heartbeat_received(key(1, 1), make_heartbeat(unix_ms), now_);
        self.lost(instance_id{1}, true, now_);
        CPPUNIT_ASSERT(!claims(self));
        now_ += milliseconds{300};
        CPPUNIT_ASSERT(!claims(self));
        now_ += milliseconds{150};
        CPPUNIT_ASSERT(claims(self));
    }

    // Guards against a takeover from a live owner: the connection to it went
    // silent for one instance only.
    void silent_connection_to_the_owner_causes_no_claim()
    {
        domain_ownership self{key(1, 2), 250, now_};
        now_ += milliseconds{950};
        self.heartbeat_received(key(1, 1), make_designation(unix_ms), now_);
        auto follower = make_heartbeat(0);
        follower.highest_term = unix_ms;
        follower.owner_known = true;
        for (int i = 0; i < 20; ++i)
        {
            now_ += milliseconds{100};
            self.heartbeat_received(key(1, 3), follower, now_);
            CPPUNIT_ASSERT(!claims(self));
        }
        follower.owner_known = false;
        self.heartbeat_received(key(1, 3), follower, now_);
        CPPUNIT_ASSERT(claims(self));
    }

    void owner_designates_the_largest_instances()
    {
        domain_ownership self{key(1, 1), 500, now_};
        now_ += milliseconds{950};
        CPPUNIT_ASSERT(claims(self));
        CPPUNIT_ASSERT(self.designated_successors(now_).empty());
        self.heartbeat_received(key(1, 2), make_heartbeat(0, 90), now_);
        self.heartbeat_received(key(1, 3), make_heartbeat(0, 300), now_);
        self.heartbeat_received(key(1, 4), make_heartbeat(0, 500), now_);
        self.heartbeat_received(key(2, 5), make_heartbeat(0, 500), now_);
        std::vector<instance_id> const expected{instance_id{4}, instance_id{3}};
        CPPUNIT_ASSERT(expected == self.designated_successors(now_));
        CPPUNIT_ASSERT(expected == self.heartbeat(0, {}, now_).successors);
    }

    // Guards against an owner that starts tasks after a pause in which its
    // successor took over: an executor that the successor could not reach would
    // accept them, and the tasks would run twice.
    void paused_owner_releases_before_it_acts()
    {
        domain_ownership self{key(1, 1), 500, now_};
        now_ += milliseconds{300};
        CPPUNIT_ASSERT(claims(self));
        auto const first_term = self.term();
        now_ += milliseconds{1400};
        self.paused(now_);
        CPPUNIT_ASSERT(std::holds_alternative<release_ownership>(
            self.decide(now_, unix_ms)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, self.term());
        CPPUNIT_ASSERT(!claims(self));
        now_ += milliseconds{150};
        CPPUNIT_ASSERT(!claims(self));
        now_ += milliseconds{100};
        CPPUNIT_ASSERT(claims(self));
        CPPUNIT_ASSERT(self.term() > first_term);
    }

    // Guards against an owner that is too small for the load: of instances that
    // started together, a small one claimed before it knew the large ones, and
    // a fifth of the jobs of its failure domain were late.
    void owner_yields_to_a_much_larger_instance()
    {
        domain_ownership small{key(1, 1), 90, now_};
        domain_ownership large{key(1, 2), 500, now_};
        now_ += milliseconds{300};
        CPPUNIT_ASSERT(claims(small));
        bool yielded = false;
        for (int i = 0; i < 10 && !yielded; ++i)
        {
            now_ += milliseconds{100};
            large.heartbeat_received(key(1, 1), small.heartbeat(0, {}, now_),
                                     now_);
            yielded = claims(large);
            small.heartbeat_received(key(1, 2), large.heartbeat(0, {}, now_),
                                     now_);
            CPPUNIT_ASSERT(!claims(small));
        }
        CPPUNIT_ASSERT(yielded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, small.term());
    }

    void owner_keeps_ownership_from_a_slightly_larger_instance()
    {
        domain_ownership small{key(1, 1), 300, now_};
        domain_ownership large{key(1, 2), 500, now_};
        now_ += milliseconds{300};
        CPPUNIT_ASSERT(claims(small));
        for (int i = 0; i < 30; ++i)
        {
            now_ += milliseconds{100};
            large.heartbeat_received(key(1, 1), small.heartbeat(0, {}, now_),
                                     now_);
            CPPUNIT_ASSERT(!claims(large));
            small.heartbeat_received(key(1, 2), large.heartbeat(0, {}, now_),
                                     now_);
            CPPUNIT_ASSERT(!claims(small));
        }
    }

    void lower_term_releases_ownership()
    {
        domain_ownership self{key(1, 2), 250, now_};
        now_ += milliseconds{950};
        CPPUNIT_ASSERT(claims(self));
        self.heartbeat_received(key(1, 1), make_heartbeat(self.term() + 1),
                                now_);
        CPPUNIT_ASSERT(std::holds_alternative<release_ownership>(
            self.decide(now_, unix_ms)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, self.term());
    }

    void refused_claim_uses_a_later_term()
    {
        domain_ownership self{key(1, 2), 250, now_};
        now_ += milliseconds{950};
        CPPUNIT_ASSERT(claims(self));
        auto const refused = self.term();
        self.fenced(true, now_);
        static_cast<void>(self.decide(now_, unix_ms));
        CPPUNIT_ASSERT(claims(self));
        CPPUNIT_ASSERT(self.term() > refused + 1000);
    }

    void other_domains_do_not_matter()
    {
        domain_ownership self{key(1, 2), 90, now_};
        now_ += milliseconds{950};
        self.heartbeat_received(key(2, 1), make_heartbeat(unix_ms + 1, 500),
                                now_);
        CPPUNIT_ASSERT(claims(self));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, self.owners(now_).size());
    }

    void tokens_rise_when_the_time_of_day_jumps_back()
    {
        domain_ownership self{key(1, 2), 250, now_};
        now_ += milliseconds{950};
        auto const first =
            std::get<claim_ownership>(self.decide(now_, unix_ms));
        self.fenced(false, now_);
        static_cast<void>(self.decide(now_, unix_ms));
        now_ += milliseconds{800};
        auto const second =
            std::get<claim_ownership>(self.decide(now_, unix_ms - 60'000));
        CPPUNIT_ASSERT(second.token > first.token);
    }

private:
    bool claims(domain_ownership& ownership) const
    {
        return std::holds_alternative<claim_ownership>(
            ownership.decide(now_, unix_ms));
    }

    time_point now_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(domain_ownership_test,
                                      "domain_ownership");

} // namespace
