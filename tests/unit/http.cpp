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

/// A server on an event loop, which clients can share.
struct http_fixture
{
    io::event_loop loop;
    io::http_server server;

    explicit http_fixture(io::http_server_options options)
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

    /// Reads available bytes without blocking; returns whether the connection
    /// has been closed by the server.
    bool poll_closed()
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

/// Adds the path /hold, whose handler keeps the replies and notes a disconnect.
/// @pre the references outlive the fixture's requests
void hold_requests(http_fixture& fixture, std::vector<io::http_reply>& replies,
                   bool& disconnected)
{
    fixture.server.route(
        "GET", "/hold",
        [&](io::http_request const&, io::http_reply const& reply)
        {
            reply.on_caller_disconnect(
                [&]
                {
                    disconnected = true;
                });
            replies.push_back(reply);
        });
}

/// Leaves idle connections by answering calls that were made together.
void open_connections(http_fixture& fixture, io::http_client& client,
                      std::size_t count,
                      std::vector<io::http_reply> const& replies)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        client.start({.path = "/hold"}, [](io::http_result const&) {});
    }
    fixture.run_until(
        [&]
        {
            return replies.size() == count;
        });
    for (auto const& reply : replies)
    {
        reply.send({200, "answer", "text/plain", {}});
    }
    fixture.run_until(
        [&]
        {
            return client.open_calls() == 0;
        });
    CPPUNIT_ASSERT_EQUAL(count, fixture.server.connection_count());
}

/// Makes a call that is answered only after its timeout.
void await_timeout(http_fixture& fixture, io::http_client& client,
                   std::vector<io::http_reply> const& replies,
                   bool const& disconnected)
{
    bool timed_out = false;
    client.start({.path = "/hold", .timeout = 30ms},
                 [&](io::http_result const& result)
                 {
                     timed_out =
                         result.failure &&
                         result.failure->code == core::error_code::io_timeout;
                 });
    fixture.run_until(
        [&]
        {
            return timed_out && disconnected;
        });
    replies.back().send({200, "late", "text/plain", {}});
}

