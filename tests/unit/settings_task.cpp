#include "goldcrestgate/app/settings_task.hpp"
#include "goldcrestgate/io/http_server.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;

constexpr std::string_view snapshot_page =
    R"({"first":5,"next":6,"records":[{"offset":5,"data":)"
    R"("{\"snapshot\":{},\"covers\":5,\"horizon\":5,)"
    R"(\"changed\":{},\"publications\":{}}"}]})";
constexpr std::string_view instance_file = R"({
  "instance": {"id": 11, "failure_domain": 1, "rack": "r1"},
  "listen": {"callers_address": "127.0.0.1:1", "peers_address": "127.0.0.1:2"},
  "platform": {"address": "127.0.0.1:3"}
})";
constexpr std::string_view empty_page = R"({"first":5,"next":6,"records":[]})";

class settings_task_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_task_test);
    CPPUNIT_TEST(expired_records_trigger_a_snapshot_search);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that never gets settings because the log
    // answers a read of expired offsets with status 200 and its oldest records
    // instead of reporting that the records have expired.
    void expired_records_trigger_a_snapshot_search()
    {
        io::event_loop loop;
        io::http_server platform{loop, {}};
        platform.route("GET", "/log/settings",
                       [](io::http_request const& in, io::http_reply const& out)
                       {
                           bool const below =
                               in.number("from").value_or(0) <= 5;
                           out.send({200, std::string{below ? snapshot_page
                                                            : empty_page}});
                       });
        CPPUNIT_ASSERT(
            platform.listen(io::socket_address::parse("127.0.0.1:0").value()));
        auto const settings =
            app::check_instance_settings(instance_file, "own.json").settings;
        app::logger log{app::log_level::error, 100};
        std::size_t changes = 0;
        app::settings_task task{
            loop,
            settings,
            io::socket_address::parse("127.0.0.1:" +
                                      std::to_string(platform.port()))
                .value(),
            log,
            [&](core::settings_ptr const&)
            {
                ++changes;
            },
            [](core::send_to_peer const&) {}};
        task.start();
        for (int round = 0; round < 2000 && !task.state().ready(); ++round)
        {
            loop.run_once(10ms);
        }
        CPPUNIT_ASSERT(task.state().ready());
        CPPUNIT_ASSERT(!task.state().seeking_snapshot());
        CPPUNIT_ASSERT(changes > 0);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(settings_task_test, "settings_task");

} // namespace
