#include "goldcrestgate/io/peer_network.hpp"
#include "support/free_address.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;
using goldcrestgate::tests::free_address;

/// An instance with its peer network, which records events and errors.
struct node
{
    node(io::event_loop& loop, std::uint32_t number, std::uint64_t incarnation,
         io::socket_address const& own_address)
        : key{core::domain_id{1}, core::instance_id{number},
              core::incarnation{incarnation}}
        , address(own_address)
        , network(
              loop, {key, address.text()}, {.initial_reconnect_delay = 10ms},
              [this](core::event event)
              {
                  events.push_back(std::move(event));
              },
              [this](core::error const& failure)
              {
                  errors.push_back(failure);
              })
    {
    }

    void listen()
    {
        CPPUNIT_ASSERT(network.listen(address));
    }

    void connect(node const& other)
    {
        network.apply(core::connect_peer{other.key.domain, other.key.instance,
                                         other.address.text()});
    }

    void send(node const& other, std::uint64_t nonce)
    {
        network.apply(core::send_to_peer{
            other.key.instance, core::probe_request{other.key, nonce}});
    }

    template <typename Event>
    [[nodiscard]] std::vector<Event> events_of() const
    {
        std::vector<Event> found;
        for (auto const& event : events)
        {
            if (auto const* const match = std::get_if<Event>(&event))
            {
                found.push_back(*match);
            }
        }
        return found;
    }

    core::instance_key key;
    io::socket_address address;
    std::vector<core::event> events;
    std::vector<core::error> errors;
    io::peer_network network;
};

