#include "goldcrestgate/app/entry/topic_watch.hpp"
#include "goldcrestgate/io/http_server.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;

/// A store whose read calls are answered by the test.
struct watch_fixture
{
    io::event_loop loop;
    io::http_server server{loop, {}};
    std::vector<std::string> paths;
    std::vector<io::http_reply> replies;
    std::vector<std::string> snapshots;
    std::size_t appended = 0;

    watch_fixture()
    {
        server.route(
            "GET", "/api/",
            [this](io::http_request const& request, io::http_reply const& reply)
            {
                paths.emplace_back(request.path);
                replies.push_back(reply);
            });
        CPPUNIT_ASSERT(
            server.listen(io::socket_address::parse("127.0.0.1:0").value()));
    }

    [[nodiscard]] io::socket_address address() const
    {
        return io::socket_address::parse("127.0.0.1:" +
                                         std::to_string(server.port()))
            .value();
    }

    app::topic_callbacks callbacks()
    {
        return {[this](adapter::topic_page const& page)
                {
                    snapshots.push_back(page.records.at(0).value.value_or(""));
                },
                [this](adapter::topic_page const&)
                {
                    ++appended;
                },
                [](core::error const&)
                {
                    CPPUNIT_FAIL("a read failed");
                },
                [](app::read_outage const&) {},
                {}};
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

    void await_reads(std::size_t count)
    {
        run_until(
            [this, count]
            {
                return replies.size() == count;
            });
    }

    void send_snapshot(std::size_t read, std::string const& value) const
    {
        replies.at(read).send({200, R"({"items":[{"key":"e1","value":")" +
                                        value +
                                        R"(","offset":5}],"end_offset":6})"});
    }
};

class topic_watch_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(topic_watch_test);
    CPPUNIT_TEST(pause_is_followed_by_a_snapshot);
    CPPUNIT_TEST(read_of_before_a_pause_is_discarded);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an owner that reads on where it paused and applies
    // records that are older than the roster it has followed meanwhile.
    void pause_is_followed_by_a_snapshot()
    {
        watch_fixture fixture;
        adapter::store_client store{fixture.loop, fixture.address()};
        app::topic_watch watch{fixture.loop, store, adapter::topic::executors,
                               app::poll_timing{{}, 10ms}, fixture.callbacks()};
        watch.resume();
        fixture.await_reads(1);
        fixture.send_snapshot(0, first_value);
        fixture.await_reads(2);
        CPPUNIT_ASSERT_EQUAL(std::string{"/api/log-read"}, fixture.paths.at(1));
        fixture.replies.at(1).send({200, std::string(16, '\0')});
        fixture.await_reads(3);
        watch.pause();
        fixture.replies.at(2).send({200, std::string(16, '\0')});
        watch.resume();
        fixture.await_reads(4);
        CPPUNIT_ASSERT_EQUAL(std::string{"/api/log-newest"},
                             fixture.paths.at(3));
        fixture.send_snapshot(3, second_value);
        fixture.run_until(
            [&fixture]
            {
                return fixture.snapshots.size() == 2;
            });
        CPPUNIT_ASSERT_EQUAL(std::string{"new"}, fixture.snapshots.at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.appended);
    }

    // Guards against an answer that the store gave before a pause and that
    // arrives after it, when the roster is newer.
    void read_of_before_a_pause_is_discarded()
    {
        watch_fixture fixture;
        adapter::store_client store{fixture.loop, fixture.address()};
        app::topic_watch watch{fixture.loop, store, adapter::topic::executors,
                               app::poll_timing{{}, 10ms}, fixture.callbacks()};
        watch.resume();
        fixture.await_reads(1);
        watch.pause();
        watch.resume();
        fixture.send_snapshot(0, first_value);
        fixture.await_reads(2);
        CPPUNIT_ASSERT_EQUAL(std::string{"/api/log-newest"},
                             fixture.paths.at(1));
        fixture.send_snapshot(1, second_value);
        fixture.await_reads(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.snapshots.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"new"}, fixture.snapshots.at(0));
    }

private:
    /// The words "old" and "new" in base64.
    static constexpr char const* first_value = "b2xk";
    static constexpr char const* second_value = "bmV3";
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(topic_watch_test, "topic_watch");

} // namespace
