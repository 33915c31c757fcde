#include "goldcrestgate/io/http_server.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;

constexpr std::size_t budget_bytes = 100'000;

std::string head(std::string const& fields)
{
    return "POST /echo HTTP/1.1\r\nhost: x\r\n" + fields + "\r\n\r\n";
}

struct limited_server
{
    explicit limited_server(
        std::size_t max_connections = 100,
        core::request_limits limits = {.budget_bytes = budget_bytes})
        : server(loop, {.max_body_bytes = 262'144,
                        .max_connections = max_connections,
                        .limits = limits})
    {
        server.set_error_body(
            [](std::uint16_t status)
            {
                return "error " + std::to_string(status);
            });
        server.on_removal(
            [this](core::removal_reason reason)
            {
                removals.push_back(reason);
            });
        server.route(
            "POST", "/echo",
            [this](io::http_request const& request, io::http_reply const& reply)
            {
                ++handled;
                if (holds)
                {
                    held.push_back(reply);
                    return;
                }
                reply.send({200, std::string{request.body}, "text/plain", {}});
            });
        CPPUNIT_ASSERT(
            server.listen(io::socket_address::parse("127.0.0.1:0").value()));
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        for (int round = 0; round < 2000 && !condition(); ++round)
        {
            loop.run_once(10ms);
        }
        CPPUNIT_ASSERT(condition());
    }

    io::event_loop loop;
    io::http_server server;
    std::vector<core::removal_reason> removals;
    std::vector<io::http_reply> held;
    bool holds = false;
    int handled = 0;
};

class client
{
public:
    explicit client(limited_server& server)
        : server_(server)
        , descriptor_(socket(AF_INET, SOCK_STREAM, 0))
    {
        auto const address =
            io::socket_address::parse("127.0.0.1:" +
                                      std::to_string(server.server.port()))
                .value();
        CPPUNIT_ASSERT(connect(descriptor_, address.data(), address.size()) ==
                       0);
    }

    ~client()
    {
        close(descriptor_);
    }

    client(client const&) = delete;
    client& operator=(client const&) = delete;

    /// Sends text while the server reads it.
    client& write(std::string_view text)
    {
        while (!text.empty())
        {
            auto const count = send(descriptor_, text.data(), text.size(),
                                    MSG_DONTWAIT | MSG_NOSIGNAL);
            text.remove_prefix(count > 0 ? static_cast<std::size_t>(count) : 0);
            server_.loop.run_once(1ms);
            if (count < 0 && errno != EAGAIN)
            {
                break;
            }
        }
        return *this;
    }

