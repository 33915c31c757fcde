#include "goldcrestgate/io/peer_network.hpp"
#include "support/free_address.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;

constexpr std::uint32_t own_id = 1;
constexpr std::size_t frame_limit = 200'000;
constexpr std::size_t partial_limit = 300'000;
constexpr std::size_t unidentified_limit = 4;

core::hello make_hello(std::uint32_t id)
{
    return {{core::domain_id{1}, core::instance_id{id}, core::incarnation{7}},
            "127.0.0.1:1"};
}

/// @brief The network of an instance with low limits.
struct limited_network
{
    limited_network()
        : network(
              loop, make_hello(own_id),
              {.frame_limit_bytes = frame_limit,
               .partial_frame_limit_bytes = partial_limit,
               .unidentified_limit = unidentified_limit},
              [](core::event const&) {},
              [this](core::error const& failure)
              {
                  failures.push_back(failure);
              })
    {
        CPPUNIT_ASSERT(network.listen(address));
    }

    void run(int rounds = 50)
    {
        for (int round = 0; round < rounds; ++round)
        {
            loop.run_once(1ms);
        }
    }

    io::event_loop loop;
    io::peer_network network;
    io::socket_address address = goldcrestgate::tests::free_address();
    std::vector<core::error> failures;
};

/// @brief A connection that sends what no peer would.
class raw_peer
{
public:
    explicit raw_peer(limited_network& receiver)
        : receiver_(receiver)
        , descriptor_(socket(AF_INET, SOCK_STREAM, 0))
    {
        auto const& address = receiver.address;
        CPPUNIT_ASSERT_EQUAL(
            0, connect(descriptor_, address.data(), address.size()));
    }

    ~raw_peer()
    {
        close(descriptor_);
    }

    raw_peer(raw_peer const&) = delete;
    raw_peer& operator=(raw_peer const&) = delete;

    raw_peer& identify(std::uint32_t id)
    {
        return write(hello_frame(id));
    }

    /// Sends the header of a frame and a part of its content.
    raw_peer& write_part(std::size_t size, std::size_t sent)
    {
        auto frame = hello_frame(2);
        for (std::size_t i = 0; i < sizeof(std::uint32_t); ++i)
        {
            frame[i] = static_cast<char>(size >> (8 * i));
        }
        frame.resize(wire::frame_header_bytes);
        return write(frame + std::string(sent, 'x'));
    }

    [[nodiscard]] bool is_closed() const
    {
        char buffer[4096];
        ssize_t count = 0;
        do
        {
            count = recv(descriptor_, buffer, sizeof buffer, MSG_DONTWAIT);
        } while (count > 0);
        return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    static std::string hello_frame(std::uint32_t id)
    {
        std::string frame;
        auto const result = wire::append_frame(frame, make_hello(id));
        CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(result));
        return frame;
    }

    raw_peer& write(std::string_view text)
    {
        while (!text.empty())
        {
            auto const count = send(descriptor_, text.data(), text.size(),
                                    MSG_DONTWAIT | MSG_NOSIGNAL);
            if (count < 0 && errno != EAGAIN)
            {
                break;
            }
            text.remove_prefix(count > 0 ? static_cast<std::size_t>(count) : 0);
            receiver_.run(1);
        }
        receiver_.run();
        return *this;
    }

    limited_network& receiver_;
    int descriptor_;
};

// Guards against memory and descriptors that grow with connections to the
// listener for peers.
class peer_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(peer_limits_test);
    CPPUNIT_TEST(large_frame_before_the_hello_is_refused);
    CPPUNIT_TEST(frame_over_the_limit_is_refused);
    CPPUNIT_TEST(partial_frames_share_a_limit);
    CPPUNIT_TEST(oldest_unidentified_connection_makes_room);
    CPPUNIT_TEST_SUITE_END();

public:
    void large_frame_before_the_hello_is_refused()
    {
        limited_network receiver;
        raw_peer sender{receiver};
        sender.write_part(10'000, 100);
        CPPUNIT_ASSERT(sender.is_closed());
    }

    void frame_over_the_limit_is_refused()
    {
        limited_network receiver;
        raw_peer sender{receiver};
        sender.identify(2).write_part(frame_limit - 100, 1'000);
        CPPUNIT_ASSERT(!sender.is_closed());
        raw_peer other{receiver};
        other.identify(3).write_part(frame_limit + 100, 1'000);
        CPPUNIT_ASSERT(other.is_closed());
        CPPUNIT_ASSERT(receiver.failures.back().code ==
                       core::error_code::frame_too_large);
    }

    void partial_frames_share_a_limit()
    {
        limited_network receiver;
        raw_peer small{receiver};
        raw_peer large{receiver};
        raw_peer last{receiver};
        small.identify(2).write_part(frame_limit - 100, 80'000);
        large.identify(3).write_part(frame_limit - 100, 150'000);
        CPPUNIT_ASSERT(!large.is_closed());
        last.identify(4).write_part(frame_limit - 100, 100'000);
        CPPUNIT_ASSERT(large.is_closed());
        CPPUNIT_ASSERT(!small.is_closed());
        CPPUNIT_ASSERT(!last.is_closed());
    }

    void oldest_unidentified_connection_makes_room()
    {
        limited_network receiver;
        raw_peer identified{receiver};
        identified.identify(2);
        std::vector<std::unique_ptr<raw_peer>> silent;
        for (std::size_t i = 0; i < unidentified_limit + 2; ++i)
        {
            silent.push_back(std::make_unique<raw_peer>(receiver));
            receiver.run();
        }
        CPPUNIT_ASSERT_EQUAL(
            std::ptrdiff_t{2},
            std::ranges::count_if(silent,
                                  [](auto const& connection)
                                  {
                                      return connection->is_closed();
                                  }));
        CPPUNIT_ASSERT(silent.front()->is_closed());
        CPPUNIT_ASSERT(!identified.is_closed());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(peer_limits_test, "peer_limits");

} // namespace
