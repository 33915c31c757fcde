#include "goldcrestgate/app/entry/executor_directory.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

namespace
{

using namespace goldcrestgate;
using app::executor_directory;
using std::chrono::milliseconds;

core::executor_description make_description(std::string const& name)
{
    core::executor_description description;
    description.name = name;
    description.address = "127.0.0.1:9000";
    description.service = "desk";
    description.domain = core::domain_id{1};
    return description;
}

adapter::keyed_record make_entry(std::string const& name)
{
    return {name,
            R"({"service":"desk","address":"127.0.0.1:9000","zone":"north",)"
            R"("version":"v1","slots":8,"state":"ready",)"
            R"("cold_remaining_ms":0,"sequence":1,"born":99,)"
            R"("capacity":{"cpu":16000,"mem_mb":1024,"gpus":0},)"
            R"("labels":["a","r1"]})"};
}

// Guards against removing executors that are alive, and against keeping
// executors that no longer exist.
class executor_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(executor_directory_test);
    CPPUNIT_TEST(peer_executors_are_kept_while_the_store_is_unreachable);
    CPPUNIT_TEST(peer_executors_missing_from_the_store_are_removed);
    CPPUNIT_TEST(missing_entries_are_kept_for_a_while_after_an_outage);
    CPPUNIT_TEST(replaced_list_follows_the_owner);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        now_ = core::time_point{std::chrono::seconds{100}};
        listed_.clear();
    }

    // An instance that starts while its failure domain cannot reach the store
    // knows the executors only from a peer. If it removes them as missing, the
    // executors of the failure domain, a third of all, stay unused for a
    // second.
    void peer_executors_are_kept_while_the_store_is_unreachable()
    {
        auto directory = make_directory();
        directory.merge({make_description("e1"), make_description("e2")}, now_);
        directory.mark_store_unreachable();
        pass(milliseconds{9000}, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listed_.size());
        directory.apply_snapshot(
            make_page({make_entry("e1"), make_entry("e2")}), now_);
        pass(milliseconds{9000}, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listed_.size());
    }

    // Guards against a successor that uses executors which have left, or old
    // descriptions: it does not read the store, and the owner's roster is all
    // that it knows.
    void replaced_list_follows_the_owner()
    {
        auto directory = make_directory();
        directory.replace({make_description("e1"), make_description("e2")},
                          now_);
        directory.mark_store_unreachable();
        auto draining = make_description("e2");
        draining.draining = true;
        directory.replace({draining, make_description("e3")}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.size());
        CPPUNIT_ASSERT(!directory.find("e1"));
        auto const all = directory.descriptions();
        CPPUNIT_ASSERT(std::ranges::find(all, draining) != all.end());
        pass(milliseconds{9000}, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.size());
        directory.apply_changes(make_page({make_entry("e3")}), now_);
        pass(milliseconds{3000}, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.size());
    }

    void peer_executors_missing_from_the_store_are_removed()
    {
        auto directory = make_directory();
        directory.merge({make_description("e1"), make_description("e2")}, now_);
        directory.apply_snapshot(make_page({make_entry("e1")}), now_);
        pass(milliseconds{2000}, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listed_.size());
        pass(milliseconds{1000}, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listed_.size());
    }

    // Executors write entries that expired during an outage of the store again
    // within 2 s of its return.
    void missing_entries_are_kept_for_a_while_after_an_outage()
    {
        auto directory = make_directory();
        directory.apply_snapshot(
            make_page({make_entry("e1"), make_entry("e2")}), now_);
        directory.mark_store_unreachable();
        pass(milliseconds{5000}, directory);
        directory.apply_snapshot(make_page({make_entry("e1")}), now_);
        pass(milliseconds{2000}, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listed_.size());
        directory.apply_changes(make_page({make_entry("e2")}), now_);
        pass(milliseconds{5000}, directory);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, listed_.size());
    }

private:
    executor_directory make_directory()
    {
        return {core::domain_id{1},
                [](std::string_view name)
                {
                    return name == "north" ? std::optional{core::domain_id{1}}
                                           : std::nullopt;
                },
                {[this](core::executor_id id, core::executor_description const&)
                 {
                     listed_.insert(id);
                 },
                 [this](core::executor_id id)
                 {
                     listed_.erase(id);
                 },
                 [](std::string_view)
                 {
                     CPPUNIT_FAIL("an entry was invalid");
                 }}};
    }

    static adapter::topic_page
    make_page(std::vector<adapter::keyed_record> records)
    {
        adapter::topic_page page;
        page.records = std::move(records);
        return page;
    }

    void pass(core::duration time, executor_directory& directory)
    {
        auto const until = now_ + time;
        while (now_ < until)
        {
            now_ += milliseconds{50};
            directory.expire(now_);
        }
    }

    core::time_point now_;
    std::set<core::executor_id> listed_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(executor_directory_test,
                                      "executor_directory");

} // namespace
