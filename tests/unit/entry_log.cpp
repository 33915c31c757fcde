#include "goldcrestgate/app/entry/entry_log.hpp"
#include "goldcrestgate/app/entry/entry_metrics.hpp"

#include <nlohmann/json.hpp>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <string_view>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;

nlohmann::json parse(app::log_line const& line)
{
    return nlohmann::json::parse(line.finish({}));
}

std::string_view name_of(executor_id id)
{
    return id == executor_id{1} ? "e1" : "e2";
}

scheduler_log_event make_late_run()
{
    scheduler_log_event log_event{
        .event = "late_run_found",
        .job = client_job_id{7},
        .run = task_run{{client_job_id{7}, 0, 3}, 2},
        .executor = executor_id{1},
        .reason = "other_run_recorded",
    };
    log_event.incarnation = 1'700'000'000'123;
    log_event.late = {"start_unanswered", milliseconds{4200}, executor_id{2},
                      3};
    return log_event;
}

class entry_log_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_log_test);
    CPPUNIT_TEST(late_run_shows_both_runs);
    CPPUNIT_TEST(late_run_of_an_unknown_start_claims_nothing);
    CPPUNIT_TEST(crash_shows_its_evidence);
    CPPUNIT_TEST(listed_executor_shows_its_process);
    CPPUNIT_TEST(late_runs_and_losses_are_counted_by_source);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a line that does not show which runs of a task went on at
    // the same time.
    void late_run_shows_both_runs()
    {
        auto const line = app::to_log_line(make_late_run(), name_of);
        CPPUNIT_ASSERT(line.level() == app::log_level::warning);
        auto const fields = parse(line);
        CPPUNIT_ASSERT_EQUAL(std::string{"e1"},
                             fields.at("executor").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(2, fields.at("execution").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1'700'000'000'123},
                             fields.at("incarnation").get<std::int64_t>());
        CPPUNIT_ASSERT_EQUAL(std::string{"start_unanswered"},
                             fields.at("given_up").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(4200, fields.at("since_sent_ms").get<int>());
        CPPUNIT_ASSERT(fields.at("active_elsewhere").get<bool>());
        CPPUNIT_ASSERT_EQUAL(std::string{"e2"},
                             fields.at("other_executor").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(3, fields.at("other_execution").get<int>());
    }

    // Guards against crash lines that do not tell whether the run was there
    // and what else crashed.
    void crash_shows_its_evidence()
    {
        scheduler_log_event log_event{.event = "crash_counted"};
        log_event.crash = {"accepted", 7, 50, 4, 40, 3};
        auto const fields = parse(app::to_log_line(log_event, name_of));
        CPPUNIT_ASSERT_EQUAL(std::string{"accepted"},
                             fields.at("start").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(7, fields.at("incarnation").get<int>());
        CPPUNIT_ASSERT_EQUAL(4, fields.at("crashes").get<int>());
        CPPUNIT_ASSERT_EQUAL(50, fields.at("executors").get<int>());
        CPPUNIT_ASSERT_EQUAL(3, fields.at("other_crashes").get<int>());
        CPPUNIT_ASSERT_EQUAL(40, fields.at("other_executors").get<int>());
    }

    // Guards against a time or an executor in the line that nobody has seen.
    void late_run_of_an_unknown_start_claims_nothing()
    {
        auto log_event = make_late_run();
        log_event.late = late_run{};
        auto const line = app::to_log_line(log_event, name_of);
        CPPUNIT_ASSERT(line.level() == app::log_level::info);
        auto const fields = parse(line);
        CPPUNIT_ASSERT_EQUAL(std::string{"not_known"},
                             fields.at("given_up").get<std::string>());
        CPPUNIT_ASSERT(!fields.at("active_elsewhere").get<bool>());
        CPPUNIT_ASSERT(!fields.contains("since_sent_ms"));
        CPPUNIT_ASSERT(!fields.contains("other_executor"));
    }

    // Guards against an entry in the log whose process is not known.
    void listed_executor_shows_its_process()
    {
        executor_description description;
        description.name = "e1";
        description.address = "127.0.0.1:9000";
        description.incarnation = 5;
        auto const fields = parse(app::to_log_line(description));
        CPPUNIT_ASSERT_EQUAL(std::string{"executor_listed"},
                             fields.at("event").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(5, fields.at("incarnation").get<int>());
    }

    // Guards against metrics from which an operator cannot tell restarts by
    // their source, and late runs by their cause.
    void late_runs_and_losses_are_counted_by_source()
    {
        app::entry_metrics metrics;
        metrics.count_decision(make_late_run());
        metrics.count_decision(make_late_run());
        scheduler_log_event loss{.event = "executor_lost",
                                 .executor = executor_id{1}};
        loss.reason = "restarted";
        loss.change = {"poll_answer", 1, 2, 0};
        metrics.count_decision(loss);
        auto const text = metrics.render({}, {});
        for (std::string_view const expected :
             {"goldcrestgate_late_runs_total{given_up=\"start_unanswered\","
              "active_elsewhere=\"true\"} 2\n",
              "goldcrestgate_executor_losses_total{reason=\"restarted\","
              "source=\"poll_answer\"} 1\n"})
        {
            CPPUNIT_ASSERT_MESSAGE(std::string{expected},
                                   text.find(expected) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(entry_log_test, "entry_log");

} // namespace
