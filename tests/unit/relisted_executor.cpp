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

class relisted_executor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(relisted_executor_test);
    CPPUNIT_TEST(runs_survive_that_their_executor_is_listed_again);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against stopped runs and second starts: an executor whose entry
    // was missing for a while returned under another id, and its runs there
    // were unknown.
    void runs_survive_that_their_executor_is_listed_again()
    {
        executor_fleet fleet{1};
        fleet_owner owner{fleet};
        owner.start(1);
        executor_id const id{1};
        app::executor_directory directory{
            domain_id{1},
            [](std::string_view)
            {
                return std::optional{domain_id{1}};
            },
            {[&](executor_id listed, executor_description const& description)
             {
                 fleet.add_alias(listed, id);
                 owner.list(listed, description);
             },
             [&](executor_id unlisted)
             {
                 owner.scheduler.unlist(unlisted, fleet.now());
             },
             [](std::string_view)
             {
                 CPPUNIT_FAIL("an entry was invalid");
             }}};
        adapter::topic_page present;
        present.records = {make_record(fleet.description(id))};
        // The entry was missing before the run starts, so that a short run
        // shows the effect.
        directory.apply_snapshot(present, fleet.now() - milliseconds{10'000});
        auto job = tests::make_leased_job(1, 1, milliseconds{1200});
        job.objective = milliseconds{4000};
        job.time_limit = milliseconds{5000};
        owner.submit(job, milliseconds{1200});
        fleet.run_for(milliseconds{100});
        directory.apply_snapshot({}, fleet.now() - milliseconds{5000});
        directory.expire(fleet.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory.size());
        fleet.run_for(milliseconds{100});
        directory.apply_snapshot(present, fleet.now());
        fleet.run_for(milliseconds{4000});
        CPPUNIT_ASSERT(owner.verdicts.at(job.id).outcome ==
                       job_outcome::completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.starts(job.id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

private:
    static adapter::keyed_record
    make_record(executor_description const& description)
    {
        return {description.name, tests::format_entry(description)};
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(relisted_executor_test,
                                      "relisted_executor");

} // namespace
