#include "goldcrestgate/app/entry/topic_watch.hpp"
#include "goldcrestgate/io/http_server.hpp"
#include "platform/store_client.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;

/// A store that gives prepared answers and keeps the queries that it received.
struct scripted_store
{
    io::event_loop loop;
    io::http_server server{loop, {}};
    std::deque<std::string> snapshots;
    std::vector<std::string> queries;
    std::unique_ptr<adapter::store_client> client;

    scripted_store()
    {
        server.route(
            "GET", "/api/log-newest",
            [this](io::http_request const& request, io::http_reply const& reply)
            {
                queries.emplace_back(request.query);
                auto const body = snapshots.front();
                if (snapshots.size() > 1)
                {
                    snapshots.pop_front();
                }
                reply.send({200, body, "application/json", {}});
            });
        server.route(
            "GET", "/api/log-read",
            [this](io::http_request const& request, io::http_reply const& reply)
            {
                queries.emplace_back(request.query);
                reply.send({200, std::string(16, '\0'), "", {}});
            });
        auto const any = io::socket_address::parse("127.0.0.1:0");
        CPPUNIT_ASSERT(server.listen(any.value()));
        auto const address = io::socket_address::parse(
            "127.0.0.1:" + std::to_string(server.port()));
        client = std::make_unique<adapter::store_client>(loop, address.value());
    }

    template <typename Condition>
    bool run_until(Condition condition)
    {
        for (int round = 0; round < 100 && !condition(); ++round)
        {
            loop.run_once(10ms);
        }
        return condition();
    }

    std::optional<adapter::topic_result> read_snapshot()
    {
        std::optional<adapter::topic_result> result;
        client->read_snapshot(adapter::topic::executors, 2s,
                              [&result](adapter::topic_result answer)
                              {
                                  result = std::move(answer);
                              });
        run_until(
            [&]
            {
                return result.has_value() || queries.size() > 20;
            });
        return result;
    }
};

std::string page(std::string const& items, bool has_more)
{
    return R"({"items":[)" + items + R"(],"has_more":)" +
           (has_more ? "true" : "false") + R"(,"end_offset":9})";
}

// The value is "x" in base64.
std::string item(std::string const& key)
{
    return R"({"key":")" + key + R"(","value":"eA==","offset":1})";
}

// Guards against an item of another writer that hides the other entries of the
// store, or stops an instance from following it.
class odd_store_pages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_store_pages_test);
    CPPUNIT_TEST(odd_item_costs_only_itself);
    CPPUNIT_TEST(page_with_only_odd_values_is_passed_over);
    CPPUNIT_TEST(page_without_progress_ends_the_read);
    CPPUNIT_TEST(last_key_is_encoded_in_the_query);
    CPPUNIT_TEST(watch_reads_on_after_a_fault_of_its_callback);
    CPPUNIT_TEST(only_an_instance_publishes_its_address);
    CPPUNIT_TEST_SUITE_END();

public:
    void odd_item_costs_only_itself()
    {
        for (std::string const& odd :
             {std::string{"1e999"}, std::string{"null"},
              std::string{R"({"key":1e999})"},
              std::string{R"({"key":"k","value":"eA==","offset":1e999})"},
              std::string{"{\"key\":\"\xff\",\"value\":\"eA==\"}"},
              std::string(1000, '[') + std::string(1000, ']'),
              std::string{R"({"key":"k","value":"?"})"},
              std::string{R"({"key":"k","value":5})"}})
        {
            scripted_store store;
            store.snapshots = {page(odd + "," + item("e1"), false)};
            auto const result = store.read_snapshot();
            auto const what = odd.substr(0, 60);
            CPPUNIT_ASSERT_MESSAGE(what, result);
            auto const* const read = std::get_if<adapter::topic_page>(&*result);
            CPPUNIT_ASSERT_MESSAGE(what, read != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::string{"e1"}, read->records.back().key);
        }
    }

    // Guards against a page that is requested forever.
    void page_with_only_odd_values_is_passed_over()
    {
        scripted_store store;
        store.snapshots = {page(R"({"key":"k1","value":5})", true),
                           page(item("k2"), false)};
        auto const result = store.read_snapshot();
        CPPUNIT_ASSERT(result);
        CPPUNIT_ASSERT(std::holds_alternative<adapter::topic_page>(*result));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, store.queries.size());
        CPPUNIT_ASSERT(store.queries[1].ends_with("&after=k1"));
    }

    void page_without_progress_ends_the_read()
    {
        for (auto const& items : {std::string{"5"}, item(""), item("k")})
        {
            scripted_store store;
            store.snapshots = {page(items, true)};
            auto const result = store.read_snapshot();
            CPPUNIT_ASSERT_MESSAGE(items, result);
            CPPUNIT_ASSERT(std::holds_alternative<core::error>(*result));
            CPPUNIT_ASSERT(store.queries.size() <= 2);
        }
    }

    // Guards against keys that end the request line, or are cut off.
    void last_key_is_encoded_in_the_query()
    {
        scripted_store store;
        store.snapshots = {page(item("a b\\r\\n&c=d%/\u00e9"), true),
                           page(item("z"), false)};
        auto const result = store.read_snapshot();
        CPPUNIT_ASSERT(result);
        CPPUNIT_ASSERT(std::holds_alternative<adapter::topic_page>(*result));
        CPPUNIT_ASSERT(store.queries.at(1).ends_with(
            "&after=a%20b%0D%0A%26c%3Dd%25%2F%C3%A9"));
    }

    // Guards against connections to an instance that go to the port of another
    // writer's record.
    void only_an_instance_publishes_its_address()
    {
        using adapter::published_address;
        CPPUNIT_ASSERT(published_address({"10.1.0.9:80", "10.1.0.9:80"}) ==
                       "10.1.0.9:80");
        CPPUNIT_ASSERT(!published_address({"x", "10.1.0.9:80"}));
        CPPUNIT_ASSERT(!published_address({"10.1.0.9:80", "10.1.0.9:81"}));
        CPPUNIT_ASSERT(!published_address({"10.1.0.9:80", std::nullopt}));
        for (std::string const address :
             {"", "10.1.0.9:0", "10.1.0.9:99999", "host:80", "10.1.0.9"})
        {
            CPPUNIT_ASSERT_MESSAGE(address,
                                   !published_address({address, address}));
        }
    }

    // Guards against an instance that no longer follows the store after one
    // error.
    void watch_reads_on_after_a_fault_of_its_callback()
    {
        scripted_store store;
        store.snapshots = {page(item("k"), false)};
        app::topic_watch watch{store.loop,
                               *store.client,
                               adapter::topic::executors,
                               {{}, 5ms},
                               {[](adapter::topic_page const&)
                                {
                                    throw std::runtime_error{"fault"};
                                },
                                [](adapter::topic_page const&) {},
                                [](core::error const&) {},
                                [](app::read_outage const&) {},
                                {}}};
        watch.resume();
        CPPUNIT_ASSERT(store.run_until(
            [&store]
            {
                return store.queries.size() >= 3;
            }));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_store_pages_test, "odd_store_pages");

} // namespace
