#include "goldcrestgate/app/entry/executor_directory.hpp"
#include "platform/executor_codec.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using std::chrono::milliseconds;

std::optional<core::domain_id> find_domain(std::string_view name)
{
    if (name == "north")
    {
        return core::domain_id{1};
    }
    return name == "south" ? std::optional{core::domain_id{2}} : std::nullopt;
}

std::string whole_entry()
{
    return R"({"service":"s","address":"10.1.0.9:80","zone":"north",)"
           R"("version":"v1","slots":8,"state":"ready",)"
           R"("cold_remaining_ms":0,"sequence":4,"clock_ms":5,)"
           R"("capacity":{"cpu":16000,"mem_mb":32768,"gpus":0},)"
           R"("labels":["a","r1-3"],"born":99})";
}

std::string changed_entry(std::string const& from, std::string const& to)
{
    auto text = whole_entry();
    auto const at = text.find(from);
    CPPUNIT_ASSERT(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Entries that name no executor to use.
std::vector<std::string> odd_entries()
{
    std::vector<std::string> entries;
    for (std::string const address :
         {"10.1.0.9:65536", "10.1.0.9:99999", "10.1.0.9:-1", "10.1.0.9:0",
          "10.1.0.9:", "10.1.0.9", "", ":80", "host:80", "1:2:3:80", "[::1",
          "10.1.0.9\\u0000:80", "10.1.0.9\\u0000\\r\\nx: y:80",
          "10.1.0.9\\r\\n:80", "10.1.0.9:80 ", " 10.1.0.9:80"})
    {
        entries.push_back(changed_entry("10.1.0.9:80", address));
    }
    for (std::string const number :
         {"1e999", "-1", "1.5", "18446744073709551616", "18446744073709551615",
          "\"99\"", "null", "[99]"})
    {
        entries.push_back(changed_entry("\"born\":99", "\"born\":" + number));
        entries.push_back(changed_entry("16000", number));
    }
    entries.push_back(changed_entry("\"slots\":8", "\"slots\":\"many\""));
    entries.push_back(changed_entry("\"sequence\":4", "\"sequence\":{}"));
    entries.push_back(changed_entry("\"version\":\"v1\"", "\"version\":1"));
    entries.push_back(changed_entry("[\"a\",\"r1-3\"]", "\"a\""));
    entries.push_back(changed_entry("[\"a\",\"r1-3\"]", "[\"a\",3]"));
    entries.push_back(changed_entry("[\"a\",\"r1-3\"]", nested(100'000)));
    entries.push_back(
        changed_entry("\"born\"", "\"x\":" + nested(64) + ",\"born\""));
    entries.push_back(changed_entry("r1-3", std::string(100'000, 'r')));
    entries.push_back(changed_entry("\"s\"", "\"\""));
    entries.push_back(
        changed_entry("\"s\"", '"' + std::string(100'000, 's') + '"'));
    entries.push_back(changed_entry("\"ready\"", "\"asleep\""));
    entries.push_back(whole_entry() + "{}");
    entries.push_back("\xff\x01");
    entries.push_back("");
    entries.push_back(std::string(200'000, '['));
    return entries;
}

// Guards against an entry of another writer that sends work to a wrong place,
// ends the process or hides the other entries.
class odd_executor_entries_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_executor_entries_test);
    CPPUNIT_TEST(odd_entries_name_no_executor);
    CPPUNIT_TEST(odd_names_are_refused);
    CPPUNIT_TEST(odd_entry_does_not_move_a_listed_executor);
    CPPUNIT_TEST(executor_with_an_odd_entry_counts_as_missing);
    CPPUNIT_TEST(executor_of_an_entry_for_another_domain_counts_as_missing);
    CPPUNIT_TEST(other_entries_of_a_page_hold);
    CPPUNIT_TEST(sum_of_huge_capacities_does_not_overflow);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        now_ = core::time_point{std::chrono::seconds{100}};
        listed_.clear();
        list_calls_ = 0;
        refused_ = 0;
    }

    void odd_entries_name_no_executor()
    {
        CPPUNIT_ASSERT(
            adapter::decode_executor("e1", whole_entry(), find_domain));
        for (auto const& entry : odd_entries())
        {
            CPPUNIT_ASSERT_MESSAGE(
                entry.substr(0, 300),
                !adapter::decode_executor("e1", entry, find_domain));
        }
    }

    // The name is sent as the value of a header.
    void odd_names_are_refused()
    {
        for (std::string const& name :
             {std::string{}, std::string{"e1\r\nx: y"}, std::string{"e\x01"},
              std::string("e\0", 2), std::string{"e\xff"}, std::string{"e 1"},
              std::string(256, 'e')})
        {
            CPPUNIT_ASSERT_MESSAGE(name, !adapter::decode_executor(
                                             name, whole_entry(), find_domain));
        }
    }

    // Guards against two runs of a task at a time: a changed address counts as
    // a move that ends the runs of the executor, and they start elsewhere.
    void odd_entry_does_not_move_a_listed_executor()
    {
        auto directory = make_directory();
        directory.apply_snapshot({{{"e1", whole_entry(), 0}}, 1, 0}, now_);
        CPPUNIT_ASSERT_EQUAL(1, list_calls_);
        std::uint64_t offset = 1;
        for (auto const& entry : odd_entries())
        {
            directory.apply_changes({{{"e1", entry, offset}}, offset + 1, 0},
                                    now_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(entry.substr(0, 300), 1, list_calls_);
            ++offset;
        }
        CPPUNIT_ASSERT_EQUAL(offset - 1, refused_);
    }

    // Guards against work for an executor that no entry names any more; its
    // next own entry lists it again under the same id.
    void executor_with_an_odd_entry_counts_as_missing()
    {
        for (bool const is_snapshot : {false, true})
        {
            auto directory = make_directory();
            directory.apply_snapshot(two_entries(), now_);
            auto const id = directory.find("e1");
            adapter::topic_page page;
            page.records = {{"e1", "{}", 2}, {"e2", whole_entry(), 1}};
            is_snapshot ? directory.apply_snapshot(page, now_)
                        : directory.apply_changes(page, now_);
            pass(milliseconds{2000}, directory);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.size());
            pass(milliseconds{1000}, directory);
            CPPUNIT_ASSERT(!directory.find("e1"));
            CPPUNIT_ASSERT(directory.find("e2"));
            page.records = {{"e1", whole_entry(), 3}};
            directory.apply_changes(page, now_);
            pass(milliseconds{9000}, directory);
            CPPUNIT_ASSERT(directory.find("e1") == id);
        }
    }

    // Guards against an executor that two failure domains use at a time.
    void executor_of_an_entry_for_another_domain_counts_as_missing()
    {
        auto directory = make_directory();
        directory.apply_snapshot(two_entries(), now_);
        adapter::topic_page page;
        page.records = {{"e1", changed_entry("north", "south"), 2}};
        directory.apply_changes(page, now_);
        pass(milliseconds{3000}, directory);
        CPPUNIT_ASSERT(!directory.find("e1"));
        CPPUNIT_ASSERT(directory.find("e2"));
    }

    void other_entries_of_a_page_hold()
    {
        auto directory = make_directory();
        adapter::topic_page page;
        std::size_t number = 0;
        for (auto const& entry : odd_entries())
        {
            auto const suffix = std::to_string(++number);
            page.records.push_back({"odd" + suffix, entry, {}});
            page.records.push_back({"e" + suffix, whole_entry(), {}});
        }
        directory.apply_snapshot(page, now_);
        CPPUNIT_ASSERT_EQUAL(number, listed_.size());
        directory.apply_changes({{{"e1", std::nullopt, {}}}, 0, 0}, now_);
        pass(milliseconds{3000}, directory);
        CPPUNIT_ASSERT_EQUAL(number - 1, listed_.size());
    }

    // Guards against an owner that seems to have no room.
    void sum_of_huge_capacities_does_not_overflow()
    {
        tests::executor_fleet fleet{2};
        tests::fleet_owner owner{fleet};
        owner.start(1);
        constexpr std::uint32_t huge = 0x80000000;
        for (auto const id : fleet.ids())
        {
            auto description = fleet.description(id);
            description.capacity.cpu_millicores = huge;
            owner.list(id, description);
        }
        CPPUNIT_ASSERT(owner.scheduler.load(fleet.now()).free_millicores >=
                       huge);
    }

private:
    static adapter::topic_page two_entries()
    {
        adapter::topic_page page;
        page.records = {{"e1", whole_entry(), 0}, {"e2", whole_entry(), 1}};
        return page;
    }

    app::executor_directory make_directory()
    {
        return {core::domain_id{1},
                find_domain,
                {[this](core::executor_id id,
                        core::executor_description const& description)
                 {
                     listed_[id] = description.address;
                     ++list_calls_;
                 },
                 [this](core::executor_id id)
                 {
                     listed_.erase(id);
                 },
                 [this](std::string_view)
                 {
                     ++refused_;
                 }}};
    }

    void pass(core::duration time, app::executor_directory& directory)
    {
        now_ += time;
        directory.expire(now_);
    }

    core::time_point now_;
    std::map<core::executor_id, std::string> listed_;
    int list_calls_ = 0;
    std::uint64_t refused_ = 0;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_executor_entries_test,
                                      "odd_executor_entries");

} // namespace
