#include "goldcrestgate/core/settings/settings_log.hpp"

#include "goldcrestgate/core/settings/operator_answers.hpp"
#include "support/settings_stream.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::test::fake_log_stream;
using goldcrestgate::test::record;
using nlohmann::json;

json value_at(settings_log const& log, std::string const& path)
{
    auto const* const value = log.tree().find(path);
    return value == nullptr ? json() : *value;
}

std::string snapshot_of_first_record(fake_log_stream const& stream)
{
    settings_log log;
    log.apply(0, stream.records.front());
    return log.snapshot();
}

// Guards against settings that diverge between instances or revert to an older
// version, and against changes that silently overwrite concurrent ones.
class settings_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_log_test);
    CPPUNIT_TEST(records_change_the_tree_in_order);
    CPPUNIT_TEST(concurrent_changes_of_overlapping_paths_conflict);
    CPPUNIT_TEST(repeated_publication_is_applied_once);
    CPPUNIT_TEST(publication_repeated_after_a_snapshot_is_refused);
    CPPUNIT_TEST(repeated_and_out_of_order_records_change_nothing);
    CPPUNIT_TEST(malformed_records_are_ignored);
    CPPUNIT_TEST(base_after_the_record_is_refused);
    CPPUNIT_TEST(repeated_snapshot_changes_nothing);
    CPPUNIT_TEST(start_from_a_snapshot_gives_the_same_state);
    CPPUNIT_TEST(state_stays_in_force_after_a_gap_until_a_snapshot);
    CPPUNIT_TEST(old_snapshot_does_not_revert_the_state);
    CPPUNIT_TEST(manual_snapshot_restores_a_log_without_usable_state);
    CPPUNIT_TEST(disconnected_reader_adopts_the_state_of_a_peer);
    CPPUNIT_TEST(history_and_snapshot_sizes_are_bounded);
    CPPUNIT_TEST(resending_after_a_lost_append_response_returns_the_outcome);
    CPPUNIT_TEST_SUITE_END();

