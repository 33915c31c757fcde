#include "goldcrestgate/io/blocking_request.hpp"
#include "goldcrestgate/io/http_server.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;

/// A server and a client on one loop.
struct fixture
{
    io::event_loop loop;
    io::http_server server;

    explicit fixture(io::http_server_options options)
        : server(loop, options)
    {
        server.set_error_body(
            [](std::uint16_t status)
            {
                return "error " + std::to_string(status);
            });
        server.route(
            "POST", "/echo",
            [](io::http_request const& request, io::http_reply const& reply)
            {
                reply.send({200,
                            std::string{request.body},
                            "text/plain",
                            {{"x-extra", "1"}}});
            });
        auto const address = io::socket_address::parse("127.0.0.1:0");
        CPPUNIT_ASSERT(server.listen(address.value()));
    }

    [[nodiscard]] io::socket_address address() const
    {
        return io::socket_address::parse("127.0.0.1:" +
                                         std::to_string(server.port()))
            .value();
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
};

class raw_caller
{
public:
    explicit raw_caller(io::socket_address const& address)
        : descriptor_(socket(AF_INET, SOCK_STREAM, 0))
    {
        CPPUNIT_ASSERT(connect(descriptor_, address.data(), address.size()) ==
                       0);
    }

    ~raw_caller()
    {
        close(descriptor_);
    }

    raw_caller(raw_caller const&) = delete;
    raw_caller& operator=(raw_caller const&) = delete;

    void write(std::string const& text) const
    {
        CPPUNIT_ASSERT(send(descriptor_, text.data(), text.size(), 0) ==
                       static_cast<ssize_t>(text.size()));
    }

    void close_sending_side() const
    {
        shutdown(descriptor_, SHUT_WR);
    }

    /// Reads without waiting; returns whether the connection has ended.
    bool read_end()
    {
        char buffer[4096];
        ssize_t const count =
            recv(descriptor_, buffer, sizeof buffer, MSG_DONTWAIT);
        if (count > 0)
        {
            received.append(buffer, static_cast<std::size_t>(count));
        }
        return count == 0;
    }

