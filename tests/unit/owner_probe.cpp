#include "goldcrestgate/core/leasing/domain_ownership.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <set>
#include <string>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;

constexpr std::uint64_t unix_ms = 1'800'000'000'000U;
constexpr std::uint32_t own_weight = 500;
constexpr std::uint64_t owner_term = 7;

instance_key key(std::uint32_t instance)
{
    return {domain_id{1}, instance_id{instance}, incarnation{1}};
}

// Guards against instances that are cut off from the others and take executors
// from a living owner, which halves what is served.
class owner_probe_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(owner_probe_test);
    CPPUNIT_TEST(new_run_shows_a_living_owner);
    CPPUNIT_TEST(refusal_and_ended_run_show_nothing);
    CPPUNIT_TEST(sample_has_executors_of_all_racks);
    CPPUNIT_TEST(minority_leaves_a_living_owner_alone);
    CPPUNIT_TEST(minority_replaces_an_owner_without_orders);
    CPPUNIT_TEST(minority_without_executors_does_not_claim);
    CPPUNIT_TEST(majority_replaces_an_owner_that_is_cut_off);
    CPPUNIT_TEST(refused_owner_in_a_minority_waits);
    CPPUNIT_TEST(refused_claim_of_a_minority_is_repeated_at_once);
    CPPUNIT_TEST(claim_of_a_minority_that_is_refused_twice_waits);
    CPPUNIT_TEST(members_of_a_minority_claim_in_turn);
    CPPUNIT_TEST(refused_token_is_not_used_again);
    CPPUNIT_TEST(ended_owner_is_not_probed);
    CPPUNIT_TEST(probe_of_a_living_owner_finds_its_orders);
    CPPUNIT_TEST(answer_to_a_probe_is_no_claim);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        now_ = time_point{std::chrono::seconds{100}};
    }

    void new_run_shows_a_living_owner()
    {
        owner_probe probe;
        probe.answered(list_of({1}), now_);
        CPPUNIT_ASSERT(!probe.owner_lives(now_));
        probe.answered(list_of({1, 2}), now_);
        CPPUNIT_ASSERT(probe.owner_lives(now_ + milliseconds{400}));
        CPPUNIT_ASSERT(!probe.owner_lives(now_ + milliseconds{600}));
    }

    void refusal_and_ended_run_show_nothing()
    {
        owner_probe probe;
        probe.answered(list_of({1, 2}), now_);
        probe.answered(list_of({2}), now_);
        auto refusal = list_of({});
        refusal.outcome = order_outcome::fenced;
        probe.answered(refusal, now_);
        CPPUNIT_ASSERT(!probe.owner_lives(now_));
        CPPUNIT_ASSERT(probe.token_refused(now_));
    }

    void sample_has_executors_of_all_racks()
    {
        constexpr std::array<std::string_view, 4> racks{"r1", "r2", "r3", "r4"};
        constexpr std::uint32_t executors_per_rack = 20;
        std::vector<std::pair<executor_id, std::string_view>> candidates;
        for (std::uint32_t i = 0; i < racks.size() * executors_per_rack; ++i)
        {
            candidates.emplace_back(executor_id{i},
                                    racks.at(i / executors_per_rack));
        }
        std::set<std::uint32_t> chosen_racks;
        for (auto const id : owner_probe::choose(candidates))
        {
            chosen_racks.insert(id.value() / executors_per_rack);
        }
        CPPUNIT_ASSERT_EQUAL(racks.size(), chosen_racks.size());
    }

    void minority_leaves_a_living_owner_alone()
    {
        auto self = make_follower();
        lose_all(self);
        CPPUNIT_ASSERT(self.silent_owner_token(now_).has_value());
        CPPUNIT_ASSERT(!claims(self, {.owner_lives = true}));
        CPPUNIT_ASSERT(claims(self, {}));
    }

    void minority_replaces_an_owner_without_orders()
    {
        auto self = make_follower();
        lose_all(self);
        CPPUNIT_ASSERT(claims(self, {}));
    }

    void minority_without_executors_does_not_claim()
    {
        auto self = make_follower();
        lose_all(self);
        CPPUNIT_ASSERT(!claims(self, {.executors_known = false}));
    }

    // The majority has most callers, and the owner that is cut off gives
    // orders for its own callers only.
    void majority_replaces_an_owner_that_is_cut_off()
    {
        auto self = make_follower();
        lose_owner(self);
        CPPUNIT_ASSERT(claims(self, {.owner_lives = true}));
    }

    void refused_owner_in_a_minority_waits()
    {
        auto self = make_follower();
        lose_all(self);
        CPPUNIT_ASSERT(claims(self, {}));
        self.fenced(false, now_);
        static_cast<void>(self.decide(now_, unix_ms, {}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, self.term());
        now_ += milliseconds{2000};
        CPPUNIT_ASSERT(!claims(self, {}));
        now_ += milliseconds{1500};
        CPPUNIT_ASSERT(claims(self, {}));
    }

    // Guards against a late successor in a failure domain of two instances
    // whose clocks differ: the executors refuse its first term.
    void refused_claim_of_a_minority_is_repeated_at_once()
    {
        auto self = make_follower();
        lose_all(self);
        CPPUNIT_ASSERT(claims(self, {}));
        self.fenced(true, now_);
        static_cast<void>(self.decide(now_, unix_ms, {}));
        now_ += milliseconds{50};
        CPPUNIT_ASSERT(claims(self, {}));
    }

    // Guards against instances that are cut off from each other and repeat
    // their claims, each with a higher term, against the other's claim.
    void claim_of_a_minority_that_is_refused_twice_waits()
    {
        auto self = make_follower();
        lose_all(self);
        for (int refusal = 0; refusal < 2; ++refusal)
        {
            CPPUNIT_ASSERT(claims(self, {}));
            now_ += milliseconds{50};
            self.fenced(true, now_);
            static_cast<void>(self.decide(now_, unix_ms, {}));
            now_ += milliseconds{50};
        }
        CPPUNIT_ASSERT(!claims(self, {}));
        now_ += milliseconds{2500};
        CPPUNIT_ASSERT(!claims(self, {}));
        now_ += milliseconds{500};
        CPPUNIT_ASSERT(claims(self, {}));
    }

    // Guards against instances that are cut off from each other and claim at
    // the same moment, before a poll shows the claim of another one.
    void members_of_a_minority_claim_in_turn()
    {
        domain_ownership self{key(4), own_weight, now_};
        now_ += milliseconds{1000};
        hear(self, 1, 0);
        hear(self, 2, owner_term);
        hear(self, 3, 0);
        lose_all(self);
        // The successor, instance 1, claims first, then instance 3.
        CPPUNIT_ASSERT(!claims(self, {}));
        now_ += milliseconds{300};
        CPPUNIT_ASSERT(!claims(self, {.owner_lives = true}));
        CPPUNIT_ASSERT(!claims(self, {}));
        now_ += milliseconds{300};
        CPPUNIT_ASSERT(!claims(self, {}));
        now_ += milliseconds{50};
        CPPUNIT_ASSERT(claims(self, {}));
    }

    // Guards against a claim of a minority against an owner that it has not
    // heard from, and against polls with a token that is out of date.
    void refused_token_is_not_used_again()
    {
        auto self = make_follower();
        lose_all(self);
        CPPUNIT_ASSERT(!claims(self, {.newer_owner = true}));
        CPPUNIT_ASSERT(!self.silent_owner_token(now_));
        now_ += milliseconds{2500};
        CPPUNIT_ASSERT(!claims(self, {}));
        now_ += milliseconds{1000};
        CPPUNIT_ASSERT(claims(self, {}));
    }

    void ended_owner_is_not_probed()
    {
        auto self = make_follower();
        self.lost(instance_id{2}, true, now_);
        now_ += milliseconds{400};
        CPPUNIT_ASSERT(!self.silent_owner_token(now_));
    }

    void probe_of_a_living_owner_finds_its_orders()
    {
        tests::executor_fleet fleet{4};
        tests::fleet_owner owner{fleet};
        tests::fleet_owner other{fleet};
        owner.start(owner_term);
        other.list_all();
        probe(fleet, other);
        CPPUNIT_ASSERT(!other.scheduler.evidence(fleet.now()).owner_lives);
        owner.submit(1, 2, milliseconds{400});
        probe(fleet, other);
        CPPUNIT_ASSERT(other.scheduler.evidence(fleet.now()).owner_lives);
        owner.kill();
        for (int i = 0; i < 6; ++i)
        {
            probe(fleet, other);
        }
        CPPUNIT_ASSERT(!other.scheduler.evidence(fleet.now()).owner_lives);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

    // Guards against a start beside a run that began after the probe.
    void answer_to_a_probe_is_no_claim()
    {
        tests::executor_fleet fleet{4};
        tests::fleet_owner owner{fleet};
        tests::fleet_owner other{fleet};
        owner.start(owner_term);
        other.list_all();
        std::vector<scheduler_action> probes;
        other.scheduler.probe_owner(tests::fleet_owner::token_of(owner_term),
                                    fleet.now(), probes);
        CPPUNIT_ASSERT(!probes.empty());
        auto const& order = std::get<poll_executor>(probes.front());
        std::vector<scheduler_action> claims;
        other.scheduler.take_over(tests::fleet_owner::token_of(owner_term + 1),
                                  true, fleet.now(), claims);
        poll_answer late;
        late.order = order.order;
        late.executor = order.executor;
        late.outcome = order_outcome::accepted;
        late.clock = executor_clock{1};
        std::vector<scheduler_action> out;
        other.scheduler.poll_answered(late, fleet.now(), out);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             other.scheduler.load(fleet.now()).claimed);
    }

private:
    static poll_answer list_of(std::vector<std::uint16_t> const& tasks)
    {
        poll_answer answer;
        answer.executor = executor_id{1};
        answer.outcome = order_outcome::accepted;
        for (auto const task : tasks)
        {
            answer.running.push_back({{{client_job_id{1}, 0, task}, 1}});
        }
        return answer;
    }

    void hear(domain_ownership& self, std::uint32_t from, std::uint64_t term)
    {
        owner_heartbeat heartbeat;
        heartbeat.term = term;
        heartbeat.interval = milliseconds{100};
        heartbeat.weight = own_weight - from;
        if (term != 0)
        {
            heartbeat.successors = {instance_id{1}};
        }
        self.heartbeat_received(key(from), heartbeat, now_);
    }

    /// Instance 1, which follows instance 2 and hears from 3 and 4.
    domain_ownership make_follower()
    {
        domain_ownership self{key(1), own_weight, now_};
        now_ += milliseconds{1000};
        hear(self, 2, owner_term);
        hear(self, 3, 0);
        hear(self, 4, 0);
        CPPUNIT_ASSERT(!claims(self, {}));
        CPPUNIT_ASSERT(!self.silent_owner_token(now_));
        return self;
    }

    void lose_all(domain_ownership& self)
    {
        now_ += milliseconds{500};
        static_cast<void>(self.take_unresponsive(now_));
        now_ += milliseconds{100};
    }

    void lose_owner(domain_ownership& self)
    {
        lose_all(self);
        hear(self, 3, 0);
        hear(self, 4, 0);
    }

    bool claims(domain_ownership& self, executor_evidence const& evidence)
    {
        return std::holds_alternative<claim_ownership>(
            self.decide(now_, unix_ms, evidence));
    }

    static void probe(tests::executor_fleet& fleet, tests::fleet_owner& other)
    {
        std::vector<scheduler_action> out;
        other.scheduler.probe_owner(tests::fleet_owner::token_of(owner_term),
                                    fleet.now(), out);
        other.apply(out);
        fleet.run_for(milliseconds{110});
    }

    time_point now_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(owner_probe_test, "owner_probe");

} // namespace
