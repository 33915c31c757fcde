#include "goldcrestgate/core/settings/operator_answers.hpp"
#include "goldcrestgate/app/cli/views.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using nlohmann::json;

core::instance_view make_peer(std::uint32_t number, std::uint16_t domain,
                              core::instance_state state)
{
    core::instance_view peer;
    peer.instance = core::instance_id{number};
    peer.domain = core::domain_id{domain};
    peer.state = state;
    return peer;
}

core::instance_view make_peer(std::uint32_t number, std::uint16_t domain,
                              core::instance_state state, std::uint64_t version)
{
    auto peer = make_peer(number, domain, state);
    peer.incarnation = core::incarnation{1};
    peer.settings = core::settings_version{version};
    return peer;
}

json status_of(std::vector<core::instance_view> const& peers)
{
    core::settings_log log;
    log.on_empty_log();
    auto const statuses = core::list_instance_statuses(
        {core::instance_id{11}, core::domain_id{1}, core::settings_version{18},
         core::instance_state::live, false, true},
        peers);
    return json::parse(core::answer_settings_status(log, true, statuses).body);
}

// Guards against a status that shows settings as in force everywhere while a
// failure domain still has an older version.
class operator_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operator_answers_test);
    CPPUNIT_TEST(status_lists_the_instances_of_all_domains);
    CPPUNIT_TEST(state_names_match_the_documentation);
    CPPUNIT_TEST(view_shows_the_versions_of_each_domain);
    CPPUNIT_TEST_SUITE_END();

public:
    void status_lists_the_instances_of_all_domains()
    {
        auto const listed = status_of(
            {make_peer(12, 1, core::instance_state::suspect, 18),
             make_peer(21, 2, core::instance_state::live, 17),
             make_peer(31, 3, core::instance_state::gone)})["instances"];
        auto const expected = json::parse(R"([
            {"id":11,"domain":1,"version":18,"state":"live","self":true},
            {"id":12,"domain":1,"version":18,"state":"suspect","self":false},
            {"id":21,"domain":2,"version":17,"state":"live","self":false},
            {"id":31,"domain":3,"state":"gone","self":false}])");
        CPPUNIT_ASSERT_EQUAL(expected, listed);
    }

    void state_names_match_the_documentation()
    {
        using core::instance_state;
        using core::state_name;
        CPPUNIT_ASSERT(state_name(instance_state::live, false) == "live");
        CPPUNIT_ASSERT(state_name(instance_state::live, true) == "leaving");
        CPPUNIT_ASSERT(state_name(instance_state::suspect, true) == "suspect");
        CPPUNIT_ASSERT(state_name(instance_state::gone, true) == "gone");
        CPPUNIT_ASSERT(state_name(instance_state::ended, false) == "gone");
    }

    void view_shows_the_versions_of_each_domain()
    {
        auto const text = app::cli::view_settings_status(
            status_of({make_peer(12, 1, core::instance_state::live, 16),
                       make_peer(21, 2, core::instance_state::live, 17),
                       make_peer(22, 2, core::instance_state::gone, 3),
                       make_peer(31, 3, core::instance_state::live)}));
        auto const table = text.substr(text.find('\n') + 1);
        CPPUNIT_ASSERT_EQUAL(
            std::string{"DOMAIN  INSTANCES  GONE  LOWEST  HIGHEST\n"
                        "1       2          0     16      18\n"
                        "2       1          1     17      17\n"
                        "3       1          0     -       -\n"},
            table);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(operator_answers_test,
                                      "operator_answers");

} // namespace