class http_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_test);
    CPPUNIT_TEST(calls_over_the_connection_limit_are_queued_and_answered);
    CPPUNIT_TEST(refused_connection_is_reported_as_not_sent);
    CPPUNIT_TEST(lost_response_is_reported_as_possibly_received);
    CPPUNIT_TEST(late_response_after_a_timeout_is_dropped);
    CPPUNIT_TEST(silent_connection_is_closed_with_the_idle_ones);
    CPPUNIT_TEST(timeout_on_a_new_connection_keeps_the_idle_ones);
    CPPUNIT_TEST(deferred_reply_and_caller_disconnect_are_handled);
    CPPUNIT_TEST(slow_caller_is_answered_408);
    CPPUNIT_TEST(half_closed_caller_is_answered_400);
    CPPUNIT_TEST(request_of_a_disconnected_caller_is_recognised);
    CPPUNIT_TEST(disconnects_are_notified_on_request);
    CPPUNIT_TEST(body_over_the_limit_is_answered_413);
    CPPUNIT_TEST(caller_that_is_still_sending_receives_its_response);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against responses that are matched to the wrong call when
    // connections are reused, and against calls that are lost while they are
    // queued for a connection.
    void calls_over_the_connection_limit_are_queued_and_answered()
    {
        http_fixture fixture{{}};
        io::http_client client{
            fixture.loop, fixture.address(), {.max_connections = 2}};
        constexpr std::size_t count = 50;
        std::size_t correct_count = 0;
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const text = "body " + std::to_string(i);
            client.start({.method = "POST", .path = "/echo", .body = text},
                         [&correct_count, text](io::http_result const& result)
                         {
                             correct_count += result.body == text &&
                                              result.header("x-extra") == "1";
                         });
        }
        fixture.run_until(
            [&]
            {
                return client.open_calls() == 0;
            });
        CPPUNIT_ASSERT_EQUAL(count, correct_count);
        CPPUNIT_ASSERT(fixture.server.connection_count() <= 2);
    }

    // Guards against a task that counts as possibly run although its request
    // was never sent, as its server refused the connection.
    void refused_connection_is_reported_as_not_sent()
    {
        http_fixture fixture{{}};
        auto const address = fixture.address();
        fixture.server.close_gracefully();
        io::http_client client{fixture.loop, address};
        std::optional<io::http_result> ended;
        client.start({},
                     [&](io::http_result const& result)
                     {
                         ended = result;
                     });
        fixture.run_until(
            [&]
            {
                return ended.has_value();
            });
        CPPUNIT_ASSERT(ended->outcome == io::call_outcome::not_sent);
        CPPUNIT_ASSERT(ended->failure->code ==
                       core::error_code::connect_failed);
    }

    // Guards against starting a task twice: the server has received the
    // request, but the connection is lost before its response.
    void lost_response_is_reported_as_possibly_received()
    {
        http_fixture fixture{{.request_timeout = 10s}};
        int const listener = socket(AF_INET, SOCK_STREAM, 0);
        auto const any = io::socket_address::parse("127.0.0.1:0").value();
        CPPUNIT_ASSERT(bind(listener, any.data(), any.size()) == 0);
        CPPUNIT_ASSERT(listen(listener, 1) == 0);
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
        auto const address = io::socket_address::parse(
            "127.0.0.1:" + std::to_string(ntohs(bound.sin_port)));
        io::http_client client{fixture.loop, address.value()};
        std::optional<io::http_result> ended;
        client.start({},
                     [&](io::http_result const& result)
                     {
                         ended = result;
                     });
        fixture.loop.run_once(10ms);
        int const accepted = accept(listener, nullptr, nullptr);
        char first = 0;
        fixture.loop.run_once(10ms);
        CPPUNIT_ASSERT(recv(accepted, &first, 1, 0) == 1);
        close(accepted);
        fixture.run_until(
            [&]
            {
                return ended.has_value();
            });
        close(listener);
        CPPUNIT_ASSERT(ended->outcome == io::call_outcome::possibly_received);
    }

    // Guards against a late response that is matched to the next call: the
    // first call times out, and its response is sent after the second has
    // started.
    void late_response_after_a_timeout_is_dropped()
    {
        http_fixture fixture{{}};
        std::vector<io::http_reply> replies;
        fixture.server.route(
            "GET", "/hold",
            [&](io::http_request const&, io::http_reply const& reply)
            {
                replies.push_back(reply);
            });
        io::http_client client{
            fixture.loop, fixture.address(), {.max_connections = 1}};
        std::optional<io::http_result> first;
        std::optional<io::http_result> second;
        client.start({.path = "/hold", .timeout = 20ms},
                     [&](io::http_result const& result)
                     {
                         first = result;
                     });
        fixture.run_until(
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
        replies.at(0).send({200, "late", "text/plain", {}});
        fixture.run_until(
            [&]
            {
                return second.has_value();
            });
        CPPUNIT_ASSERT_EQUAL(std::string{"second"}, second->body);
    }

    // Guards against calls that time out one after another, each on another
    // idle connection, after all connections to a server have gone silent.
    void silent_connection_is_closed_with_the_idle_ones()
    {
        // Neither side closes idle connections by itself.
        http_fixture fixture{{.request_timeout = 1h}};
        std::vector<io::http_reply> replies;
        bool disconnected = false;
        hold_requests(fixture, replies, disconnected);
        io::http_client client{
            fixture.loop, fixture.address(), {.idle_timeout = 1h}};
        open_connections(fixture, client, 3, replies);
        await_timeout(fixture, client, replies, disconnected);
        fixture.run_until(
            [&]
            {
                return fixture.server.connection_count() == 0;
            });
    }

    // Guards against new connections at each timeout of a server that hangs
    // without having lost its connections.
    void timeout_on_a_new_connection_keeps_the_idle_ones()
    {
        // Neither side closes idle connections by itself.
        http_fixture fixture{{.request_timeout = 1h}};
        std::vector<io::http_reply> replies;
        bool disconnected = false;
        hold_requests(fixture, replies, disconnected);
        io::http_client client{
            fixture.loop, fixture.address(), {.idle_timeout = 1h}};
        client.start({.path = "/hold"}, [](io::http_result const&) {});
        fixture.run_until(
            [&]
            {
                return replies.size() == 1;
            });
        await_timeout(fixture, client, replies, disconnected);
        replies.at(0).send({200, "answer", "text/plain", {}});
        fixture.run_until(
            [&]
            {
                return client.open_calls() == 0;
            });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.server.connection_count());
    }

    // Guards against requests that stay open after their caller has
    // disconnected, and against a failure when they are answered afterwards.
    void deferred_reply_and_caller_disconnect_are_handled()
    {
        http_fixture fixture{{}};
        bool disconnected = false;
        std::vector<io::http_reply> replies;
        hold_requests(fixture, replies, disconnected);
        {
            raw_caller const caller{fixture.address()};
            caller.write("GET /hold HTTP/1.1\r\nhost: x\r\n\r\n");
            fixture.run_until(
                [&]
                {
                    return replies.size() == 1;
                });
            CPPUNIT_ASSERT(!disconnected);
        }
        fixture.run_until(
            [&]
            {
                return disconnected;
            });
        replies.at(0).send({200, "unread", "text/plain", {}});
        fixture.run_until(
            [&]
            {
                return fixture.server.connection_count() == 0;
            });
    }

    // Guards against work for a caller that has left: its request waited in the
    // socket while the process was paused, and the hangup was reported before
    // the request was read.
    void request_of_a_disconnected_caller_is_recognised()
    {
        http_fixture fixture{{}};
        std::vector<bool> disconnected;
        fixture.server.route(
            "GET", "/late",
            [&](io::http_request const&, io::http_reply const& reply)
            {
                disconnected.push_back(reply.caller_disconnected());
                reply.send({200, "", "text/plain", {}});
            });
        raw_caller const waiting{fixture.address()};
        waiting.write("GET /late HTTP/1.1\r\nhost: x\r\n\r\n");
        {
            raw_caller const leaving{fixture.address()};
            leaving.write("GET /late HTTP/1.1\r\nhost: x\r\n\r\n");
        }
        fixture.run_until(
            [&]
            {
                return disconnected.size() == 2;
            });
        CPPUNIT_ASSERT(disconnected[0] != disconnected[1]);
    }

    // Guards against an answer to a disconnect that comes after other work: the
    // disconnects of all callers so far can be handled at once.
    void disconnects_are_notified_on_request()
    {
        http_fixture fixture{{}};
        bool disconnected = false;
        std::vector<io::http_reply> replies;
        hold_requests(fixture, replies, disconnected);
        {
            raw_caller const caller{fixture.address()};
            caller.write("GET /hold HTTP/1.1\r\nhost: x\r\n\r\n");
            fixture.run_until(
                [&]
                {
                    return replies.size() == 1;
                });
        }
        fixture.server.notify_disconnects();
        CPPUNIT_ASSERT(disconnected);
        replies.at(0).send({200, "unread", "text/plain", {}});
    }

    // Guards against closing the connection without a response when a caller
    // does not finish its request within the timeout.
    void slow_caller_is_answered_408()
    {
        http_fixture fixture{{.request_timeout = 50ms}};
        raw_caller caller{fixture.address()};
        caller.write("POST /echo HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc");
        fixture.run_until(
            [&]
            {
                return caller.poll_closed();
            });
        CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 408"));
        CPPUNIT_ASSERT(caller.received.ends_with("error 408"));
    }

    // Guards against closing the connection without a response when a caller
    // shuts down its sending side before its request is complete.
    void half_closed_caller_is_answered_400()
    {
        http_fixture fixture{{}};
        raw_caller caller{fixture.address()};
        caller.write("POST /echo HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc");
        caller.close_sending_side();
        fixture.run_until(
            [&]
            {
                return caller.poll_closed();
            });
        CPPUNIT_ASSERT_MESSAGE(caller.received,
                               caller.received.starts_with("HTTP/1.1 400"));
        CPPUNIT_ASSERT(caller.received.ends_with("error 400"));
    }

    // Guards against unbounded memory use by large request bodies.
    void body_over_the_limit_is_answered_413()
    {
        http_fixture fixture{{.max_body_bytes = 100}};
        raw_caller caller{fixture.address()};
        caller.write("POST /echo HTTP/1.1\r\ncontent-length: 101\r\n\r\n");
        fixture.run_until(
            [&]
            {
                return caller.poll_closed();
            });
        CPPUNIT_ASSERT(caller.received.starts_with("HTTP/1.1 413"));
        CPPUNIT_ASSERT(caller.received.ends_with("error 413"));
    }

    // Guards against a connection reset that discards the response before the
    // caller, which is still sending its body, has read it.
    void caller_that_is_still_sending_receives_its_response()
    {
        http_fixture fixture{{.max_body_bytes = 100}};
        raw_caller caller{fixture.address()};
        caller.write("POST /echo HTTP/1.1\r\ncontent-length: 200000\r\n\r\n");
        for (int part = 0; part < 20; ++part)
        {
            caller.write(std::string(10'000, 'x'));
            fixture.loop.run_once(1ms);
        }
        caller.close_sending_side();
        fixture.run_until(
            [&]
            {
                return caller.poll_closed();
            });
        CPPUNIT_ASSERT(caller.received.ends_with("error 413"));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(http_test, "http");

} // namespace
