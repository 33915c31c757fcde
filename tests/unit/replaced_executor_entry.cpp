#include "goldcrestgate/app/entry/executor_directory.hpp"
#include "platform/configuration_codec.hpp"
#include "support/executor_entries.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
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

/// Time after which an executor without an entry is removed, with some margin.
constexpr duration removal_time = milliseconds{2700};

/// Work of a task that outlasts the removal time.
constexpr duration long_work = milliseconds{6000};

// Guards against an entry of another writer that changes what is known of the
// executor under its id.
class replaced_executor_entry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(replaced_executor_entry_test);
    CPPUNIT_TEST(busy_executor_that_answers_is_kept);
    CPPUNIT_TEST(silent_executor_is_removed);
    CPPUNIT_TEST(idle_executor_is_removed);
    CPPUNIT_TEST(busy_executor_without_an_entry_is_removed);
    CPPUNIT_TEST(entry_for_an_unnamed_service_moves_no_run);
    CPPUNIT_TEST(entry_for_a_named_service_is_followed);
    CPPUNIT_TEST(entry_for_a_removed_service_is_followed);
    CPPUNIT_TEST(services_of_a_configuration_are_named);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        fleet_ = std::make_unique<executor_fleet>(2);
        owner_ = std::make_unique<fleet_owner>(*fleet_);
        owner_->start(1);
        directory_ = std::make_unique<app::executor_directory>(
            domain_id{1},
            [](std::string_view name)
            {
                return name == "north" ? std::optional{domain_id{1}}
                                       : std::nullopt;
            },
            app::directory_callbacks{
                [this](executor_id id, executor_description const& description)
                {
                    owner_->list(id, description);
                },
                [this](executor_id id)
                {
                    owner_->unlist(id);
                },
                [this](std::string_view)
                {
                    ++refused_;
                },
                [this](executor_id id)
                {
                    return owner_->scheduler.is_busy(id, fleet_->now());
                },
                [this](std::string_view service)
                {
                    return routes_.names_service(service);
                }});
        routes_ = {};
        routes_.version = 7;
        routes_.services = {"desk", "bay"};
        adapter::topic_page page;
        for (auto const id : fleet_->ids())
        {
            // The directory numbers the executors as the fleet does.
            page.records.push_back(record(id));
        }
        directory_->apply_snapshot(page, fleet_->now());
        refused_ = 0;
    }

    // Guards against capacity that is lost because another writer has replaced
    // the entry of an executor that works.
    void busy_executor_that_answers_is_kept()
    {
        auto const id = start_long_run();
        replace_entry(id);
        pass(removal_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory_->size());
        CPPUNIT_ASSERT(owner_->scheduler.unlisted_executors().empty());
        pass(long_work);
        CPPUNIT_ASSERT(owner_->verdicts.at(job_).outcome ==
                       job_outcome::completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_->starts(job_));
    }

    // Guards against orders to an executor that has left.
    void silent_executor_is_removed()
    {
        auto const id = start_long_run();
        replace_entry(id);
        fleet_->behaviour(id).unreachable = true;
        pass(removal_time);
        CPPUNIT_ASSERT(!directory_->find(fleet_->description(id).name));
    }

    // Guards against work for an executor that no entry names any more and that
    // is not asked whether it lives.
    void idle_executor_is_removed()
    {
        auto const id = start_long_run();
        auto const idle =
            id == executor_id{1} ? executor_id{2} : executor_id{1};
        replace_entry(idle);
        pass(removal_time);
        CPPUNIT_ASSERT(!directory_->find(fleet_->description(idle).name));
        CPPUNIT_ASSERT(directory_->find(fleet_->description(id).name));
    }

    // Guards against work for an executor that has left the store.
    void busy_executor_without_an_entry_is_removed()
    {
        auto const id = start_long_run();
        replace_entry(id);
        pass(removal_time);
        auto gone = record(id);
        gone.value.reset();
        apply(gone);
        pass(milliseconds{2000});
        CPPUNIT_ASSERT(directory_->find(gone.key));
        pass(milliseconds{800});
        CPPUNIT_ASSERT(!directory_->find(gone.key));
    }

    // Guards against two runs of a task at a time: a whole entry with another
    // address counts as a move.
    void entry_for_an_unnamed_service_moves_no_run()
    {
        auto const id = start_long_run();
        auto other = fleet_->description(id);
        other.service = "desk-2";
        other.address = "127.0.0.1:8000";
        apply({other.name, tests::format_entry(other), {}});
        pass(milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_->starts(job_));
        CPPUNIT_ASSERT(is_known(fleet_->description(id)));
    }

    // Guards against an executor that is not used after it has changed its
    // service.
    void entry_for_a_named_service_is_followed()
    {
        auto other = fleet_->description(executor_id{1});
        other.service = "bay";
        apply({other.name, tests::format_entry(other), {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, refused_);
        CPPUNIT_ASSERT(is_known(other));
    }

    // Guards against tasks for an executor that drains after its service was
    // removed from the configuration.
    void entry_for_a_removed_service_is_followed()
    {
        ++routes_.version;
        routes_.services = {"bay"};
        auto draining = fleet_->description(executor_id{1});
        draining.draining = true;
        apply({draining.name, tests::format_entry(draining), {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, refused_);
        CPPUNIT_ASSERT(is_known(draining));
    }

    // Guards against executors that are refused for a service which the
    // configuration names without a route, or with a route alone.
    void services_of_a_configuration_are_named()
    {
        CPPUNIT_ASSERT(route_table{}.names_service("desk"));
        auto const table = adapter::decode_configuration(
            R"({"version":7,"routes":[{"hostname":"h","path_prefix":"/p/",)"
            R"("timeout_ms":1500,"service":"desk"}],)"
            R"("services":[{"name":"bay"},{"name":1},2]})");
        CPPUNIT_ASSERT(table);
        CPPUNIT_ASSERT(table->names_service("desk"));
        CPPUNIT_ASSERT(table->names_service("bay"));
        CPPUNIT_ASSERT(!table->names_service("desk-2"));
    }

private:
    [[nodiscard]] bool is_known(executor_description const& description) const
    {
        auto const all = directory_->descriptions();
        return std::ranges::find(all, description) != all.end();
    }

    [[nodiscard]] adapter::keyed_record record(executor_id id) const
    {
        auto const description = fleet_->description(id);
        return {description.name, tests::format_entry(description), {}};
    }

    void apply(adapter::keyed_record const& changed)
    {
        adapter::topic_page page;
        page.records = {changed};
        directory_->apply_changes(page, fleet_->now());
    }

    void replace_entry(executor_id id)
    {
        auto odd = record(id);
        odd.value = R"({"address":"127.0.0.1:8000","zone":"north"})";
        apply(odd);
    }

    /// Starts a run that outlasts the test; returns its executor.
    executor_id start_long_run()
    {
        auto const job = tests::make_patient_job(
            job_.value(), long_work, long_work + milliseconds{2000});
        owner_->submit(job, long_work);
        fleet_->run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner_->start_orders.size());
        return owner_->start_orders.back().executor;
    }

    void pass(duration time)
    {
        auto const until = fleet_->now() + time;
        while (fleet_->now() < until)
        {
            fleet_->run_for(milliseconds{50});
            directory_->expire(fleet_->now());
        }
    }

    client_job_id job_{1};
    std::unique_ptr<executor_fleet> fleet_;
    std::unique_ptr<fleet_owner> owner_;
    std::unique_ptr<app::executor_directory> directory_;
    route_table routes_;
    std::size_t refused_ = 0;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(replaced_executor_entry_test,
                                      "replaced_executor_entry");

} // namespace
