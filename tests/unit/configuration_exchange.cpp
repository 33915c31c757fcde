#include "support/configuration_network.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;
using tests::configuration_network;
using node_id = configuration_network::node_id;

/// The time within which a published version has to be in force.
constexpr core::duration apply_limit = 2s;

std::vector<std::size_t> const domain_sizes{13, 15, 13};
std::vector<node_id> const owners{0, 13, 28};

/// Lets the store serve the given instances only.
void serve_only(configuration_network& network,
                std::vector<node_id> const& served)
{
    for (node_id node = 0; node < network.size(); ++node)
    {
        network.serve(node, std::ranges::find(served, node) != served.end());
    }
}

/// @pre the version was published at least @a limit ago
void check_in_force(configuration_network const& network, std::uint64_t version,
                    core::duration limit = apply_limit, std::uint64_t seed = 0)
{
    for (node_id node = 0; node < network.size(); ++node)
    {
        auto const time = network.apply_time(node, version);
        CPPUNIT_ASSERT_MESSAGE("version " + std::to_string(version) +
                                   " at instance " + std::to_string(node) +
                                   ", seed " + std::to_string(seed),
                               time && *time <= limit);
    }
}

/// Cuts half of the links, and three quarters of the instances from the store,
/// at random, but leaves each instance a path to one that the store serves.
void cut_at_random(configuration_network& network, std::mt19937_64& random)
{
    std::vector<node_id> reached;
    std::vector<node_id> others;
    for (node_id node = 0; node < network.size(); ++node)
    {
        bool const served = random() % 4 == 0;
        network.serve(node, served);
        (served ? reached : others).push_back(node);
    }
    if (reached.empty())
    {
        reached.push_back(others.back());
        others.pop_back();
        network.serve(reached.front(), true);
    }
    for (node_id left = 0; left < network.size(); ++left)
    {
        for (node_id right = left + 1; right < network.size(); ++right)
        {
            network.cut(left, right, random() % 2 == 0);
        }
    }
    for (auto const node : others)
    {
        network.cut(node, reached[random() % reached.size()], false);
        reached.push_back(node);
    }
}

/// Checks that no instance takes its version for newer than it is.
void check_ages(configuration_network const& network)
{
    for (node_id node = 0; node < network.size(); ++node)
    {
        auto const age = network.age(node);
        CPPUNIT_ASSERT(!age || *age >= network.true_age(node));
    }
}

