#include "goldcrestgate/io/event_loop.hpp"

#include <h2o.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>

#include <array>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace
{

using goldcrestgate::io::event_loop;
using goldcrestgate::io::timer;
using std::chrono::milliseconds;

/// More sockets than the events that h2o fetches in one poll, which are 256.
constexpr std::size_t many_sockets = 400;

std::string written_text = "x";

// Guards against processes that end in the event loop: with hundreds of
// connections, functions that ran outside of h2o's loop left its sockets in a
// state that it does not expect.
class event_loop_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_loop_test);
    CPPUNIT_TEST(posted_writes_to_many_sockets_are_notified_once);
    CPPUNIT_TEST(socket_may_be_closed_after_a_posted_write);
    CPPUNIT_TEST(exception_of_a_callback_is_reported);
    CPPUNIT_TEST(posted_work_and_timers_run_in_order);
    CPPUNIT_TEST(stall_is_reported_before_other_work);
    CPPUNIT_TEST(stall_is_reported_before_socket_events);
    CPPUNIT_TEST_SUITE_END();

public:
    void posted_writes_to_many_sockets_are_notified_once()
    {
        event_loop loop;
        auto const sockets = open_sockets(loop);
        written = 0;
        loop.post(
            [&sockets]
            {
                for (auto* const socket : sockets)
                {
                    h2o_socket_read_start(socket,
                                          [](h2o_socket_t*, char const*) {});
                    write(socket);
                }
            });
        run(loop);
        CPPUNIT_ASSERT_EQUAL(many_sockets, written);
        close_sockets(sockets);
    }

    void socket_may_be_closed_after_a_posted_write()
    {
        event_loop loop;
        auto const sockets = open_sockets(loop);
        written = 0;
        loop.post(
            [this, &sockets]
            {
                for (auto* const socket : sockets)
                {
                    write(socket);
                    h2o_socket_close(socket);
                }
                close_remote_ends();
            });
        run(loop);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, written);
    }

    void exception_of_a_callback_is_reported()
    {
        event_loop loop;
        std::string reported;
        loop.on_fault(
            [&reported](std::exception const& fault)
            {
                reported += fault.what();
            });
        bool ran_after = false;
        timer late{loop, []
                   {
                       throw std::runtime_error{"timer"};
                   }};
        loop.post(
            []
            {
                throw std::runtime_error{"posted "};
            });
        loop.post(
            [&]
            {
                ran_after = true;
                late.start_after(milliseconds{1});
            });
        run(loop);
        CPPUNIT_ASSERT(ran_after);
        CPPUNIT_ASSERT_EQUAL(std::string{"posted timer"}, reported);
    }

    void posted_work_and_timers_run_in_order()
    {
        event_loop loop;
        std::string order;
        timer second{loop, [&order]
                     {
                         order += "2";
                     }};
        timer first{loop, [&order]
                    {
                        order += "1";
                    }};
        second.start_after(milliseconds{6});
        first.start_after(milliseconds{2});
        loop.post(
            [&order]
            {
                order += "0";
            });
        run(loop);
        CPPUNIT_ASSERT_EQUAL(std::string{"012"}, order);
    }

    // Guards against work that is done on a permission that ran out while the
    // process was paused.
    void stall_is_reported_before_other_work()
    {
        event_loop loop;
        std::string order;
        loop.on_stall(milliseconds{20},
                      [&order](goldcrestgate::core::duration lateness)
                      {
                          order += lateness > milliseconds{40} ? "stall " : "?";
                      });
        timer overdue{loop, [&order]
                      {
                          order += "timer";
                      }};
        overdue.start_after(milliseconds{1});
        std::this_thread::sleep_for(milliseconds{60});
        loop.post(
            [&order]
            {
                order += "posted ";
            });
        run(loop);
        CPPUNIT_ASSERT_EQUAL(std::string{"stall posted timer"}, order);
    }

    // Guards against orders on an ownership that has ended: socket events are
    // handled before due timers, so they come first after a pause.
    void stall_is_reported_before_socket_events()
    {
        event_loop loop;
        std::string order;
        loop.on_stall(milliseconds{20},
                      [&order](goldcrestgate::core::duration)
                      {
                          order += "stall ";
                      });
        timer overdue{loop, [&order]
                      {
                          order += "timer";
                      }};
        overdue.start_after(milliseconds{1});
        auto const before = loop.now();
        loop.run_once(milliseconds{0});
        std::this_thread::sleep_for(milliseconds{60});
        // As a handler of a socket event does.
        for (int i = 0; i < 2; ++i)
        {
            loop.run_guarded(
                [&order]
                {
                    order += "request ";
                });
        }
        CPPUNIT_ASSERT(loop.input_since() <= before);
        run(loop);
        CPPUNIT_ASSERT_EQUAL(std::string{"stall request request timer"}, order);
    }

private:
    static void write(h2o_socket_t* socket)
    {
        auto buffer = h2o_iovec_init(written_text.data(), written_text.size());
        h2o_socket_write(socket, &buffer, 1,
                         [](h2o_socket_t*, char const*)
                         {
                             ++written;
                         });
    }

    static void run(event_loop& loop)
    {
        for (int i = 0; i < 30; ++i)
        {
            loop.run_once(milliseconds{1});
        }
    }

    std::vector<h2o_socket_t*> open_sockets(event_loop& loop)
    {
        std::vector<h2o_socket_t*> sockets;
        for (std::size_t i = 0; i < many_sockets; ++i)
        {
            std::array<int, 2> ends{};
            CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX,
                                               SOCK_STREAM | SOCK_NONBLOCK, 0,
                                               ends.data()));
            sockets.push_back(
                h2o_evloop_socket_create(loop.native(), ends[0], 0));
            remote_ends_.push_back(ends[1]);
        }
        return sockets;
    }

    void close_sockets(std::vector<h2o_socket_t*> const& sockets)
    {
        for (auto* const socket : sockets)
        {
            h2o_socket_close(socket);
        }
        close_remote_ends();
    }

    void close_remote_ends()
    {
        for (int const end : std::exchange(remote_ends_, {}))
        {
            close(end);
        }
    }

    static inline std::size_t written = 0;
    std::vector<int> remote_ends_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(event_loop_test, "event_loop");

} // namespace
