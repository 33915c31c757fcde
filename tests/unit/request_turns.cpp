#include "goldcrestgate/io/detail/request_turns.hpp"

#include "goldcrestgate/io/http_server.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;

constexpr std::size_t small_bytes = 100;
constexpr std::size_t large_bytes = 250'000;

/// Counts requests between two turns of a timer that is always due.
class turn_counter
{
public:
    explicit turn_counter(io::event_loop& loop)
        : timer_(loop,
                 [this]
                 {
                     longest_ = std::max(longest_, present_);
                     present_ = 0;
                     timer_.start_after(0ms);
                 })
    {
        timer_.start_after(0ms);
    }

    void count()
    {
        ++present_;
        ++total_;
    }

    [[nodiscard]] std::size_t total() const
    {
        return total_;
    }

    [[nodiscard]] std::size_t longest() const
    {
        return std::max(longest_, present_);
    }

private:
    std::size_t present_ = 0;
    std::size_t longest_ = 0;
    std::size_t total_ = 0;
    io::timer timer_;
};

class request_turns_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_turns_test);
    CPPUNIT_TEST(timers_have_their_turn_between_requests);
    CPPUNIT_TEST(large_requests_are_handled_one_at_a_time);
    CPPUNIT_TEST(small_requests_come_first);
    CPPUNIT_TEST(large_requests_do_not_wait_forever);
    CPPUNIT_TEST(requests_of_closed_connections_are_dropped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against heartbeats, polls and leases that wait until all requests
    // that have arrived are handled.
    void timers_have_their_turn_between_requests()
    {
        // Twice the requests that one iteration may handle.
        constexpr std::size_t bound = 32;
        constexpr std::size_t clients = 200;
        CPPUNIT_ASSERT(longest_turn(clients, "hello") <= bound);
    }

    // Guards against a hang by bodies that take long to parse.
    void large_requests_are_handled_one_at_a_time()
    {
        constexpr std::size_t bound = 2;
        constexpr std::size_t clients = 20;
        CPPUNIT_ASSERT(longest_turn(clients, std::string(60'000, 'x')) <=
                       bound);
    }

    // Guards against normal callers that wait behind bodies that take long to
    // parse.
    void small_requests_come_first()
    {
        io::event_loop loop;
        io::detail::request_turns turns{loop};
        std::string order;
        for (int i = 0; i < 3; ++i)
        {
            turns.take(large_bytes,
                       [&order]
                       {
                           order += 'L';
                       });
        }
        for (int i = 0; i < 3; ++i)
        {
            turns.take(small_bytes,
                       [&order]
                       {
                           order += 's';
                       });
        }
        run_until_idle(loop, turns);
        CPPUNIT_ASSERT_EQUAL(std::string{"LsssLL"}, order);
    }

    // Guards against a large request that is never handled because small ones
    // use up each iteration.
    void large_requests_do_not_wait_forever()
    {
        io::event_loop loop;
        io::detail::request_turns turns{loop};
        bool handled = false;
        for (int i = 0; i < 20; ++i)
        {
            turns.take(small_bytes, [] {});
        }
        turns.take(large_bytes,
                   [&handled]
                   {
                       handled = true;
                   });
        for (int round = 0; round < 4; ++round)
        {
            for (int i = 0; i < 20; ++i)
            {
                turns.take(small_bytes, [] {});
            }
            loop.run_once(0ms);
        }
        CPPUNIT_ASSERT(handled);
    }

    // Guards against the use of a request whose connection was closed before
    // its turn.
    void requests_of_closed_connections_are_dropped()
    {
        io::event_loop loop;
        int handled = 0;
        io::http_server server{loop, limited_options()};
        add_route(server,
                  [&handled]
                  {
                      ++handled;
                  });
        constexpr std::size_t clients = 40;
        std::vector<int> descriptors;
        descriptors.reserve(clients);
        for (std::size_t i = 0; i < clients; ++i)
        {
            descriptors.push_back(send_request(server, "hello"));
        }
        while (handled == 0)
        {
            loop.run_once(10ms);
        }
        std::ranges::for_each(descriptors, close);
        for (int round = 0; round < 100; ++round)
        {
            loop.run_once(1ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server.connection_count());
    }

private:
    static io::http_server_options limited_options()
    {
        return {.max_body_bytes = 262'144, .limits = core::request_limits{}};
    }

    template <typename Count>
    static void add_route(io::http_server& server, Count const& count)
    {
        server.route("POST", "/",
                     [count](io::http_request const&, io::http_reply const& out)
                     {
                         count();
                         out.send({200, "done"});
                     });
        CPPUNIT_ASSERT(
            server.listen(io::socket_address::parse("127.0.0.1:0").value()));
    }

    static int send_request(io::http_server const& server,
                            std::string const& body)
    {
        int const descriptor = socket(AF_INET, SOCK_STREAM, 0);
        auto const address = io::socket_address::parse(
                                 "127.0.0.1:" + std::to_string(server.port()))
                                 .value();
        CPPUNIT_ASSERT_EQUAL(
            0, connect(descriptor, address.data(), address.size()));
        auto const text = "POST /x HTTP/1.1\r\nhost: x\r\ncontent-length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body;
        CPPUNIT_ASSERT(send(descriptor, text.data(), text.size(), 0) ==
                       static_cast<ssize_t>(text.size()));
        return descriptor;
    }

    /// Returns the largest number of requests that were handled between two
    /// turns of the timers, when the requests of many clients wait in the
    /// kernel.
    static std::size_t longest_turn(std::size_t clients,
                                    std::string const& body)
    {
        io::event_loop loop;
        turn_counter counter{loop};
        io::http_server server{loop, limited_options()};
        add_route(server,
                  [&counter]
                  {
                      counter.count();
                  });
        std::vector<int> descriptors;
        descriptors.reserve(clients);
        for (std::size_t i = 0; i < clients; ++i)
        {
            descriptors.push_back(send_request(server, body));
        }
        for (int round = 0; round < 10'000 && counter.total() < clients;
             ++round)
        {
            loop.run_once(1ms);
        }
        CPPUNIT_ASSERT_EQUAL(clients, counter.total());
        std::ranges::for_each(descriptors, close);
        return counter.longest();
    }

    static void run_until_idle(io::event_loop& loop,
                               io::detail::request_turns const& turns)
    {
        for (int round = 0; round < 100 && turns.waiting() > 0; ++round)
        {
            loop.run_once(0ms);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(request_turns_test, "request_turns");

} // namespace
