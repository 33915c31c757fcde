#include "goldcrestgate/core/membership/membership.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

constexpr instance_key key(std::uint32_t instance,
                           std::uint64_t incarnation_number = 1,
                           std::uint16_t domain = 1)
{
    return {domain_id{domain}, instance_id{instance},
            incarnation{incarnation_number}};
}

// Guards against wrong failure detection: a live instance that is considered
// gone, a lost one that is considered live, and an end inferred from
// insufficient evidence.
class membership_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(membership_test);
    CPPUNIT_TEST(an_unresponsive_instance_is_suspect_and_then_gone);
    CPPUNIT_TEST(a_suspect_is_probed_twice_through_two_peers);
    CPPUNIT_TEST(a_suspect_that_a_peer_confirms_is_not_gone);
    CPPUNIT_TEST(a_refused_connection_proves_the_end);
    CPPUNIT_TEST(a_refusal_from_before_the_first_contact_proves_nothing);
    CPPUNIT_TEST(a_newer_incarnation_at_the_address_proves_the_end);
    CPPUNIT_TEST(a_newer_incarnation_elsewhere_proves_nothing);
    CPPUNIT_TEST(a_message_of_an_older_incarnation_changes_nothing);
    CPPUNIT_TEST(a_local_pause_makes_no_peer_suspect);
    CPPUNIT_TEST(only_a_recent_acknowledgement_excludes_a_seal);
    CPPUNIT_TEST(a_peer_that_was_gone_is_not_acknowledged_again);
    CPPUNIT_TEST(rank_and_count_follow_the_live_view);
    CPPUNIT_TEST(copy_candidates_are_ready_and_prefer_other_racks);
    CPPUNIT_TEST(other_domains_get_one_heartbeat_each_in_turn);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        now_ = time_point{10s};
        members_ = membership_builder{}.self(key(1)).rack("r1").build(now_);
        changes_.clear();
        list({{2, "r1"}, {3, "r2"}, {4, "r3"}});
        for (std::uint32_t peer : {2U, 3U, 4U})
        {
            members_.connected(key(peer), now_);
        }
        // A refused connection proves an end only from one second after the
        // first contact on.
        run(1200ms, {2, 3, 4});
        changes_.clear();
    }

    void an_unresponsive_instance_is_suspect_and_then_gone()
    {
        run(700ms, {3, 4});
        CPPUNIT_ASSERT(state(2) == instance_state::live);
        run(150ms, {3, 4});
        CPPUNIT_ASSERT(state(2) == instance_state::suspect);
        run(750ms, {3, 4});
        CPPUNIT_ASSERT(state(2) == instance_state::gone);
        CPPUNIT_ASSERT_EQUAL(3U, members_.live_count());
    }

    void a_suspect_is_probed_twice_through_two_peers()
    {
        run(1600ms, {3, 4});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count<probe_request>());
    }

    void a_suspect_that_a_peer_confirms_is_not_gone()
    {
        for (int round = 0; round < 8; ++round)
        {
            run(500ms, {3, 4});
            members_.handle(key(3), probe_reply{key(2), 1, true}, now_);
        }
        CPPUNIT_ASSERT(state(2) == instance_state::suspect);
        members_.handle(key(3), probe_reply{key(2, 7), 1, true}, now_);
        run(1s, {3, 4});
        CPPUNIT_ASSERT(state(2) == instance_state::gone);
    }

    void a_refused_connection_proves_the_end()
    {
        members_.connection_lost(instance_id{2}, false, now_);
        CPPUNIT_ASSERT(state(2) == instance_state::suspect);
        members_.connection_lost(instance_id{2}, true, now_);
        CPPUNIT_ASSERT(state(2) == instance_state::ended);
    }

    void a_refusal_from_before_the_first_contact_proves_nothing()
    {
        members_.connected(key(5), now_);
        now_ += 900ms;
        members_.connection_lost(instance_id{5}, true, now_);
        CPPUNIT_ASSERT(state(5) == instance_state::suspect);
    }

    void a_newer_incarnation_at_the_address_proves_the_end()
    {
        members_.connected(key(2, 2), now_);
        CPPUNIT_ASSERT(state(2, 1) == instance_state::ended);
        CPPUNIT_ASSERT(state(2, 2) == instance_state::live);
        CPPUNIT_ASSERT(!members_.state_of(key(2, 3)));
    }

    void a_newer_incarnation_elsewhere_proves_nothing()
    {
        list({{2, "r1", "127.0.0.1:99"}, {3, "r2"}, {4, "r3"}});
        members_.connected(key(2, 2), now_);
        CPPUNIT_ASSERT(state(2, 1) == instance_state::gone);
    }

    void a_message_of_an_older_incarnation_changes_nothing()
    {
        members_.connected(key(2, 5), now_);
        members_.connected(key(2, 1), now_);
        members_.handle(key(2, 1), heartbeat{key(2, 1), {}, true, 0, 99, 0},
                        now_);
        CPPUNIT_ASSERT(state(2, 5) == instance_state::live);
        CPPUNIT_ASSERT(state(2, 1) == instance_state::ended);
    }

    void a_local_pause_makes_no_peer_suspect()
    {
        now_ += 30s;
        advance();
        CPPUNIT_ASSERT(state(2) == instance_state::live);
        CPPUNIT_ASSERT(changes_.empty());
    }

    void only_a_recent_acknowledgement_excludes_a_seal()
    {
        members_.connection_lost(instance_id{2}, true, now_);
        CPPUNIT_ASSERT(!ended(2).may_have_sealed);
        run(500ms, {4});
        members_.connection_lost(instance_id{3}, true, now_);
        CPPUNIT_ASSERT(ended(3).may_have_sealed);
    }

    void a_peer_that_was_gone_is_not_acknowledged_again()
    {
        run(2s, {3, 4});
        CPPUNIT_ASSERT(state(2) == instance_state::gone);
        sent_.clear();
        run(500ms, {2, 3, 4});
        CPPUNIT_ASSERT(state(2) == instance_state::live);
        for (auto const& one : sent_)
        {
            auto const* received = std::get_if<heartbeat>(&one.message);
            CPPUNIT_ASSERT(received == nullptr ||
                           (received->heard_sequence == 0) ==
                               (one.peer == instance_id{2}));
        }
    }

    void rank_and_count_follow_the_live_view()
    {
        CPPUNIT_ASSERT_EQUAL(0U, members_.rank());
        CPPUNIT_ASSERT_EQUAL(4U, members_.live_count());
        members_.connected(key(0), now_);
        members_.connected(key(9, 1, 2), now_);
        CPPUNIT_ASSERT_EQUAL(1U, members_.rank());
        CPPUNIT_ASSERT_EQUAL(5U, members_.live_count());
    }

    void copy_candidates_are_ready_and_prefer_other_racks()
    {
        auto candidates = members_.copy_candidates();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, candidates.size());
        CPPUNIT_ASSERT(candidates.back() == key(2));
        list({{2, "r1"}, {3, "r2", "", true}, {4, "r3"}});
        candidates = members_.copy_candidates();
        CPPUNIT_ASSERT((candidates == std::vector{key(4), key(2)}));
    }

    void other_domains_get_one_heartbeat_each_in_turn()
    {
        for (std::uint32_t peer : {11U, 12U, 13U})
        {
            members_.connected(key(peer, 1, 2), now_);
        }
        sent_.clear();
        run(3s, {2, 3, 4});
        std::vector<std::uint32_t> contacted;
        for (auto const& one : sent_)
        {
            if (one.peer.value() > 10)
            {
                contacted.push_back(one.peer.value());
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, contacted.size());
        std::sort(contacted.begin(), contacted.end());
        CPPUNIT_ASSERT((contacted == std::vector{11U, 12U, 13U}));
    }

private:
    struct listed
    {
        std::uint32_t id = 0;
        std::string rack;
        std::string address = {};
        bool leaving = false;
    };

    void list(std::vector<listed> const& given)
    {
        std::vector<listed_instance> entries;
        for (auto const& one : given)
        {
            listed_instance entry;
            entry.id = one.id;
            entry.domain = domain_id{1};
            entry.rack = one.rack;
            entry.peer_address = one.address.empty()
                                     ? "127.0.0.1:" + std::to_string(one.id)
                                     : one.address;
            entry.leaving = one.leaving;
            entries.push_back(entry);
        }
        std::vector<action> out;
        members_.update_list(entries, now_, out);
        take(out);
    }

    void advance()
    {
        std::vector<action> out;
        members_.advance(now_, {}, out);
        take(out);
    }

    // Advances the time while the given peers of the failure domain send
    // heartbeats that acknowledge all heartbeats of this instance.
    void run(duration time, std::vector<std::uint32_t> const& responding)
    {
        constexpr duration step = 50ms;
        for (; time > duration::zero(); time -= step)
        {
            now_ += step;
            ++sequence_;
            for (auto const peer : responding)
            {
                members_.handle(
                    key(peer),
                    heartbeat{key(peer), {}, true, 0, sequence_, sequence_},
                    now_);
            }
            if (members_.next_deadline() <= now_)
            {
                advance();
            }
        }
    }

    void take(std::vector<action> const& out)
    {
        for (auto const& one : out)
        {
            if (auto const* message = std::get_if<send_to_peer>(&one))
            {
                sent_.push_back(*message);
            }
        }
        for (auto const& change : members_.take_changes())
        {
            changes_.push_back(change);
        }
    }

    instance_state state(std::uint32_t peer,
                         std::uint64_t incarnation_number = 1) const
    {
        return members_.state_of(key(peer, incarnation_number)).value();
    }

    instance_changed ended(std::uint32_t peer)
    {
        take({});
        for (auto const& change : changes_)
        {
            auto const* one = std::get_if<instance_changed>(&change);
            if (one != nullptr && one->instance.instance.value() == peer &&
                one->state == instance_state::ended)
            {
                return *one;
            }
        }
        CPPUNIT_FAIL("no change to the state ended was reported");
    }

    template <typename Message>
    std::size_t count() const
    {
        return static_cast<std::size_t>(std::count_if(
            sent_.begin(), sent_.end(),
            [](send_to_peer const& one)
            {
                return std::holds_alternative<Message>(one.message);
            }));
    }

    time_point now_{};
    std::uint64_t sequence_ = 0;
    membership members_ = membership_builder{}.self(key(1)).build(now_);
    std::vector<send_to_peer> sent_;
    std::vector<membership_change> changes_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(membership_test, "membership");

} // namespace