    std::string received;

private:
    int descriptor_;
};

class http_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_test);
    CPPUNIT_TEST(calls_over_the_connection_limit_wait_and_are_answered);
    CPPUNIT_TEST(refused_connection_is_reported_as_not_sent);
    CPPUNIT_TEST(lost_answer_is_reported_as_perhaps_arrived);
    CPPUNIT_TEST(late_answer_ends_the_call_and_is_dropped);
    CPPUNIT_TEST(later_answer_and_gone_caller_are_seen);
    CPPUNIT_TEST(slow_caller_is_answered_408);
    CPPUNIT_TEST(half_closed_caller_is_answered_400);
    CPPUNIT_TEST(body_over_the_limit_is_answered_413);
    CPPUNIT_TEST(caller_that_still_sends_reads_its_answer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers that reach the wrong call when connections are
    // used again, and against calls lost in the wait for a connection.
    void calls_over_the_connection_limit_wait_and_are_answered()
    {
        fixture f{{}};
        io::http_client client{f.loop, f.address(), {.max_connections = 2}};
        constexpr std::size_t count = 50;
        std::size_t right = 0;
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const text = "body " + std::to_string(i);
            client.start({.method = "POST", .path = "/echo", .body = text},
                         [&right, text](io::http_result const& result)
                         {
                             right += result.body == text &&
                                      result.header("x-extra") == "1";
                         });
        }
        f.run_until(
            [&]
            {
                return client.open_calls() == 0;
            });
        CPPUNIT_ASSERT_EQUAL(count, right);
        CPPUNIT_ASSERT(f.server.connection_count() <= 2);
    }

    // Guards against a task counted as possibly run though its server was
    // never reached.
    void refused_connection_is_reported_as_not_sent()
    {
        fixture f{{}};
        auto const address = f.address();
        f.server.close_gracefully();
        io::http_client client{f.loop, address};
        std::optional<io::http_result> ended;
        client.start({},
                     [&](io::http_result const& result)
                     {
                         ended = result;
                     });
        f.run_until(
            [&]
            {
                return ended.has_value();
            });
        CPPUNIT_ASSERT(ended->outcome == io::call_outcome::not_sent);
        CPPUNIT_ASSERT(ended->failure->code ==
                       core::error_code::connect_failed);
    }

    // Guards against a second start of a task that a server received before
    // its connection ended.
    void lost_answer_is_reported_as_perhaps_arrived()
    {
        fixture f{{.request_timeout = 10s}};
        int const listener = socket(AF_INET, SOCK_STREAM, 0);
        auto const any = io::socket_address::parse("127.0.0.1:0").value();
        CPPUNIT_ASSERT(bind(listener, any.data(), any.size()) == 0);
        CPPUNIT_ASSERT(listen(listener, 1) == 0);
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
        auto const address = io::socket_address::parse(
            "127.0.0.1:" + std::to_string(ntohs(bound.sin_port)));
        io::http_client client{f.loop, address.value()};
        std::optional<io::http_result> ended;
        client.start({},
                     [&](io::http_result const& result)
                     {
                         ended = result;
                     });
        f.loop.run_once(10ms);
        int const accepted = accept(listener, nullptr, nullptr);
        char first = 0;
        f.loop.run_once(10ms);
        CPPUNIT_ASSERT(recv(accepted, &first, 1, 0) == 1);
        close(accepted);
        f.run_until(
            [&]
            {
                return ended.has_value();
            });
        close(listener);
        CPPUNIT_ASSERT(ended->outcome == io::call_outcome::possibly_received);
    }

    // Guards against an answer that arrives after its call ended and is taken
    // for the answer to the next call.
    void late_answer_ends_the_call_and_is_dropped()
    {
        fixture f{{}};
        std::vector<io::http_reply> held;
        f.server.route("GET", "/hold",
                       [&](io::http_request const&, io::http_reply const& reply)
                       {
                           held.push_back(reply);
                       });
        io::http_client client{f.loop, f.address(), {.max_connections = 1}};
        std::optional<io::http_result> first;
        std::optional<io::http_result> second;
        client.start({.path = "/hold", .timeout = 20ms},
                     [&](io::http_result const& result)
                     {
                         first = result;
                     });
        f.run_until(
            [&]
            {
                return first.has_value();
            });
        CPPUNIT_ASSERT(first->outcome == io::call_outcome::possibly_received);
        CPPUNIT_ASSERT(first->failure->code == core::error_code::io_timeout);
        client.start({.method = "POST", .path = "/echo", .body = "second"},
                     [&](io::http_result const& result)
                     {
                         second = result;
                     });
        held.at(0).send({200, "late", "text/plain", {}});
        f.run_until(
            [&]
            {
                return second.has_value();
            });
        CPPUNIT_ASSERT_EQUAL(std::string{"second"}, second->body);
    }

    // Guards against waits that are held for callers that have left.
    void later_answer_and_gone_caller_are_seen()
    {
        fixture f{{}};
        bool gone = false;
        std::vector<io::http_reply> held;
        f.server.route("GET", "/hold",
                       [&](io::http_request const&, io::http_reply const& reply)
                       {
                           reply.on_caller_disconnect(
                               [&]
                               {
                                   gone = true;
                               });
                           held.push_back(reply);
                       });
        {
            raw_caller const caller{f.address()};
            caller.write("GET /hold HTTP/1.1\r\nhost: x\r\n\r\n");
            f.run_until(
                [&]
                {
                    return held.size() == 1;
                });
            CPPUNIT_ASSERT(!gone);
        }
        f.run_until(
            [&]
            {
                return gone;
            });
        held.at(0).send({200, "for nobody", "text/plain", {}});
        f.run_until(
            [&]
            {
                return f.server.connection_count() == 0;
            });
    }

    // Guards against a caller that is left without an answer as its request
    // never ends.
    void slow_caller_is_answered_408()
    {
        fixture f{{.request_timeout = 50ms}};
        raw_caller caller{f.address()};
        caller.write("POST /echo HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc");
        f.run_until(
            [&]
            {
                return caller.read_end();
            });
        CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT(caller.received.ends_with("error 408"));
    }

    // Guards against a caller that closes its sending side too early and is
    // left without an answer.
    void half_closed_caller_is_answered_400()
    {
        fixture f{{}};
        raw_caller caller{f.address()};
        caller.write("POST /echo HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc");
        caller.close_sending_side();
        f.run_until(
            [&]
            {
                return caller.read_end();
            });
        CPPUNIT_ASSERT_MESSAGE(caller.received,
                               caller.received.starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT(caller.received.ends_with("error 400"));
    }

    // Guards against memory taken by bodies without bound.
    void body_over_the_limit_is_answered_413()
    {
        fixture f{{.max_body_bytes = 100}};
        raw_caller caller{f.address()};
        caller.write("POST /echo HTTP/1.1\r\ncontent-length: 101\r\n\r\n");
        f.run_until(
            [&]
            {
                return caller.read_end();
            });
        CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 413"));
        CPPUNIT_ASSERT(caller.received.ends_with("error 413"));
    }

    // Guards against a reset that takes the answer from a caller which is
    // still sending its body.
    void caller_that_still_sends_reads_its_answer()
    {
        fixture f{{.max_body_bytes = 100}};
        raw_caller caller{f.address()};
        caller.write("POST /echo HTTP/1.1\r\ncontent-length: 200000\r\n\r\n");
        for (int part = 0; part < 20; ++part)
        {
            caller.write(std::string(10'000, 'x'));
            f.loop.run_once(1ms);
        }
        caller.close_sending_side();
        f.run_until(
            [&]
            {
                return caller.read_end();
            });
        CPPUNIT_ASSERT(caller.received.ends_with("error 413"));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(http_test, "http");

} // namespace
