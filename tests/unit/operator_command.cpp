#include "goldcrestgate/app/cli/command_line.hpp"
#include "goldcrestgate/app/cli/runner.hpp"
#include "goldcrestgate/app/cli/text_table.hpp"
#include "goldcrestgate/app/cli/views.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include <array>
#include <deque>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::app::cli;
using core::error_code;
using nlohmann::json;

constexpr std::string_view job_id = "g1-1-b-18f3-0";

/// The answers of a scripted instance, in order; an error code stands for a
/// request without an answer.
using script = std::deque<std::variant<operator_response, error_code>>;

/// Runs commands against a scripted instance and records the requests.
struct command_run
{
    explicit command_run(script answers_in)
        : answers(std::move(answers_in))
    {
    }

    core::result<operator_response> answer(operator_request const& request)
    {
        requests.push_back(request);
        CPPUNIT_ASSERT_MESSAGE(request.path, !answers.empty());
        auto const next = answers.front();
        answers.pop_front();
        if (auto const* const code = std::get_if<error_code>(&next))
        {
            return core::fail({*code, "ask", "127.0.0.1:1", "no answer"});
        }
        return std::get<operator_response>(next);
    }

    exit_code run(std::vector<std::string> const& words)
    {
        runner_context context{[this](operator_request const& request)
                               {
                                   return answer(request);
                               },
                               [this](std::string const&)
                               {
                                   return core::result<std::string>(input);
                               },
                               [this](core::duration)
                               {
                                   ++pauses;
                               },
                               []
                               {
                                   return core::time_point{};
                               },
                               []
                               {
                                   return std::string{"p-1"};
                               },
                               out,
                               error};
        return boost::leaf::try_handle_all(
            [&]() -> core::result<exit_code>
            {
                BOOST_LEAF_AUTO(
                    call, parse_command_line(words, {"127.0.0.1:1", "nino"}));
                return app::cli::run(call, context);
            },
            [&](core::error const& failure)
            {
                error << to_string(failure);
                return exit_code::usage;
            },
            []
            {
                return exit_code::unavailable;
            });
    }

    script answers;
    std::vector<operator_request> requests;
    std::string input = "{}";
    int pauses = 0;
    std::ostringstream out;
    std::ostringstream error;
};

operator_response published(std::uint64_t version, json tree)
{
    return {200, json{{"version", version}, {"tree", std::move(tree)}}.dump()};
}

operator_response refused(std::uint16_t status, std::string const& name)
{
    return {status, json{{"error",
                          {{"name", name},
                           {"id", "goldcrestgate.x.1"},
                           {"message", "why"}}},
                         {"fate", "not_run"}}
                        .dump()};
}

operator_response job_answer(std::uint16_t status, std::string const& state)
{
    return {status, json{{"id", job_id}, {"state", state}}.dump()};
}

void assert_exit(exit_code expected, script answers,
                 std::vector<std::string> const& words)
{
    command_run run(std::move(answers));
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(expected),
                         static_cast<int>(run.run(words)));
    CPPUNIT_ASSERT(run.answers.empty());
}

// Guards against an operator's command that reports a wrong outcome, publishes
// or submits twice after a lost answer, or fails on unexpected answers.
class operator_command_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(operator_command_test);
    CPPUNIT_TEST(wrong_command_lines_are_refused);
    CPPUNIT_TEST(each_command_has_help);
    CPPUNIT_TEST(json_values_with_commas_are_not_split);
    CPPUNIT_TEST(exit_codes_match_the_outcome);
    CPPUNIT_TEST(uncertain_publication_is_sent_again_unchanged);
    CPPUNIT_TEST(uncertain_publication_is_not_reported_as_refused);
    CPPUNIT_TEST(conflict_is_reported_and_not_overwritten);
    CPPUNIT_TEST(publish_sends_only_the_differences);
    CPPUNIT_TEST(faulty_file_is_refused_without_a_request);
    CPPUNIT_TEST(lost_job_answer_is_requested_again_with_the_same_id);
    CPPUNIT_TEST(watch_prints_changes_and_survives_an_outage);
    CPPUNIT_TEST(errors_include_advice);
    CPPUNIT_TEST(views_accept_any_json);
    CPPUNIT_TEST(tables_align_and_hide_control_characters);
    CPPUNIT_TEST_SUITE_END();

