#include "goldcrestgate/core/settings/settings_tree.hpp"

#include "goldcrestgate/app/instance_settings.hpp"
#include "goldcrestgate/core/settings/effective.hpp"
#include "goldcrestgate/core/settings/publication_check.hpp"
#include "goldcrestgate/core/settings/settings_resolver.hpp"
#include "goldcrestgate/core/settings/tree_schema.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using namespace std::chrono_literals;

std::string read_example(std::string const& name)
{
    std::ifstream input(std::string{GOLDCRESTGATE_TEST_DIR} + "/../examples/" +
                        name);
    CPPUNIT_ASSERT(input.good());
    return {std::istreambuf_iterator<char>(input), {}};
}

settings_tree example_tree(std::string const& user)
{
    auto check =
        parse_settings_tree(read_example(user + "/settings.json"), user);
    CPPUNIT_ASSERT(check.faults.empty());
    return std::move(check.tree);
}

std::string first_fault(std::string_view text)
{
    auto const check = parse_settings_tree(text, "tree");
    CPPUNIT_ASSERT(!check.faults.empty());
    return to_string(check.faults.front());
}

service_policy const& policy_of(settings_view const& view,
                                std::string_view service)
{
    auto const id = view.find_service(service);
    CPPUNIT_ASSERT(id.has_value());
    return view.policy(*id);
}

