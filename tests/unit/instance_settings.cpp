#include "goldcrestgate/app/instance_settings.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <string_view>

namespace
{

using namespace goldcrestgate;
using core::error_code;
using namespace std::chrono_literals;

constexpr std::string_view accepted_text = R"({
  // An entry instance in Kutaisi.
  "instance": {"id": 11, "failure_domain": 1, "rack": "r1"},
  "listen": {
    "callers_address": "127.0.0.1:8080",
    "peers_address": "127.0.0.1:8100"
  },
  "platform": {"address": "127.0.0.1:8000"},
  "submissions": {"copy_wait_ms": 700},
  "log": {"level": "warning"}
})";

std::string with_change(std::string_view from, std::string_view to)
{
    std::string text{accepted_text};
    auto const place = text.find(from);
    CPPUNIT_ASSERT(place != std::string::npos);
    return text.replace(place, from.size(), to);
}

core::settings_fault only_fault(std::string const& text)
{
    auto const check = app::check_instance_settings(text, "own.json");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, check.faults.size());
    return check.faults.front();
}

void assert_fault(std::string const& text, std::string_view expected)
{
    CPPUNIT_ASSERT_EQUAL(std::string{expected}, to_string(only_fault(text)));
}

// Guards against a process that starts with unintended settings because a fault
// in the file is accepted, and against faults without key, line and range.
class instance_settings_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_settings_test);
    CPPUNIT_TEST(values_and_defaults_are_read);
    CPPUNIT_TEST(unknown_key_is_refused);
    CPPUNIT_TEST(duplicate_key_is_refused);
    CPPUNIT_TEST(value_out_of_range_is_refused);
    CPPUNIT_TEST(body_limit_fits_into_a_frame);
    CPPUNIT_TEST(wrong_type_is_refused);
    CPPUNIT_TEST(missing_key_is_refused);
    CPPUNIT_TEST(syntax_error_is_refused_with_its_line);
    CPPUNIT_TEST(malformed_addresses_are_refused);
    CPPUNIT_TEST(all_faults_are_reported_at_once);
    CPPUNIT_TEST(unreadable_file_is_reported);
    CPPUNIT_TEST_SUITE_END();

public:
    void values_and_defaults_are_read()
    {
        auto const check =
            app::check_instance_settings(accepted_text, "own.json");
        CPPUNIT_ASSERT(check.faults.empty());
        auto const& settings = check.settings;
        CPPUNIT_ASSERT(settings.id == core::instance_id{11});
        CPPUNIT_ASSERT(settings.failure_domain == core::domain_id{1});
        CPPUNIT_ASSERT_EQUAL(std::string{"127.0.0.1:8100"},
                             settings.peers_address);
        CPPUNIT_ASSERT(settings.copy_wait == 700ms);
        CPPUNIT_ASSERT(settings.id_lifetime == 10min);
        CPPUNIT_ASSERT(settings.peer_connect_timeout == 500ms);
        CPPUNIT_ASSERT(settings.log_level == app::log_level::warning);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8} << 20, settings.body_limit_bytes);
    }

    void unknown_key_is_refused()
    {
        assert_fault(with_change("copy_wait_ms", "copy_wait"),
                     "own.json:9: submissions.copy_wait: unknown key, value "
                     "700; expected a key that --describe-settings lists "
                     "(settings_unknown_key)");
    }

    void duplicate_key_is_refused()
    {
        assert_fault(with_change("\"copy_wait_ms\": 700",
                                 "\"copy_wait_ms\": 700,\n\"copy_wait_ms\": 9"),
                     "own.json:10: submissions.copy_wait_ms: the key was given "
                     "before, value 9; expected the key once; its first line "
                     "is 9 (settings_duplicate_key)");
    }

    void value_out_of_range_is_refused()
    {
        assert_fault(with_change("700", "9"),
                     "own.json:9: submissions.copy_wait_ms: value 9 is not "
                     "accepted; expected an integer from 10 to 30000 "
                     "(settings_out_of_range)");
        auto const fault = only_fault(with_change("700", "1e9"));
        CPPUNIT_ASSERT(fault.code == error_code::settings_wrong_type);
    }

    // Guards against a limit that admits bodies too large for a frame between
    // instances.
    void body_limit_fits_into_a_frame()
    {
        constexpr std::uint64_t largest = std::uint64_t{15} << 20;
        auto const with_limit = [](std::uint64_t bytes)
        {
            return with_change(
                "\"submissions\"",
                "\"callers\": {\"body_limit_bytes\": " + std::to_string(bytes) +
                    "},\n\"submissions\"");
        };
        auto const check =
            app::check_instance_settings(with_limit(largest), "own.json");
        CPPUNIT_ASSERT(check.faults.empty());
        CPPUNIT_ASSERT_EQUAL(largest, check.settings.body_limit_bytes);
        CPPUNIT_ASSERT(only_fault(with_limit(largest + 1)).code ==
                       error_code::settings_out_of_range);
    }

    void wrong_type_is_refused()
    {
        auto const fault = only_fault(with_change("700", "\"700\""));
        CPPUNIT_ASSERT(fault.code == error_code::settings_wrong_type);
        CPPUNIT_ASSERT_EQUAL(std::string{"\"700\""}, fault.value);
        auto const section =
            only_fault(with_change("{\"copy_wait_ms\": 700}", "700"));
        CPPUNIT_ASSERT(section.code == error_code::settings_wrong_type);
    }

    void missing_key_is_refused()
    {
        auto const fault = only_fault(with_change("\"id\": 11, ", ""));
        CPPUNIT_ASSERT(fault.code == error_code::settings_missing_key);
        CPPUNIT_ASSERT_EQUAL(std::string{"instance.id"}, fault.key);
    }

    void syntax_error_is_refused_with_its_line()
    {
        auto const fault = only_fault(with_change("700", "700 700"));
        CPPUNIT_ASSERT(fault.code == error_code::settings_syntax);
        CPPUNIT_ASSERT_EQUAL(9U, fault.line);
        CPPUNIT_ASSERT(only_fault("").code == error_code::settings_syntax);
    }

    void malformed_addresses_are_refused()
    {
        for (auto const* address :
             {"localhost:8000", "127.0.0.1", "127.0.0.1:65536", "127.0.0.256:1",
              "127.0.0.1:80 ", "127.00.0.1:80", "[::1]", "[::g]:80", "[]:80",
              "::1:80"})
        {
            auto const fault =
                only_fault(with_change("127.0.0.1:8000", address));
            CPPUNIT_ASSERT(fault.code == error_code::settings_out_of_range);
        }
        CPPUNIT_ASSERT(app::check_instance_settings(
                           with_change("127.0.0.1:8000", "[::1]:8000"), "own")
                           .faults.empty());
    }

    void all_faults_are_reported_at_once()
    {
        auto const check = app::check_instance_settings(
            R"({"instance": {"id": 0, "failure_domain": 1, "id": 1},
                "other": {}})",
            "own.json");
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, check.faults.size());
    }

    void unreadable_file_is_reported()
    {
        CPPUNIT_ASSERT(
            !app::read_instance_settings("no/such/file").has_value());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(instance_settings_test,
                                      "instance_settings");

} // namespace
