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
using goldcrestgate::test::fake_log;
using goldcrestgate::test::record;
using nlohmann::json;

json value_at(settings_log const& log, std::string const& path)
{
    auto const* const value = log.tree().find(path);
    return value == nullptr ? json() : *value;
}

std::string snapshot_of_first_record(fake_log const& stream)
{
    settings_log log;
    log.apply(0, stream.records.front());
    return log.snapshot();
}

// Guards against instances whose settings differ or go back, and against
// changes that overwrite others unseen.
class settings_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_log_test);
    CPPUNIT_TEST(records_change_the_tree_in_order);
    CPPUNIT_TEST(racing_publications_are_decided_by_touched_paths);
    CPPUNIT_TEST(publication_counts_once);
    CPPUNIT_TEST(late_repetition_after_a_snapshot_is_refused);
    CPPUNIT_TEST(records_seen_twice_or_early_change_nothing);
    CPPUNIT_TEST(malformed_records_are_passed_over);
    CPPUNIT_TEST(base_after_the_record_is_refused);
    CPPUNIT_TEST(snapshot_written_twice_is_harmless);
    CPPUNIT_TEST(start_from_a_snapshot_gives_the_same_state);
    CPPUNIT_TEST(gap_keeps_the_state_until_a_snapshot);
    CPPUNIT_TEST(old_snapshot_never_sets_the_state_back);
    CPPUNIT_TEST(snapshot_by_hand_ends_a_search_without_state);
    CPPUNIT_TEST(cut_off_domain_takes_the_state_from_a_peer);
    CPPUNIT_TEST(memory_is_bounded_and_decided_alike);
    CPPUNIT_TEST(lost_append_answer_is_settled_by_sending_again);
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

    void racing_publications_are_decided_by_touched_paths()
    {
        settings_log log;
        log.apply(0, record("a", 0, {{"services.x", {{"k", 1}}}}));
        log.apply(1, record("b", 1, {{"services.x.k", 2}}));
        // Equal path, path above, path below; then another path.
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

    void publication_counts_once()
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

    void late_repetition_after_a_snapshot_is_refused()
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

    void records_seen_twice_or_early_change_nothing()
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

    void malformed_records_are_passed_over()
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

    void snapshot_written_twice_is_harmless()
    {
        settings_log log;
        log.apply(0, record("a", 0, {{"urgency.k", 1}}));
        std::string const snapshot = log.snapshot();
        log.apply(1, record("b", 1, {{"urgency.k", 2}}));
        CPPUNIT_ASSERT(apply_outcome::snapshot_seen == log.apply(2, snapshot));
        auto const once = log.state();
        log.apply(3, snapshot);
        CPPUNIT_ASSERT(once.tree == log.tree());
        CPPUNIT_ASSERT(once.changed == log.state().changed);
        CPPUNIT_ASSERT(once.publications == log.state().publications);
        CPPUNIT_ASSERT_EQUAL(json(2), value_at(log, "urgency.k"));
    }

    // A record between the covered offset and the snapshot must not be lost,
    // and a conflict with a change before the snapshot must still be seen.
    void start_from_a_snapshot_gives_the_same_state()
    {
        fake_log stream;
        settings_log old_one;
        stream.append(record("a", 0, {{"urgency.k", 1}}));
        stream.append(record("b", 1, {{"urgency.n", 1}}));
        stream.read_into(old_one);
        std::string const snapshot = old_one.snapshot();
        stream.append(record("c", 1, {{"urgency.n", 5}}));
        stream.append(record("d", 2, {{"urgency.k", 7}}));
        stream.append(snapshot);
        stream.append(record("e", 3, {{"urgency.k", 8}}));
        stream.read_into(old_one);
        stream.first = 2;
        settings_log new_one;
        stream.read_into(new_one);
        CPPUNIT_ASSERT(old_one.state() == new_one.state());
        CPPUNIT_ASSERT_EQUAL(json(1), value_at(new_one, "urgency.n"));
        CPPUNIT_ASSERT_EQUAL(json(7), value_at(new_one, "urgency.k"));
    }

    void gap_keeps_the_state_until_a_snapshot()
    {
        fake_log stream;
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
        // The records after this snapshot are gone, so it cannot be used.
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

    void old_snapshot_never_sets_the_state_back()
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

    // The way out that docs/OPERATIONS.md gives when all instances and the
    // records are gone.
    void snapshot_by_hand_ends_a_search_without_state()
    {
        fake_log stream;
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

    void cut_off_domain_takes_the_state_from_a_peer()
    {
        fake_log stream;
        settings_log connected;
        settings_log cut_off;
        settings_log started_without_log;
        stream.append(record("a", 0, {{"urgency.k", 1}}));
        stream.read_into(cut_off);
        stream.append(record("b", 1, {{"urgency.k", 2}}));
        stream.read_into(connected);
        CPPUNIT_ASSERT(cut_off.adopt_snapshot(connected.snapshot()));
        CPPUNIT_ASSERT(
            started_without_log.adopt_snapshot(connected.snapshot()));
        CPPUNIT_ASSERT(cut_off.state() == connected.state());
        // Back at the log, both go on at the record that comes next.
        stream.append(record("c", 1, {{"urgency.k", 3}}));
        stream.append(record("d", 2, {{"urgency.k", 4}}));
        stream.read_into(connected);
        stream.read_into(cut_off);
        stream.read_into(started_without_log);
        CPPUNIT_ASSERT(cut_off.state() == connected.state());
        CPPUNIT_ASSERT(started_without_log.state() == connected.state());
        CPPUNIT_ASSERT_EQUAL(json(4), value_at(cut_off, "urgency.k"));
    }

    void memory_is_bounded_and_decided_alike()
    {
        fake_log stream;
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

    void lost_append_answer_is_settled_by_sending_again()
    {
        settings_log log;
        log.on_empty_log();
        std::string const body =
            record("p-1", 0, {{"urgency.urgent_weight", 2}});
        CPPUNIT_ASSERT(
            !answer_before_append(log, check_publication(body, log.tree())));
        log.apply(0, body);
        log.apply(1, record("p-2", 1, {{"urgency.urgent_weight", 3}}));
        auto const again =
            answer_before_append(log, check_publication(body, log.tree()));
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{200}, again->status);
        CPPUNIT_ASSERT_EQUAL(
            std::string{R"({"publication":"p-1","version":1})"}, again->body);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(settings_log_test, "settings_log");

} // namespace
