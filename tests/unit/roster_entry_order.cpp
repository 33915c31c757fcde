#include "goldcrestgate/app/entry/executor_directory.hpp"
#include "support/executor_entries.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::executor_fleet;
using tests::fleet_owner;

class roster_entry_order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(roster_entry_order_test);
    CPPUNIT_TEST(entry_that_is_older_than_the_roster_ends_no_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: a new owner that had paused
    // reading the entries read on at its last offset, and entries older than
    // the roster that it had followed meanwhile ended the runs it had started.
    void entry_that_is_older_than_the_roster_ends_no_run()
    {
        executor_fleet fleet{3};
        fleet_owner owner{fleet};
        app::executor_directory directory{
            domain_id{1},
            [](std::string_view)
            {
                return std::optional{domain_id{1}};
            },
            {[&owner](executor_id id, executor_description const& description)
             {
                 owner.list(id, description);
             },
             [](executor_id)
             {
                 CPPUNIT_FAIL("an executor was removed");
             },
             [](std::string_view)
             {
                 CPPUNIT_FAIL("an entry was invalid");
             }}};
        adapter::topic_page page;
        std::vector<executor_description> roster;
        for (auto const id : fleet.ids())
        {
            auto earlier = fleet.description(id);
            earlier.address = "127.0.0.1:" + std::to_string(8000 + id.value());
            page.records.push_back(make_record(earlier, 1000, 10));
            roster.push_back(fleet.description(id));
        }
        directory.apply_snapshot(page, fleet.now());
        directory.replace(roster, fleet.now());
        owner.take_over(1, true);
        fleet.run_for(milliseconds{150});
        owner.submit(1, 1, milliseconds{300});
        fleet.run_for(milliseconds{20});
        auto const id = owner.start_orders.back().executor;
        auto earlier = fleet.description(id);
        earlier.address = "127.0.0.1:" + std::to_string(8000 + id.value());
        page.records = {make_record(earlier, 2000, 20),
                        make_record(fleet.description(id), 64'000, 30)};
        directory.apply_changes(page, fleet.now());
        owner.submit(2, 1, milliseconds{60});
        fleet.run_for(milliseconds{600});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.starts(client_job_id{1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

private:
    static adapter::keyed_record
    make_record(executor_description const& description,
                std::uint32_t millicores, std::uint64_t offset)
    {
        auto listed = description;
        listed.capacity.cpu_millicores = millicores;
        return {description.name, tests::format_entry(listed), offset};
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(roster_entry_order_test,
                                      "roster_entry_order");

} // namespace