class configuration_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_exchange_test);
    CPPUNIT_TEST(versions_pass_owners_that_the_store_turns_away);
    CPPUNIT_TEST(versions_reach_a_failure_domain_without_an_owner);
    CPPUNIT_TEST(versions_pass_owners_that_are_cut_off);
    CPPUNIT_TEST(versions_in_close_succession_are_in_force_in_time);
    CPPUNIT_TEST(restarted_instance_gets_the_version_in_force);
    CPPUNIT_TEST(store_is_the_only_source_while_it_serves_all);
    CPPUNIT_TEST(document_is_sent_once_to_each_instance);
    CPPUNIT_TEST(age_is_bounded_while_one_instance_reads_the_store);
    CPPUNIT_TEST(delayed_answers_do_not_lower_the_age);
    CPPUNIT_TEST(random_cuts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against versions that stay with the instances that read them,
    // because only owners pass them on.
    void versions_pass_owners_that_the_store_turns_away()
    {
        configuration_network network{domain_sizes, 1};
        network.advance(3s);
        serve_only(network, {5});
        network.advance(3s);
        network.publish();
        network.advance(apply_limit);
        check_in_force(network, 2);
    }

    // Guards against a failure domain without an owner that is told by nobody.
    void versions_reach_a_failure_domain_without_an_owner()
    {
        configuration_network network{domain_sizes, 2};
        network.remove_owner(owners[1]);
        serve_only(network, {40});
        network.advance(3s);
        network.publish();
        network.advance(apply_limit);
        check_in_force(network, 2);
    }

    // Guards against a configuration whose only path between failure domains
    // are their owners.
    void versions_pass_owners_that_are_cut_off()
    {
        configuration_network network{domain_sizes, 3};
        for (auto const owner : owners)
        {
            for (node_id other = 0; other < network.size(); ++other)
            {
                bool const same_domain =
                    (owner == 0 && other < 13) ||
                    (owner == 13 && other >= 13 && other < 28) ||
                    (owner == 28 && other >= 28);
                if (!same_domain)
                {
                    network.cut(owner, other, true);
                }
            }
        }
        serve_only(network, {5});
        network.advance(3s);
        network.publish();
        network.advance(apply_limit);
        check_in_force(network, 2);
    }

    // Guards against a copy of a version that holds back the next one.
    void versions_in_close_succession_are_in_force_in_time()
    {
        configuration_network network{domain_sizes, 4};
        serve_only(network, {5, 20});
        network.advance(3s);
        for (int i = 0; i < 10; ++i)
        {
            network.publish();
            network.advance(300ms);
        }
        network.advance(apply_limit);
        for (std::uint64_t version = 2; version <= 11; ++version)
        {
            check_in_force(network, version);
        }
    }

    // Guards against an instance that starts while the store turns it away and
    // has no configuration.
    void restarted_instance_gets_the_version_in_force()
    {
        configuration_network network{domain_sizes, 5};
        serve_only(network, {5});
        network.advance(3s);
        network.restart(33);
        network.advance(1s);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, network.version(33));
    }

    // Guards against documents that all instances send to all others, which
    // saturated the links of small instances.
    void store_is_the_only_source_while_it_serves_all()
    {
        configuration_network network{domain_sizes, 6};
        for (int i = 0; i < 5; ++i)
        {
            network.advance(1s);
            network.publish();
        }
        network.advance(1s);
        check_in_force(network, 6);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.documents_sent());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, network.queries_sent());
    }

    // Guards against an instance that gets the same document from several
    // others.
    void document_is_sent_once_to_each_instance()
    {
        configuration_network network{domain_sizes, 7};
        network.advance(3s);
        serve_only(network, {5});
        network.advance(3s);
        network.publish();
        network.advance(5s);
        CPPUNIT_ASSERT_EQUAL(network.size() - 1, network.documents_sent());
    }

    // Guards against instances that cannot tell whether their configuration is
    // up to date although others can.
    void age_is_bounded_while_one_instance_reads_the_store()
    {
        configuration_network network{domain_sizes, 8};
        network.advance(3s);
        serve_only(network, {5});
        for (int i = 0; i < 100; ++i)
        {
            network.advance(100ms);
            for (node_id node = 0; node < network.size(); ++node)
            {
                CPPUNIT_ASSERT(network.age(node) <= apply_limit);
            }
        }
        serve_only(network, {});
        network.advance(10s);
        network.publish();
        for (node_id node = 0; node < network.size(); ++node)
        {
            CPPUNIT_ASSERT(network.age(node) >= 10s);
        }
    }

    // Guards against an answer that a slow connection delays and that then
    // counts as recent.
    void delayed_answers_do_not_lower_the_age()
    {
        configuration_network network{{2}, 9};
        network.advance(3s);
        serve_only(network, {1});
        network.delay(0, 1, 100ms);
        network.advance(2s);
        for (int i = 0; i < 200; ++i)
        {
            if (i % 7 == 0)
            {
                network.publish();
            }
            network.advance(15ms);
            check_ages(network);
        }
    }

    // Guards against combinations of the above: any instances may be cut off
    // from each other and from the store, as long as a path is left.
    void random_cuts()
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed)
        {
            std::mt19937_64 random{seed};
            configuration_network network{{4, 5, 4}, seed};
            network.advance(2s);
            for (int round = 0; round < 4; ++round)
            {
                cut_at_random(network, random);
                network.advance(1500ms);
                network.publish();
                for (int i = 0; i < 30; ++i)
                {
                    network.advance(100ms);
                    check_ages(network);
                }
                check_in_force(network, network.newest(), 3s, seed);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(configuration_exchange_test,
                                      "configuration_exchange");

} // namespace