class peer_network_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_network_test);
    CPPUNIT_TEST(messages_arrive_once_and_in_order);
    CPPUNIT_TEST(refused_connection_is_distinguished_from_a_lost_one);
    CPPUNIT_TEST(new_incarnation_replaces_the_older_one);
    CPPUNIT_TEST(loss_of_one_of_two_connections_is_reported);
    CPPUNIT_TEST(earlier_connection_ends_once_the_peer_sends_on_another);
    CPPUNIT_TEST(malformed_frame_ends_only_its_connection);
    CPPUNIT_TEST(another_instance_at_the_address_is_rejected);
    CPPUNIT_TEST(largest_job_body_is_forwarded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a frame limit below callers.body_limit_bytes: a job would
    // be accepted when submitted to its owner, but could not be forwarded to
    // it.
    void largest_job_body_is_forwarded()
    {
        constexpr std::size_t largest_body = std::size_t{15} * 1024 * 1024;
        node a{loop_, 1, 10, free_address()};
        node b{loop_, 2, 20, free_address()};
        connect_both(a, b);
        core::forward_request request;
        request.submission = {b.key, 1};
        request.body.assign(largest_body, 'x');
        request.body.back() = 'y';
        a.network.apply(core::send_to_peer{b.key.instance, request});
        run_until(
            [&]
            {
                return !b.events_of<core::peer_received>().empty();
            });
        auto const received = b.events_of<core::peer_received>();
        CPPUNIT_ASSERT(
            std::get<core::forward_request>(received.front().message).body ==
            request.body);
        CPPUNIT_ASSERT(a.errors.empty() && b.errors.empty());
    }

    // Guards against copies that miss records: if both sides connect, there are
    // two connections, and messages could be lost, duplicated or reordered.
    void messages_arrive_once_and_in_order()
    {
        node a{loop_, 1, 10, free_address()};
        node b{loop_, 2, 20, free_address()};
        connect_both(a, b);
        constexpr std::uint64_t count = 1000;
        for (std::uint64_t i = 0; i < count; ++i)
        {
            a.send(b, i);
            if (i % 100 == 0)
            {
                loop_.run_once(1ms);
            }
        }
        run_until(
            [&]
            {
                return b.events_of<core::peer_received>().size() == count;
            });
        std::uint64_t next = 0;
        for (auto const& received : b.events_of<core::peer_received>())
        {
            CPPUNIT_ASSERT(received.from == a.key);
            CPPUNIT_ASSERT_EQUAL(
                next++, std::get<core::probe_request>(received.message).nonce);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             a.events_of<core::peer_connected>().size());
    }

    // Guards against starting tasks twice because a lost connection is taken as
    // proof that the peer's process has ended; only a refused one proves it.
    void refused_connection_is_distinguished_from_a_lost_one()
    {
        node a{loop_, 1, 10, free_address()};
        auto b = std::make_unique<node>(loop_, 2, 20, free_address());
        connect_both(a, *b);
        b.reset();
        run_until(
            [&]
            {
                return a.events_of<core::peer_lost>().size() >= 2;
            });
        CPPUNIT_ASSERT(!a.events_of<core::peer_lost>().at(0).refused);
        CPPUNIT_ASSERT(a.events_of<core::peer_lost>().at(1).refused);
    }

    // Guards against messages that are meant for an ended process and reach the
    // next incarnation at the same address.
    void new_incarnation_replaces_the_older_one()
    {
        node a{loop_, 1, 10, free_address()};
        auto const address = free_address();
        auto b = std::make_unique<node>(loop_, 2, 20, address);
        connect_both(a, *b);
        b.reset();
        node c{loop_, 2, 21, address};
        c.listen();
        run_until(
            [&]
            {
                return a.events_of<core::peer_connected>().size() == 2;
            });
        CPPUNIT_ASSERT(a.events_of<core::peer_connected>().at(1).peer == c.key);
        a.send(c, 5);
        run_until(
            [&]
            {
                return c.events_of<core::peer_received>().size() == 1;
            });
    }

    // Guards against withdrawals, offers and verdicts that are lost unnoticed:
    // one of the two connections to a peer was reset, and the other remained.
    void loss_of_one_of_two_connections_is_reported()
    {
        node a{loop_, 1, 10, free_address()};
        node b{loop_, 2, 20, free_address()};
        connect_both(a, b);
        auto second = std::make_unique<node>(loop_, 2, 20, free_address());
        second->connect(a);
        run_until(
            [&]
            {
                return !second->events_of<core::peer_connected>().empty();
            });
        second.reset();
        run_until(
            [&]
            {
                return !a.events_of<core::peer_messages_lost>().empty();
            });
        auto const lost = a.events_of<core::peer_messages_lost>();
        CPPUNIT_ASSERT(lost.front().peer == b.key);
        CPPUNIT_ASSERT(a.events_of<core::peer_lost>().empty());
    }

    // Guards against messages of an earlier connection that arrive after those
    // of a later one, such as an offer after the withdrawal of its job.
    void earlier_connection_ends_once_the_peer_sends_on_another()
    {
        node a{loop_, 1, 10, free_address()};
        node b{loop_, 2, 20, free_address()};
        connect_both(a, b);
        b.send(a, 1);
        run_until(
            [&]
            {
                return a.events_of<core::peer_received>().size() == 1;
            });
        // Another connection of the same process.
        node later{loop_, 2, 20, free_address()};
        later.connect(a);
        run_until(
            [&]
            {
                return !later.events_of<core::peer_connected>().empty();
            });
        CPPUNIT_ASSERT(a.events_of<core::peer_messages_lost>().empty());
        later.send(a, 2);
        run_until(
            [&]
            {
                return !a.events_of<core::peer_messages_lost>().empty();
            });
        auto const received = a.events_of<core::peer_received>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, received.size());
        CPPUNIT_ASSERT(received.at(0).connection != 0);
        CPPUNIT_ASSERT(received.at(0).connection != received.at(1).connection);
        run_until(
            [&]
            {
                return !b.events_of<core::peer_messages_lost>().empty() ||
                       !b.events_of<core::peer_lost>().empty();
            });
    }

    // Guards against a malformed frame from one sender that disrupts the
    // connections to other peers.
    void malformed_frame_ends_only_its_connection()
    {
        node a{loop_, 1, 10, free_address()};
        node b{loop_, 2, 20, free_address()};
        connect_both(a, b);
        int const malformed_sender = socket(AF_INET, SOCK_STREAM, 0);
        CPPUNIT_ASSERT(::connect(malformed_sender, a.address.data(),
                                 a.address.size()) == 0);
        CPPUNIT_ASSERT(::send(malformed_sender, "GET / HTTP/1.1\r\n", 16, 0) ==
                       16);
        run_until(
            [&]
            {
                return a.errors.size() == 1;
            });
        close(malformed_sender);
        CPPUNIT_ASSERT(a.errors.at(0).code ==
                       core::error_code::peer_version_mismatch);
        CPPUNIT_ASSERT(a.errors.at(0).peer.starts_with("127.0.0.1:"));
        CPPUNIT_ASSERT_EQUAL(std::string{"read a frame"}, a.errors.at(0).step);
        b.send(a, 1);
        run_until(
            [&]
            {
                return a.events_of<core::peer_received>().size() == 1;
            });
    }

    // Guards against copies that are sent to another instance because it now
    // uses the address of the intended peer.
    void another_instance_at_the_address_is_rejected()
    {
        node a{loop_, 1, 10, free_address()};
        node b{loop_, 2, 20, free_address()};
        b.listen();
        a.network.apply(core::connect_peer{
            core::domain_id{1}, core::instance_id{3}, b.address.text()});
        run_until(
            [&]
            {
                return !a.errors.empty();
            });
        CPPUNIT_ASSERT(a.events_of<core::peer_connected>().empty());
    }

private:
    void connect_both(node& a, node& b)
    {
        a.listen();
        b.listen();
        a.connect(b);
        b.connect(a);
        run_until(
            [&]
            {
                return !a.events_of<core::peer_connected>().empty() &&
                       !b.events_of<core::peer_connected>().empty();
            });
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        for (int round = 0; round < 2000 && !condition(); ++round)
        {
            loop_.run_once(10ms);
        }
        CPPUNIT_ASSERT(condition());
    }

    io::event_loop loop_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(peer_network_test, "peer_network");

} // namespace