public:
    void wrong_command_lines_are_refused()
    {
        std::vector<std::vector<std::string>> const lines = {
            {},
            {"frob"},
            {"settings"},
            {"settings", "set", "a"},
            {"settings", "unset"},
            {"explain", "g1-1-b-18f3-0"},
            {"services", "extra"},
            {"services", "--frob"},
            {"services", "--output", "xml"},
            {"services", "--timeout-ms", "0"},
            {"services", "--timeout-ms", "x"},
            {"jobs", "show", "17"},
            {"jobs", "cancel", "g1-1-b-18f3-0/../../admin/drain"},
            {"explain", "g1-1-b-18f3-0", "x"}};
        for (auto const& words : lines)
        {
            assert_exit(exit_code::usage, {}, words);
        }
        CPPUNIT_ASSERT(!parse_command_line({"services"}, {}).has_value());
    }

    void each_command_has_help()
    {
        for (auto const& spec : commands())
        {
            std::istringstream name{std::string{spec.name}};
            std::vector<std::string> words{"--help"};
            for (std::string word; name >> word;)
            {
                words.push_back(word);
            }
            command_run run({});
            CPPUNIT_ASSERT(run.run(words) == exit_code::success);
            auto const text = run.out.str();
            CPPUNIT_ASSERT(text.find(spec.name) != std::string::npos);
            CPPUNIT_ASSERT(text.find(spec.summary) != std::string::npos);
        }
    }

    void json_values_with_commas_are_not_split()
    {
        command_run run(
            {published(1, json::object()),
             operator_response{200, R"({"publication":"p-1","version":2})"}});
        CPPUNIT_ASSERT(run.run({"settings", "set", "teams.a",
                                R"({"weight":1,"may_be_urgent":true})",
                                "failure_domains.1.name", "imereti-a"}) ==
                       exit_code::success);
        auto const record = json::parse(run.requests.at(1).body);
        auto const expected = json::parse(
            R"({"teams.a":{"weight":1,"may_be_urgent":true},
                "failure_domains.1.name":"imereti-a"})");
        CPPUNIT_ASSERT_EQUAL(expected, record["set"]);
        CPPUNIT_ASSERT_EQUAL(json("nino"), record["author"]);
    }

    void exit_codes_match_the_outcome()
    {
        std::vector<std::string> const show = {"jobs", "show",
                                               std::string{job_id}};
        assert_exit(exit_code::success, {job_answer(200, "done")}, show);
        assert_exit(exit_code::success, {job_answer(202, "running")}, show);
        assert_exit(exit_code::negative, {job_answer(200, "failed")}, show);
        assert_exit(exit_code::negative, {job_answer(200, "cancelled")}, show);
        assert_exit(exit_code::unknown, {job_answer(410, "unknown")}, show);
        assert_exit(exit_code::unknown, {refused(410, "submission_unknown")},
                    show);
        assert_exit(exit_code::unknown, {error_code::connection_lost}, show);
        assert_exit(exit_code::unavailable, {error_code::connect_failed}, show);
        std::vector<std::string> const list = {"servers"};
        assert_exit(exit_code::refused, {refused(404, "not_found")}, list);
        assert_exit(exit_code::unavailable, {refused(503, "io_timeout")}, list);
        assert_exit(exit_code::unavailable, {operator_response{200, "<html>"}},
                    list);
        assert_exit(exit_code::unavailable, {operator_response{200, "[]"}},
                    list);
        assert_exit(exit_code::unavailable, {operator_response{200, "{}"}},
                    {"settings", "get"});
    }

    void uncertain_publication_is_sent_again_unchanged()
    {
        command_run run(
            {published(1, json::object()), error_code::connection_lost,
             operator_response{202, R"({"publication":"p-1"})"},
             error_code::connect_failed,
             operator_response{200, R"({"publication":"p-1","version":2})"}});
        CPPUNIT_ASSERT(run.run({"settings", "set", "urgency.urgent_weight",
                                "3"}) == exit_code::success);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, run.requests.size());
        for (std::size_t i = 2; i < run.requests.size(); ++i)
        {
            CPPUNIT_ASSERT_EQUAL(run.requests[1].body, run.requests[i].body);
        }
    }

    void uncertain_publication_is_not_reported_as_refused()
    {
        script answers{published(1, json::object()), error_code::io_timeout};
        answers.insert(answers.end(), 4, refused(503, "log_unavailable"));
        assert_exit(exit_code::unknown, std::move(answers),
                    {"settings", "set", "urgency.urgent_weight", "3"});
        assert_exit(
            exit_code::unavailable,
            {published(1, json::object()), refused(503, "log_unavailable")},
            {"settings", "set", "urgency.urgent_weight", "3"});
    }

    void conflict_is_reported_and_not_overwritten()
    {
        assert_exit(
            exit_code::conflict,
            {published(1, json::object()), refused(409, "settings_conflict")},
            {"settings", "set", "urgency.urgent_weight", "3"});
    }

    void publish_sends_only_the_differences()
    {
        json const tree = {
            {"teams", {{"a", {{"weight", 1}}}, {"b", {{"weight", 2}}}}}};
        command_run run(
            {published(7, tree),
             operator_response{200, R"({"publication":"p-1","version":8})"}});
        run.input = R"({"teams": {"a": {"weight": 5}}} // comment)";
        CPPUNIT_ASSERT(run.run({"settings", "publish", "f"}) ==
                       exit_code::success);
        auto const record = json::parse(run.requests.at(1).body);
        CPPUNIT_ASSERT_EQUAL(json::parse(R"({"teams.a.weight": 5})"),
                             record["set"]);
        CPPUNIT_ASSERT_EQUAL(json::parse(R"(["teams.b"])"), record["unset"]);
        CPPUNIT_ASSERT_EQUAL(json(7), record["base"]);
    }

    void faulty_file_is_refused_without_a_request()
    {
        command_run run({});
        run.input = "{\n\"teams\": {\"a\": {\"weight\": 0}}}";
        CPPUNIT_ASSERT(run.run({"settings", "publish", "f.json"}) ==
                       exit_code::usage);
        CPPUNIT_ASSERT(run.error.str().find("f.json:2: teams.a.weight") !=
                       std::string::npos);
    }

    void lost_job_answer_is_requested_again_with_the_same_id()
    {
        command_run run({operator_response{200, R"({"ids":["g1-1-b-18f3-0"]})"},
                         error_code::connection_lost,
                         job_answer(202, "running"), error_code::io_timeout,
                         job_answer(200, "done")});
        CPPUNIT_ASSERT(run.run({"submit"}) == exit_code::success);
        std::vector<std::string> methods;
        for (auto const& request : run.requests)
        {
            methods.push_back(request.method);
        }
        CPPUNIT_ASSERT((methods == std::vector<std::string>{
                                       "POST", "PUT", "PUT", "GET", "PUT"}));
        CPPUNIT_ASSERT_EQUAL(run.requests[1].path, run.requests[4].path);
        CPPUNIT_ASSERT_EQUAL(run.requests[1].body, run.requests[4].body);
        CPPUNIT_ASSERT(run.error.str().find(job_id) != std::string::npos);
    }

    void watch_prints_changes_and_survives_an_outage()
    {
        json const after = {{"teams", {{"a", json::object()}}}};
        command_run run({published(1, json::object()),
                         error_code::connect_failed, error_code::connect_failed,
                         published(2, json::object()), published(3, after)});
        CPPUNIT_ASSERT(run.run({"settings", "watch", "--count", "1", "--output",
                                "json"}) == exit_code::success);
        auto const change = json::parse(run.out.str());
        CPPUNIT_ASSERT_EQUAL(json(3), change["version"]);
        auto const errors = run.error.str();
        CPPUNIT_ASSERT_EQUAL(errors.find("connect_failed"),
                             errors.rfind("connect_failed"));
    }

    void errors_include_advice()
    {
        command_run run({refused(503, "log_unavailable")});
        run.run({"services"});
        CPPUNIT_ASSERT(run.error.str().find("What to do: Settings in force") !=
                       std::string::npos);
        command_run as_json({error_code::connect_failed});
        as_json.run({"services", "--output", "json"});
        CPPUNIT_ASSERT_EQUAL(json("connect_failed"),
                             json::parse(as_json.error.str())["error"]["name"]);
    }

    void views_accept_any_json()
    {
        std::vector<std::string> const texts = {
            "null",
            "7",
            "[]",
            "{}",
            R"({"services":7,"teams":[7],"servers":{},"instances":"x"})",
            R"({"services":[{"path":7,"settings":[1]}],"jobs":[null]})",
            R"({"log":7,"instances":[7,{"domain":"x"}],"ignored":[7]})",
            R"({"tasks":[7,{"fate":{}}],"error":{"name":7},"decisions":[1]})",
            R"({"error":7,"faults":7})"};
        using view = std::string (*)(json const&);
        std::array<view, 9> const views = {
            view_services, view_teams,     view_instances,
            view_servers,  view_jobs,      view_job,
            view_error,    view_decisions, view_settings_status};
        for (auto const& text : texts)
        {
            for (auto const& format : views)
            {
                CPPUNIT_ASSERT_NO_THROW(format(json::parse(text)));
            }
        }
    }

    void tables_align_and_hide_control_characters()
    {
        text_table table({"A", "B"});
        table.add_row({"\xc3\xa9t\xc3\xa9", "1"});
        table.add_row({"x\x1b[2J", "2"});
        table.add_row({"y"});
        CPPUNIT_ASSERT_EQUAL(
            std::string{"A      B\n\xc3\xa9t\xc3\xa9    1\nx?[2J  2\ny\n"},
            table.format());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(operator_command_test,
                                      "operator_command");

} // namespace
