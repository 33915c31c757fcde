#include "goldcrestgate/core/leasing/heartbeat_plan.hpp"

#include "support/ownership_network.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <random>
#include <string>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::tests::ownership_network;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against heartbeats whose number grows with the square of the
// instances: at 147 instances they used all processor time of small ones.
class heartbeat_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(heartbeat_plan_test);
    CPPUNIT_TEST(changed_interval_makes_a_heartbeat_due);
    CPPUNIT_TEST(heartbeats_of_an_instance_do_not_grow_with_their_number);
    CPPUNIT_TEST(ended_owner_is_succeeded_at_once);
    CPPUNIT_TEST(powered_off_owner_is_succeeded_in_time);
    CPPUNIT_TEST(loss_of_owner_and_successors_leaves_one_owner);
    CPPUNIT_TEST(loss_of_all_leaves_one_owner);
    CPPUNIT_TEST(silent_connection_causes_no_claim);
    CPPUNIT_TEST(random_faults_leave_one_owner);
    CPPUNIT_TEST_SUITE_END();

public:
    void changed_interval_makes_a_heartbeat_due()
    {
        heartbeat_plan plan;
        time_point now{seconds{100}};
        instance_id const peer{1};
        CPPUNIT_ASSERT(plan.take_due(peer, std::nullopt, now));
        now += seconds{10};
        CPPUNIT_ASSERT(!plan.take_due(peer, std::nullopt, now));
        CPPUNIT_ASSERT(plan.take_due(peer, milliseconds{100}, now));
        now += milliseconds{50};
        CPPUNIT_ASSERT(!plan.take_due(peer, milliseconds{100}, now));
        now += milliseconds{50};
        CPPUNIT_ASSERT(plan.take_due(peer, milliseconds{100}, now));
        plan.expedite(peer);
        CPPUNIT_ASSERT(plan.take_due(peer, milliseconds{100}, now));
    }

    // In five failure domains, an instance has one owner near and four far.
    // The bounds are ten heartbeats a second to the own owner, one to each far
    // owner, and, between the two successors, ten more.
    void heartbeats_of_an_instance_do_not_grow_with_their_number()
    {
        for (std::uint16_t const size : std::array<std::uint16_t, 3>{8, 30, 60})
        {
            ownership_network network{std::vector<std::uint16_t>(5, size), 1};
            network.advance(seconds{5});
            std::vector<std::uint64_t> before(network.size());
            for (std::size_t i = 0; i < network.size(); ++i)
            {
                before[i] = network.sent_by(i);
            }
            network.advance(seconds{10});
            for (std::size_t i = 0; i < network.size(); ++i)
            {
                auto const owners = network.owners_of(network.domain_of(i));
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owners.size());
                auto const sent = network.sent_by(i) - before[i];
                std::uint64_t const bound =
                    owners.front() == i
                        ? 10U * 10 * (size - 1U) + 10U * 5 * 4 * size
                        : 10U * (10 + 10 + 4) + 24;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(sent), sent <= bound);
            }
        }
    }

    void ended_owner_is_succeeded_at_once()
    {
        ownership_network network{{30, 30}, 2};
        network.advance(seconds{3});
        network.kill(network.owners_of(domain_id{1}).front());
        network.advance(milliseconds{150});
        CPPUNIT_ASSERT(network.is_settled(domain_id{1}));
    }

    // The target is a successor within 500 ms of a loss; the interval of the
    // heartbeats and the check of the ownership add to the silence limit.
    void powered_off_owner_is_succeeded_in_time()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            ownership_network network{{30, 30}, seed};
            network.advance(seconds{3});
            network.power_off(network.owners_of(domain_id{1}).front());
            network.advance(milliseconds{600});
            CPPUNIT_ASSERT_MESSAGE(std::to_string(seed),
                                   network.is_settled(domain_id{1}));
        }
    }

    void loss_of_owner_and_successors_leaves_one_owner()
    {
        ownership_network network{{30, 30}, 3};
        network.advance(seconds{3});
        for (std::size_t large = 0; large < 3; ++large)
        {
            network.power_off(large);
        }
        network.advance(milliseconds{1500});
        CPPUNIT_ASSERT(network.is_settled(domain_id{1}));
        CPPUNIT_ASSERT(network.is_settled(domain_id{2}));
    }

    void loss_of_all_leaves_one_owner()
    {
        ownership_network network{{30, 30}, 4};
        network.advance(seconds{3});
        for (std::size_t node = 0; node < network.size(); ++node)
        {
            network.power_off(node);
        }
        network.advance(seconds{1});
        for (std::size_t node = 0; node < network.size(); ++node)
        {
            network.restart(node);
            network.advance(milliseconds{5});
        }
        network.advance(milliseconds{600});
        CPPUNIT_ASSERT(network.is_settled(domain_id{1}));
        CPPUNIT_ASSERT(network.is_settled(domain_id{2}));
    }

    void silent_connection_causes_no_claim()
    {
        ownership_network network{{30}, 5};
        network.advance(seconds{3});
        auto const claims = network.claims();
        auto const owner = network.owners_of(domain_id{1}).front();
        for (std::size_t node = 0; node < network.size(); ++node)
        {
            if (node != owner)
            {
                network.silence(node, owner, seconds{2});
                network.advance(seconds{1});
            }
        }
        CPPUNIT_ASSERT_EQUAL(claims, network.claims());
        CPPUNIT_ASSERT(network.is_settled(domain_id{1}));
    }

    // Joins, leaves, pauses and silent connections at random times; a fixed
    // seed fixes them all.
    void random_faults_leave_one_owner()
    {
        for (std::uint64_t seed = 1; seed <= 30; ++seed)
        {
            ownership_network network{{12, 5, 20}, seed};
            std::mt19937_64 random{seed};
            auto const pick = [&random](std::uint64_t limit)
            {
                return static_cast<std::size_t>(random() % limit);
            };
            network.advance(seconds{2});
            for (int fault = 0; fault < 40; ++fault)
            {
                auto const node = pick(network.size());
                auto const other = pick(network.size());
                switch (pick(5))
                {
                case 0:
                    network.kill(node);
                    break;
                case 1:
                    network.power_off(node);
                    break;
                case 2:
                    network.pause(node, milliseconds{100 * (1 + pick(30))});
                    break;
                case 3:
                    network.silence(node, other, seconds{4});
                    break;
                default:
                    network.restart(node);
                    break;
                }
                network.advance(milliseconds{20 * pick(20)});
            }
            for (std::size_t node = 0; node < network.size(); ++node)
            {
                network.restart(node);
            }
            network.advance(seconds{6});
            for (std::uint16_t domain = 1; domain <= 3; ++domain)
            {
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                                       network.is_settled(domain_id{domain}));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(heartbeat_plan_test, "heartbeat_plan");

} // namespace
