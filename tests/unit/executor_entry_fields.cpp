#include "platform/executor_codec.hpp"
#include "support/executor_entries.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using nlohmann::json;

constexpr std::string_view executor = "i-7f3a91c2";

/// Invalid values of each member that an entry has.
std::map<std::string, std::vector<json>> const& invalid_values()
{
    static std::map<std::string, std::vector<json>> const values = {
        {"service", {nullptr, 1, "", json::array({"s"})}},
        {"address", {nullptr, 1, "", "10.128.0.9", "10.128.0.9:0"}},
        {"zone", {nullptr, 1, "", "elsewhere", json::object()}},
        {"version", {nullptr, 1, json::array({"v1"})}},
        {"slots", {nullptr, "8", -1, 1.5, 1e300, true}},
        {"state", {nullptr, 1, "", "asleep", json::array({"ready"})}},
        {"cold_remaining_ms", {nullptr, "0", -1, -0.5, false}},
        {"sequence", {nullptr, "4", -1, 1.5, 1e300, json::object()}},
        {"capacity", {nullptr, 16'000, json::array(), json::object()}},
        {"labels", {nullptr, "a", json::object(), json::array({"a", 3})}}};
    return values;
}

std::optional<core::executor_description> decode(json const& entry)
{
    return adapter::decode_executor(
        executor, entry.dump(),
        [](std::string_view name)
        {
            return name == "north" ? std::optional{core::domain_id{1}}
                                   : std::nullopt;
        });
}

// Guards against an entry of another writer that is taken for that of an
// executor, and against sound entries that are refused.
class executor_entry_fields_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(executor_entry_fields_test);
    CPPUNIT_TEST(entries_of_executors_are_decoded);
    CPPUNIT_TEST(entry_without_a_member_is_refused);
    CPPUNIT_TEST(entry_with_an_invalid_member_is_refused);
    CPPUNIT_TEST(entry_with_an_incomplete_capacity_is_refused);
    CPPUNIT_TEST(entry_with_an_invalid_optional_member_is_refused);
    CPPUNIT_TEST(entry_of_the_review_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an executor that is not used although its entry is sound.
    void entries_of_executors_are_decoded()
    {
        // Example of the platform, with another zone.
        CPPUNIT_ASSERT(decode(json::parse(
            R"({"service":"huvo11a","address":"10.128.0.9:8080",)"
            R"("zone":"north","version":"v1","slots":8,"state":"ready",)"
            R"("cold_remaining_ms":0,)"
            R"("capacity":{"cpu":16000,"mem_mb":32768,"gpus":0},)"
            R"("labels":["a","r1-3"],"clock_ms":482113,"sequence":4})")));
        auto changed = whole_entry();
        changed["state"] = "draining";
        changed["remaining_ms"] = 1999.5;
        changed["cold_remaining_ms"] = 812.25;
        changed["machine"] = "m-1";
        CPPUNIT_ASSERT(decode(changed));
        CPPUNIT_ASSERT(decode(changed)->draining);
        for (auto const* const name : {"born", "clock_ms", "remaining_ms"})
        {
            auto partial = changed;
            partial.erase(name);
            CPPUNIT_ASSERT_MESSAGE(name, decode(partial));
        }
        changed["labels"] = json::array();
        CPPUNIT_ASSERT(decode(changed));
    }

    // Guards against the entry of another writer that lacks fields.
    void entry_without_a_member_is_refused()
    {
        for (auto const& [name, values] : invalid_values())
        {
            auto partial = whole_entry();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, partial.erase(name));
            CPPUNIT_ASSERT_MESSAGE(name, !decode(partial));
        }
    }

    // Guards against the entry of another writer whose fields have other types
    // or are out of range.
    void entry_with_an_invalid_member_is_refused()
    {
        for (auto const& [name, values] : invalid_values())
        {
            for (auto const& value : values)
            {
                auto changed = whole_entry();
                changed[name] = value;
                CPPUNIT_ASSERT_MESSAGE(name + " " + value.dump(),
                                       !decode(changed));
            }
        }
    }

    // Guards against an executor that seems to have no room of a kind.
    void entry_with_an_incomplete_capacity_is_refused()
    {
        for (auto const* const name : {"cpu", "mem_mb", "gpus"})
        {
            auto partial = whole_entry();
            partial["capacity"].erase(name);
            CPPUNIT_ASSERT_MESSAGE(name, !decode(partial));
            for (auto const& value :
                 {json{}, json(-1), json(1.5), json(1ULL << 32U), json("1")})
            {
                auto changed = whole_entry();
                changed["capacity"][name] = value;
                CPPUNIT_ASSERT_MESSAGE(name, !decode(changed));
            }
        }
    }

    // Guards against the entry of another writer that has some of the fields
    // which not all examples have.
    void entry_with_an_invalid_optional_member_is_refused()
    {
        for (auto const* const name : {"born", "clock_ms", "remaining_ms"})
        {
            for (auto const& value : {json{}, json("1"), json(-1), json(true)})
            {
                auto changed = whole_entry();
                changed[name] = value;
                CPPUNIT_ASSERT_MESSAGE(name + (' ' + value.dump()),
                                       !decode(changed));
            }
        }
    }

    // Guards against the entry that made a busy executor's tasks start
    // elsewhere.
    void entry_of_the_review_is_refused()
    {
        CPPUNIT_ASSERT(!decode(json::parse(
            R"({"service":"desk-2","address":"10.128.0.200:8080",)"
            R"("zone":"north","state":"ready",)"
            R"("capacity":{"cpu":64000,"mem_mb":262144,"gpus":0}})")));
    }

private:
    static json whole_entry()
    {
        core::executor_description description;
        description.name = executor;
        description.address = "10.128.0.9:8080";
        description.service = "huvo11a";
        description.capacity = {16'000, 32'768, 0};
        description.labels = {"a", "r1-3"};
        description.incarnation = 1'764'000'000'123;
        return tests::make_entry(description);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(executor_entry_fields_test,
                                      "executor_entry_fields");

} // namespace