// Guards against a tree that is read differently from what its author wrote,
// and against services that get the settings of other services.
class settings_tree_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_tree_test);
    CPPUNIT_TEST(set_and_unset_change_one_branch);
    CPPUNIT_TEST(set_below_a_plain_value_is_refused);
    CPPUNIT_TEST(compared_changes_turn_one_tree_into_the_other);
    CPPUNIT_TEST(malformed_paths_are_refused);
    CPPUNIT_TEST(invalid_trees_are_refused_with_line_and_range);
    CPPUNIT_TEST(service_inherits_what_it_does_not_set);
    CPPUNIT_TEST(invalid_value_is_replaced_by_the_inherited_one);
    CPPUNIT_TEST(defaults_equal_those_of_the_policies);
    CPPUNIT_TEST(ids_stay_stable_when_names_are_removed_and_added);
    CPPUNIT_TEST(example_settings_resolve_to_the_expected_policies);
    CPPUNIT_TEST(publication_with_invalid_values_is_refused);
    CPPUNIT_TEST(faults_outside_the_touched_paths_do_not_block_a_publication);
    CPPUNIT_TEST(oversized_tree_is_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    void set_and_unset_change_one_branch()
    {
        settings_tree tree;
        CPPUNIT_ASSERT(tree.set("services.a.b.max_attempts", 2));
        CPPUNIT_ASSERT(tree.set("services.a.c", nlohmann::json::object()));
        CPPUNIT_ASSERT(tree.unset("services.a.b"));
        CPPUNIT_ASSERT(!tree.unset("services.a.b"));
        CPPUNIT_ASSERT(!tree.unset("services.x.y.z"));
        CPPUNIT_ASSERT_EQUAL(std::string{R"({"services":{"a":{"c":{}}}})"},
                             tree.root().dump());
    }

    void set_below_a_plain_value_is_refused()
    {
        settings_tree tree;
        CPPUNIT_ASSERT(tree.set("services.a", 1));
        auto const before = tree;
        CPPUNIT_ASSERT(!tree.set("services.a.b", 1));
        CPPUNIT_ASSERT(!tree.set("services.a.b.c", 1));
        CPPUNIT_ASSERT(
            !apply_changes({{{"services.a.b", 1}, {"teams.a", 1}}, {}}, tree));
        CPPUNIT_ASSERT(before == tree);
    }

    void compared_changes_turn_one_tree_into_the_other()
    {
        auto const to = example_tree("riga");
        for (auto const& from : {settings_tree{}, example_tree("kutaisi"), to})
        {
            auto tree = from;
            CPPUNIT_ASSERT(apply_changes(compare_trees(from, to), tree));
            CPPUNIT_ASSERT(to == tree);
        }
        CPPUNIT_ASSERT(compare_trees(to, to) == settings_changes{});
    }

    void malformed_paths_are_refused()
    {
        for (auto const* path :
             {"", ".", "a.", ".a", "a..b", "a b", "a[0]", "\xc3\xa9",
              "a.a.a.a.a.a.a.a.a.a.a.a.a.a.a.a.a"})
        {
            CPPUNIT_ASSERT(!is_settings_path(path));
        }
        CPPUNIT_ASSERT(!is_settings_path(std::string(65, 'a')));
        CPPUNIT_ASSERT(is_settings_path("services.roll-desk.max_attempts"));
        CPPUNIT_ASSERT(paths_overlap("a.b", "a") && paths_overlap("a", "a.b"));
        CPPUNIT_ASSERT(!paths_overlap("a.b", "a.bc"));
    }

    void invalid_trees_are_refused_with_line_and_range()
    {
        std::vector<std::pair<std::string, std::string>> const cases = {
            {"{\"services\": {\n\"a\": {\"max_attempts\": 11}}}",
             "tree:2: services.a.max_attempts: value 11 is not accepted; "
             "expected an integer from 1 to 10 (settings_out_of_range)"},
            {"{\"services\": {\"a\": {\"max_attempt\": 1}}}",
             "tree:1: services.a.max_attempt: unknown key, value 1; expected "
             "a key that docs/settings.md lists (settings_unknown_key)"},
            {"{\"teams\": {\"t\": {\"weight\": 1,\n\"weight\": 2}}}",
             "tree:2: teams.t.weight: the key was given before, value 2; "
             "expected the key once; its first line is 1 "
             "(settings_duplicate_key)"},
            {"{\"teams\": {\"t\": {\"may_be_urgent\": 1}}}",
             "tree:1: teams.t.may_be_urgent: value 1 is not accepted; "
             "expected true or false (settings_wrong_type)"},
            {"{\"failure_domains\": {\"0\": {}}}",
             "tree:1: failure_domains.0: unknown key, value {}; expected a "
             "number from 1 to 65535 (settings_unknown_key)"},
            {"{\"services\": {\"a.b\": {}}}",
             "tree:1: services.a.b: unknown key, value {}; expected a key "
             "that docs/settings.md lists (settings_unknown_key)"},
            {"[]", "tree:1: value [] is not accepted; expected an object "
                   "(settings_wrong_type)"}};
        for (auto const& [text, fault] : cases)
        {
            CPPUNIT_ASSERT_EQUAL(fault, first_fault(text));
        }
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            parse_settings_tree(std::string(100, '['), "t").faults.size());
    }

    void service_inherits_what_it_does_not_set()
    {
        auto const tree =
            parse_settings_tree(R"({"services": {"attempt_timeout_ms": 100,
                "a": {"max_attempts": 5, "b": {"attempt_timeout_ms": 200,
                "c": {}}}}})",
                                "tree")
                .tree;
        for (auto const& value : effective_service(tree, "a.b.c"))
        {
            if (value.key == "attempt_timeout_ms")
            {
                CPPUNIT_ASSERT_EQUAL(std::string{"services.a.b"}, value.from);
            }
            if (value.key == "max_attempts")
            {
                CPPUNIT_ASSERT_EQUAL(std::string{"services.a"}, value.from);
            }
            if (value.key == "repeatable")
            {
                CPPUNIT_ASSERT_EQUAL(std::string{"default"}, value.from);
            }
        }
        settings_resolver resolver;
        auto const view = resolver.resolve(tree, settings_version{1});
        CPPUNIT_ASSERT(policy_of(*view, "a.b.c").attempt_timeout == 200ms);
        CPPUNIT_ASSERT_EQUAL(5U, policy_of(*view, "a.b.c").max_attempts);
        CPPUNIT_ASSERT(policy_of(*view, "a").attempt_timeout == 100ms);
    }

    void invalid_value_is_replaced_by_the_inherited_one()
    {
        settings_tree tree;
        CPPUNIT_ASSERT(tree.set("services.a.max_attempts", 4));
        CPPUNIT_ASSERT(tree.set("services.a.b.max_attempts", "many"));
        CPPUNIT_ASSERT(tree.set("services.a.b.key_of_a_later_version", 1));
        CPPUNIT_ASSERT(tree.set("teams", 1));
        settings_resolver resolver;
        auto const view = resolver.resolve(tree, settings_version{1});
        CPPUNIT_ASSERT_EQUAL(4U, policy_of(*view, "a.b").max_attempts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, find_ignored(tree).size());
    }

    void defaults_equal_those_of_the_policies()
    {
        settings_tree tree;
        CPPUNIT_ASSERT(tree.set("services.a", nlohmann::json::object()));
        CPPUNIT_ASSERT(tree.set("teams.t", nlohmann::json::object()));
        settings_resolver resolver;
        auto const view = resolver.resolve(tree, settings_version{1});
        auto const& service = policy_of(*view, "a");
        service_policy const expected;
        CPPUNIT_ASSERT(service.default_run_time == expected.default_run_time);
        CPPUNIT_ASSERT(service.attempt_timeout == expected.attempt_timeout);
        CPPUNIT_ASSERT(service.default_deadline == expected.default_deadline);
        CPPUNIT_ASSERT(service.max_queue_wait == expected.max_queue_wait);
        CPPUNIT_ASSERT(service.repeatable == expected.repeatable);
        CPPUNIT_ASSERT(service.max_attempts == expected.max_attempts);
        CPPUNIT_ASSERT(service.retry_budget_ratio ==
                       expected.retry_budget_ratio);
        CPPUNIT_ASSERT(service.hedge_budget_ratio ==
                       expected.hedge_budget_ratio);
        CPPUNIT_ASSERT(service.hedge_after_ratio == expected.hedge_after_ratio);
        CPPUNIT_ASSERT(service.ejection_max_ratio ==
                       expected.ejection_max_ratio);
        auto const& team = view->policy(*view->find_team("t"));
        CPPUNIT_ASSERT(team.weight == team_policy{}.weight);
        CPPUNIT_ASSERT(team.max_running_tasks ==
                       team_policy{}.max_running_tasks);
        CPPUNIT_ASSERT(team.may_be_urgent == team_policy{}.may_be_urgent);
        CPPUNIT_ASSERT(view->urgent.urgent_weight ==
                       urgency_policy{}.urgent_weight);
        CPPUNIT_ASSERT(view->urgent.urgent_max_ratio ==
                       urgency_policy{}.urgent_max_ratio);
    }

    void ids_stay_stable_when_names_are_removed_and_added()
    {
        settings_resolver resolver;
        auto tree = example_tree("kutaisi");
        auto const first = resolver.resolve(tree, settings_version{1});
        auto const release = *first->find_service("roll-desk.release");
        CPPUNIT_ASSERT(tree.unset("services.roll-desk.release"));
        CPPUNIT_ASSERT(tree.set("services.roll-desk.aaa.max_attempts", 2));
        auto const second = resolver.resolve(tree, settings_version{2});
        CPPUNIT_ASSERT(!second->find_service("roll-desk.release"));
        CPPUNIT_ASSERT(second->policy(release).attempt_timeout == 15s);
        CPPUNIT_ASSERT(first->find_service("roll-desk.tolerance") ==
                       second->find_service("roll-desk.tolerance"));
        CPPUNIT_ASSERT(tree.set("services.roll-desk.release.max_attempts", 2));
        auto const third = resolver.resolve(tree, settings_version{3});
        CPPUNIT_ASSERT(third->find_service("roll-desk.release") == release);
    }

    void example_settings_resolve_to_the_expected_policies()
    {
        for (std::string const user : {"kutaisi", "riga"})
        {
            auto const check = app::check_instance_settings(
                read_example(user + "/instance.json"), user);
            CPPUNIT_ASSERT(check.faults.empty());
        }
        settings_resolver resolver;
        auto const kutaisi =
            resolver.resolve(example_tree("kutaisi"), settings_version{1});
        auto const riga =
            resolver.resolve(example_tree("riga"), settings_version{2});
        CPPUNIT_ASSERT(
            policy_of(*kutaisi, "roll-desk.tolerance").hedge_budget_ratio > 0);
        CPPUNIT_ASSERT(!policy_of(*kutaisi, "roll-desk.stock-hold").repeatable);
        CPPUNIT_ASSERT(policy_of(*kutaisi, "roll-desk.release").repeatable);
        for (auto const& [path, id] : riga->service_ids)
        {
            CPPUNIT_ASSERT(riga->policy(id).hedge_budget_ratio == 0);
        }
        CPPUNIT_ASSERT(!policy_of(*riga, "matching.confirm").repeatable);
        CPPUNIT_ASSERT(policy_of(*riga, "matching.search").repeatable);
        CPPUNIT_ASSERT(policy_of(*riga, "matching.shortlist").repeatable);
    }

    void publication_with_invalid_values_is_refused()
    {
        auto const tree = example_tree("riga");
        std::vector<std::pair<std::string, error_code>> const cases = {
            {R"("set":{"services.matching.max_attempts":0})",
             error_code::settings_out_of_range},
            {R"("set":{"services.matching.confirm":{"repeatable":0}})",
             error_code::settings_wrong_type},
            {R"("set":{"services.matching.max":1})",
             error_code::settings_unknown_key},
            {R"("set":{"services.matching.max_attempts.x":1})",
             error_code::settings_wrong_type},
            {R"("set":{"urgency.urgent_weight":[1]})",
             error_code::settings_wrong_type},
            {R"("set":{},"sett":{})", error_code::settings_unknown_key},
            {R"("set":{"a.b":1,"a.b":1})", error_code::settings_duplicate_key},
            {R"("unset":"teams")", error_code::settings_wrong_type},
            {R"("unset":["teams","teams.a"])",
             error_code::settings_duplicate_key}};
        for (auto const& [part, code] : cases)
        {
            auto const body =
                R"({"publication":"p","base":0,"author":"a",)" + part + '}';
            auto const check = check_publication(body, tree);
            CPPUNIT_ASSERT_MESSAGE(part, !check.faults.empty());
            CPPUNIT_ASSERT_MESSAGE(part, check.faults.front().code == code);
        }
    }

    void faults_outside_the_touched_paths_do_not_block_a_publication()
    {
        auto tree = example_tree("riga");
        CPPUNIT_ASSERT(tree.set("services.matching.key_of_a_later_version", 1));
        settings_publication publication{"p",
                                         settings_version{1},
                                         "a",
                                         {{{"teams.x", {{"weight", 2}}}}, {}}};
        auto const text = write_record(publication);
        auto const check = check_publication(text, tree);
        CPPUNIT_ASSERT(check.faults.empty());
        CPPUNIT_ASSERT(check.publication.changes == publication.changes);
    }

    void oversized_tree_is_refused()
    {
        settings_tree tree;
        CPPUNIT_ASSERT(!apply_changes(
            {{{"teams.a", std::string(settings_tree_limit_bytes, 'x')}}, {}},
            tree));
        CPPUNIT_ASSERT(tree == settings_tree{});
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(settings_tree_test, "settings_tree");

} // namespace