public:
    void records_change_the_tree_in_order()
    {
        settings_log log;
        CPPUNIT_ASSERT(!log.ready());
        CPPUNIT_ASSERT(apply_outcome::applied ==
                       log.apply(0, record("a", 0,
                                           {{"services.x", json::object()},
                                            {"services.y.k", 1}})));
        CPPUNIT_ASSERT(
            apply_outcome::applied ==
            log.apply(1, record("b", 1, json::object(), {"services.y"})));
        CPPUNIT_ASSERT(log.ready());
        CPPUNIT_ASSERT(log.version() == settings_version{2});
        CPPUNIT_ASSERT(log.tree().find("services.y") == nullptr);
    }

    void concurrent_changes_of_overlapping_paths_conflict()
    {
        settings_log log;
        log.apply(0, record("a", 0, {{"services.x", {{"k", 1}}}}));
        log.apply(1, record("b", 1, {{"services.x.k", 2}}));
        // The same path, its parent, a path below a change after the base; then
        // paths without a change after the base.
        CPPUNIT_ASSERT(apply_outcome::conflict ==
                       log.apply(2, record("c", 1, {{"services.x.k", 3}})));
        CPPUNIT_ASSERT(
            apply_outcome::conflict ==
            log.apply(3, record("d", 1, json::object(), {"services.x"})));
        CPPUNIT_ASSERT(apply_outcome::conflict ==
                       log.apply(4, record("e", 0, {{"services.x.n", 1}})));
        CPPUNIT_ASSERT(apply_outcome::applied ==
                       log.apply(5, record("f", 1, {{"services.x.n", 1}})));
        CPPUNIT_ASSERT(apply_outcome::applied ==
                       log.apply(6, record("g", 2, {{"services.x.k", 4}})));
        CPPUNIT_ASSERT_EQUAL(json(4), value_at(log, "services.x.k"));
    }

    void repeated_publication_is_applied_once()
    {
        settings_log log;
        log.apply(0, record("a", 0, {{"urgency.k", 1}}));
        log.apply(1, record("b", 1, {{"urgency.k", 2}}));
        CPPUNIT_ASSERT(apply_outcome::repeated_publication ==
                       log.apply(2, record("a", 2, {{"urgency.k", 1}})));
        CPPUNIT_ASSERT_EQUAL(json(2), value_at(log, "urgency.k"));
        CPPUNIT_ASSERT(log.outcome("a") ==
                       publication_outcome({settings_version{1}, true}));
    }

    void publication_repeated_after_a_snapshot_is_refused()
    {
        settings_log log;
        std::string const first = record("a", 0, {{"urgency.k", 1}});
        log.apply(0, first);
        log.apply(1, record("b", 1, {{"urgency.k", 2}}));
        log.apply(2, log.snapshot());
        CPPUNIT_ASSERT(!log.outcome("a"));
        CPPUNIT_ASSERT(apply_outcome::conflict == log.apply(3, first));
        CPPUNIT_ASSERT_EQUAL(json(2), value_at(log, "urgency.k"));
    }

    void repeated_and_out_of_order_records_change_nothing()
    {
        settings_log log;
        log.apply(0, record("a", 0, {{"urgency.k", 1}}));
        auto const before = log.state();
        CPPUNIT_ASSERT(apply_outcome::repeated_record ==
                       log.apply(0, record("z", 0, {{"urgency.k", 9}})));
        CPPUNIT_ASSERT(apply_outcome::out_of_order ==
                       log.apply(2, record("z", 0, {{"urgency.k", 9}})));
        CPPUNIT_ASSERT(before == log.state());
    }

    void malformed_records_are_ignored()
    {
        settings_log log;
        std::vector<std::string> const texts = {
            "",
            "{",
            "[]",
            "{}",
            R"({"snapshot":{},"covers":0})",
            R"({"snapshot":[],"covers":0,"horizon":0,"changed":{},"publications":{}})",
            record("", 0, {{"urgency.k", 1}}),
            record("a", 0, json::object()),
            record("a", 0, {{"urgency..k", 1}}),
            record("a", 0, {{"urgency.k", nullptr}}),
            record("a", 0, {{"urgency.k", {{"a.b", 1}}}}),
            record("a", 0, {{"urgency", {{"k", 1}}}, {"urgency.k", 1}}),
            record("a", 0, {{"urgency.k", 1}}, {"urgency.k"}),
            R"({"publication":"a","base":0,"author":"t","set":{"u.k":1,"u.k":2}})",
            R"({"publication":"a","base":-1,"author":"t","set":{"u.k":1}})"};
        for (std::uint64_t i = 0; i < texts.size(); ++i)
        {
            CPPUNIT_ASSERT(apply_outcome::malformed == log.apply(i, texts[i]));
        }
        CPPUNIT_ASSERT(log.tree() == settings_tree{});
        CPPUNIT_ASSERT_EQUAL(texts.size(), log.next_offset());
    }

    void base_after_the_record_is_refused()
    {
        settings_log log;
        CPPUNIT_ASSERT(apply_outcome::conflict ==
                       log.apply(0, record("a", 1, {{"urgency.k", 1}})));
    }

    void repeated_snapshot_changes_nothing()
    {
        settings_log log;
        log.apply(0, record("a", 0, {{"urgency.k", 1}}));
        std::string const snapshot = log.snapshot();
        log.apply(1, record("b", 1, {{"urgency.k", 2}}));
        CPPUNIT_ASSERT(apply_outcome::snapshot_seen == log.apply(2, snapshot));
        auto const state_before = log.state();
        log.apply(3, snapshot);
        CPPUNIT_ASSERT(state_before.tree == log.tree());
        CPPUNIT_ASSERT(state_before.changed == log.state().changed);
        CPPUNIT_ASSERT(state_before.publications == log.state().publications);
        CPPUNIT_ASSERT_EQUAL(json(2), value_at(log, "urgency.k"));
    }

    // A record between the covered offset and the snapshot must not be lost,
    // and a conflict with a change before the snapshot must still be detected.
    void start_from_a_snapshot_gives_the_same_state()
    {
        fake_log_stream stream;
        settings_log running_reader;
        stream.append(record("a", 0, {{"urgency.k", 1}}));
        stream.append(record("b", 1, {{"urgency.n", 1}}));
        stream.read_into(running_reader);
        std::string const snapshot = running_reader.snapshot();
        stream.append(record("c", 1, {{"urgency.n", 5}}));
        stream.append(record("d", 2, {{"urgency.k", 7}}));
        stream.append(snapshot);
        stream.append(record("e", 3, {{"urgency.k", 8}}));
        stream.read_into(running_reader);
        stream.first = 2;
        settings_log restarted_reader;
        stream.read_into(restarted_reader);
        CPPUNIT_ASSERT(running_reader.state() == restarted_reader.state());
        CPPUNIT_ASSERT_EQUAL(json(1), value_at(restarted_reader, "urgency.n"));
        CPPUNIT_ASSERT_EQUAL(json(7), value_at(restarted_reader, "urgency.k"));
    }

    void state_stays_in_force_after_a_gap_until_a_snapshot()
    {
        fake_log_stream stream;
        settings_log reader;
        settings_log writer;
        stream.append(record("a", 0, {{"urgency.k", 1}}));
        stream.read_into(reader);
        stream.append(record("b", 1, {{"urgency.k", 2}}));
        stream.append(record("c", 2, {{"urgency.k", 3}}));
        stream.read_into(writer);
        stream.first = 2;
        stream.read_into(reader);
        CPPUNIT_ASSERT(reader.seeking_snapshot());
        CPPUNIT_ASSERT(reader.ready());
        CPPUNIT_ASSERT_EQUAL(json(1), value_at(reader, "urgency.k"));
        // Records after this snapshot have expired, so it cannot be used.
        stream.append(snapshot_of_first_record(stream));
        stream.read_into(reader);
        CPPUNIT_ASSERT(reader.seeking_snapshot());
        stream.read_into(writer);
        stream.append(writer.snapshot());
        stream.read_into(reader);
        stream.read_into(writer);
        CPPUNIT_ASSERT(!reader.seeking_snapshot());
        CPPUNIT_ASSERT(writer.state() == reader.state());
    }

    void old_snapshot_does_not_revert_the_state()
    {
        settings_log log;
        log.apply(0, record("a", 0, {{"urgency.k", 1}}));
        std::string const old_snapshot = log.snapshot();
        log.apply(1, record("b", 1, {{"urgency.k", 2}}));
        CPPUNIT_ASSERT(!log.adopt_snapshot(old_snapshot));
        CPPUNIT_ASSERT(!log.adopt_snapshot(log.snapshot()));
        CPPUNIT_ASSERT(!log.adopt_snapshot("{"));
        log.on_records_expired(5);
        CPPUNIT_ASSERT(apply_outcome::skipped == log.apply(5, old_snapshot));
        CPPUNIT_ASSERT_EQUAL(json(2), value_at(log, "urgency.k"));
    }

    // Follows the procedure in docs/OPERATIONS.md for the loss of all instances
    // together with the records that they would need.
    void manual_snapshot_restores_a_log_without_usable_state()
    {
        fake_log_stream stream;
        stream.append(record("a", 0, {{"urgency.k", 1}}));
        stream.append(record("b", 1, {{"urgency.k", 2}}));
        stream.first = 1;
        settings_log reader;
        stream.read_into(reader);
        CPPUNIT_ASSERT(!reader.ready() && reader.seeking_snapshot());
        stream.append(R"({"snapshot":{},"covers":2,"horizon":2,)"
                      R"("changed":{},"publications":{}})");
        stream.append(record("c", 3, {{"urgency.k", 3}}));
        stream.read_into(reader);
        CPPUNIT_ASSERT(reader.ready() && !reader.seeking_snapshot());
        CPPUNIT_ASSERT_EQUAL(json(3), value_at(reader, "urgency.k"));
    }

    void disconnected_reader_adopts_the_state_of_a_peer()
    {
        fake_log_stream stream;
        settings_log connected;
        settings_log disconnected;
        settings_log started_without_log;
        stream.append(record("a", 0, {{"urgency.k", 1}}));
        stream.read_into(disconnected);
        stream.append(record("b", 1, {{"urgency.k", 2}}));
        stream.read_into(connected);
        CPPUNIT_ASSERT(disconnected.adopt_snapshot(connected.snapshot()));
        CPPUNIT_ASSERT(
            started_without_log.adopt_snapshot(connected.snapshot()));
        CPPUNIT_ASSERT(disconnected.state() == connected.state());
        // After they reconnect to the log, both continue with the next record.
        stream.append(record("c", 1, {{"urgency.k", 3}}));
        stream.append(record("d", 2, {{"urgency.k", 4}}));
        stream.read_into(connected);
        stream.read_into(disconnected);
        stream.read_into(started_without_log);
        CPPUNIT_ASSERT(disconnected.state() == connected.state());
        CPPUNIT_ASSERT(started_without_log.state() == connected.state());
        CPPUNIT_ASSERT_EQUAL(json(4), value_at(disconnected, "urgency.k"));
    }

    void history_and_snapshot_sizes_are_bounded()
    {
        fake_log_stream stream;
        settings_log log;
        std::string const padding = "teams." + std::string(50, 'p');
        for (std::uint64_t i = 0; i < 4000; ++i)
        {
            auto const id = std::to_string(i);
            stream.append(
                record(id, i, {{padding + id, json::object()}}, json::array()));
            stream.append(record(id + "u", i, json::object(), {padding + id}));
        }
        stream.read_into(log);
        std::size_t bytes = 0;
        for (auto const& [path, version] : log.state().changed)
        {
            bytes += path.size();
        }
        CPPUNIT_ASSERT(bytes < settings_log::memory_limit_bytes);
        CPPUNIT_ASSERT(log.state().horizon > settings_version{});
        CPPUNIT_ASSERT(log.snapshot().size() < settings_text_limit_bytes);
    }

    void resending_after_a_lost_append_response_returns_the_outcome()
    {
        settings_log log;
        log.on_empty_log();
        std::string const body =
            record("p-1", 0, {{"urgency.urgent_weight", 2}});
        CPPUNIT_ASSERT(
            !answer_before_append(log, check_publication(body, log.tree())));
        log.apply(0, body);
        log.apply(1, record("p-2", 1, {{"urgency.urgent_weight", 3}}));
        auto const repeated =
            answer_before_append(log, check_publication(body, log.tree()));
        CPPUNIT_ASSERT(repeated.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, repeated->status);
        CPPUNIT_ASSERT_EQUAL(
            std::string{R"({"publication":"p-1","version":1})"},
            repeated->body);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(settings_log_test, "settings_log");

} // namespace