    bool poll()
    {
        char buffer[65'536];
        auto const count =
            recv(descriptor_, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count > 0)
        {
            received.append(buffer, static_cast<std::size_t>(count));
        }
        return count == 0;
    }

    void await(std::string const& text)
    {
        server_.run_until(
            [&]
            {
                poll();
                return received.find(text) != std::string::npos;
            });
    }

    void await_closed()
    {
        server_.run_until(
            [&]
            {
                return poll();
            });
    }

    std::string received;

private:
    limited_server& server_;
    int descriptor_;
};

class request_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_limits_test);
    CPPUNIT_TEST(oldest_incomplete_request_gets_503);
    CPPUNIT_TEST(continued_body_is_counted);
    CPPUNIT_TEST(chunked_body_is_counted);
    CPPUNIT_TEST(persistent_connection_stays_limited);
    CPPUNIT_TEST(pipelined_bytes_are_counted);
    CPPUNIT_TEST(large_complete_request_is_rejected_unhandled);
    CPPUNIT_TEST(endless_headers_are_answered_431);
    CPPUNIT_TEST(stalled_body_is_answered_408);
    CPPUNIT_TEST(idle_connection_makes_room);
    CPPUNIT_TEST(connection_uses_one_descriptor);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a rejected client that sees a reset instead of its
    // response, and against the rejection of a younger request.
    void oldest_incomplete_request_gets_503()
    {
        limited_server server;
        client first{server};
        client second{server};
        auto const start = head("content-length: 80000");
        first.write(start + std::string(60'000, 'x'));
        server.run_until(
            [&]
            {
                return server.server.open_request_bytes() > 60'000;
            });
        second.write(start + std::string(60'000, 'y'));
        first.write(std::string(10'000, 'x'));
        first.await_closed();
        CPPUNIT_ASSERT_MESSAGE(first.received,
                               first.received.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(first.received.find("retry-after: 1\r\n") !=
                       std::string::npos);
        CPPUNIT_ASSERT(first.received.ends_with("error 503"));
        second.write(std::string(20'000, 'y'));
        second.await("200 OK");
        CPPUNIT_ASSERT_EQUAL(1, server.handled);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.removals.size());
        server.run_until(
            [&]
            {
                return server.server.open_request_bytes() == 0;
            });
    }

    // Guards against bodies that escape the budget because h2o sets its own
    // callback after `100 Continue`.
    void continued_body_is_counted()
    {
        limited_server server;
        client sender{server};
        sender.write(head("content-length: 200000\r\nexpect: 100-continue"));
        sender.await("100 Continue");
        sender.write(std::string(110'000, 'x'));
        sender.await_closed();
        CPPUNIT_ASSERT(sender.received.find("HTTP/1.1 503") !=
                       std::string::npos);
    }

    // Guards against bodies of unknown length that escape the budget.
    void chunked_body_is_counted()
    {
        limited_server server;
        client sender{server};
        sender.write(head("transfer-encoding: chunked"));
        for (int chunk = 0; chunk < 12; ++chunk)
        {
            sender.write("2710\r\n" + std::string(10'000, 'x') + "\r\n");
        }
        sender.await_closed();
        CPPUNIT_ASSERT(sender.received.starts_with("HTTP/1.1 503"));
    }

    // Guards against later requests that escape the budget because h2o sets its
    // own callback after a response.
    void persistent_connection_stays_limited()
    {
        limited_server server;
        client sender{server};
        for (int round = 0; round < 3; ++round)
        {
            sender.received.clear();
            sender.write(head("content-length: 5") + "hello");
            sender.await("hello");
        }
        CPPUNIT_ASSERT(server.removals.empty());
        sender.received.clear();
        sender.write(head("content-length: 200000") +
                     std::string(110'000, 'x'));
        sender.await_closed();
        CPPUNIT_ASSERT(sender.received.starts_with("HTTP/1.1 503"));
    }

    // Guards against memory for bytes that arrive beyond the end of a request
    // while it is being handled, and against their loss.
    void pipelined_bytes_are_counted()
    {
        limited_server server;
        server.holds = true;
        client sender{server};
        sender.write(head("content-length: 5") + "hello" +
                     head("content-length: 60000") + std::string(1'000, 'x'));
        server.run_until(
            [&]
            {
                return server.handled == 1;
            });
        sender.write(std::string(59'000, 'x'));
        for (int round = 0; round < 20; ++round)
        {
            server.loop.run_once(1ms);
        }
        CPPUNIT_ASSERT(server.server.open_request_bytes() > 1'000);
        CPPUNIT_ASSERT(server.server.open_request_bytes() < budget_bytes);
        server.holds = false;
        server.held.front().send({200, "first", "text/plain", {}});
        sender.await("first");
        sender.await("xxxxx");
        CPPUNIT_ASSERT_EQUAL(2, server.handled);
        CPPUNIT_ASSERT(server.removals.empty());
    }

    // Guards against a rejection after which the job still runs.
    void large_complete_request_is_rejected_unhandled()
    {
        limited_server server;
        server.holds = true;
        client first{server};
        client second{server};
        client small{server};
        auto const large =
            head("content-length: 60000") + std::string(60'000, 'x');
        first.write(large);
        second.write(large.substr(0, 20'000));
        second.write(large.substr(20'000));
        second.await_closed();
        CPPUNIT_ASSERT(second.received.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT_EQUAL(1, server.handled);
        server.holds = false;
        small.write(head("content-length: 5") + "hello");
        small.await("hello");
        server.held.front().send({200, "first", "text/plain", {}});
        first.await("first");
    }

    // Guards against headers that never end.
    void endless_headers_are_answered_431()
    {
        limited_server server;
        client sender{server};
        sender.write("GET / HTTP/1.1\r\nx: " + std::string(20'000, 'x'));
        sender.await_closed();
        CPPUNIT_ASSERT(sender.received.starts_with("HTTP/1.1 431"));
    }

    // Guards against a body that keeps its connection open without an end.
    void stalled_body_is_answered_408()
    {
        limited_server server{100, {.request_timeout = 300ms}};
        client sender{server};
        client idle{server};
        sender.write(head("content-length: 10") + "hello");
        sender.await_closed();
        CPPUNIT_ASSERT(sender.received.starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT(!idle.poll());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server.server.connection_count());
    }

    // Guards against a server that answers nobody while idle connections take
    // up its limit.
    void idle_connection_makes_room()
    {
        limited_server server{4};
        constexpr std::size_t clients = 12;
        std::vector<std::unique_ptr<client>> idle;
        idle.reserve(clients);
        for (std::size_t i = 0; i < clients; ++i)
        {
            idle.push_back(std::make_unique<client>(server));
        }
        client caller{server};
        caller.write(head("content-length: 5") + "hello");
        caller.await("hello");
        CPPUNIT_ASSERT(server.server.connection_count() <= 4);
        CPPUNIT_ASSERT(idle.front()->poll());
    }

    // Guards against two descriptors for each connection.
    void connection_uses_one_descriptor()
    {
        limited_server server;
        auto const count_descriptors = []
        {
            return std::distance(
                std::filesystem::directory_iterator{"/proc/self/fd"}, {});
        };
        auto const before = count_descriptors();
        std::vector<std::unique_ptr<client>> clients;
        for (int i = 0; i < 10; ++i)
        {
            clients.push_back(std::make_unique<client>(server));
            clients.back()->write(head("content-length: 5") + "hello");
            clients.back()->await("hello");
        }
        // One descriptor of the client, one of the server.
        CPPUNIT_ASSERT(count_descriptors() - before <= 20);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(request_limits_test, "request_limits");

} // namespace
