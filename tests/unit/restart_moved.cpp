#include "goldcrestgate/app/entry/executor_directory.hpp"
#include "support/executor_entries.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::executor_fleet;
using tests::fleet_owner;

class restart_moved_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_moved_test);
    CPPUNIT_TEST(stale_entry_with_an_earlier_address_ends_no_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: an entry that was written
    // before the executor restarted at another address arrived after the entry
    // of the new process, and the runs there were taken for ended.
    void stale_entry_with_an_earlier_address_ends_no_run()
    {
        executor_fleet fleet{3};
        fleet_owner owner{fleet};
        owner.start(1);
        owner.submit(1, 1, milliseconds{300});
        fleet.run_for(milliseconds{20});
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
        for (auto const id : fleet.ids())
        {
            // The directory numbers the executors as the fleet does.
            page.records.push_back(make_record(fleet.description(id), 10));
        }
        directory.apply_snapshot(page, fleet.now());
        auto const id = owner.start_orders.back().executor;
        auto stale = fleet.description(id);
        --stale.incarnation;
        stale.address = "127.0.0.1:8999";
        page.records = {make_record(stale, 5)};
        directory.apply_changes(page, fleet.now());
        owner.submit(2, 1, milliseconds{60});
        fleet.run_for(milliseconds{600});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.starts(client_job_id{1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

private:
    static adapter::keyed_record
    make_record(executor_description const& description, std::uint64_t offset)
    {
        return {description.name, tests::format_entry(description), offset};
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_moved_test, "restart_moved");

} // namespace
