#include "goldcrestgate/core/leasing/admission.hpp"
#include "goldcrestgate/core/leasing/executor_health.hpp"
#include "goldcrestgate/core/leasing/placement.hpp"
#include "goldcrestgate/core/leasing/route_table.hpp"
#include "goldcrestgate/core/leasing/speed_report.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cmath>

namespace
{

using namespace goldcrestgate::core;
using std::chrono::milliseconds;

constexpr resource_amounts demand{27'000, 64, 0};

placement_candidate candidate(std::uint32_t id, std::uint32_t free,
                              double slowdown)
{
    return {executor_id{id}, {free, 1024, 0}, slowdown};
}

// Guards against decisions that waste fast executors, capacity or callers'
// time.
class leasing_decisions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leasing_decisions_test);
    CPPUNIT_TEST(task_with_time_leaves_fast_executors);
    CPPUNIT_TEST(long_task_takes_a_fast_executor);
    CPPUNIT_TEST(long_task_waits_for_a_fast_executor);
    CPPUNIT_TEST(equal_executors_are_filled_up);
    CPPUNIT_TEST(too_slow_executor_is_not_used);
    CPPUNIT_TEST(admission_rejects_what_waits_too_long);
    CPPUNIT_TEST(speed_follows_a_change);
    CPPUNIT_TEST(successor_learns_changed_speeds);
    CPPUNIT_TEST(new_executor_is_judged_by_its_kind);
    CPPUNIT_TEST(health_ejects_and_probes);
    CPPUNIT_TEST(longest_prefix_of_the_host_is_found);
    CPPUNIT_TEST_SUITE_END();

public:
    void task_with_time_leaves_fast_executors()
    {
        std::array const all = {candidate(1, 64'000, 0.6),
                                candidate(2, 64'000, 1.0),
                                candidate(3, 64'000, 1.7)};
        CPPUNIT_ASSERT(choose(all, milliseconds{60}, milliseconds{156}) ==
                       executor_id{3});
    }

    void long_task_takes_a_fast_executor()
    {
        std::array const all = {candidate(1, 64'000, 0.6),
                                candidate(3, 64'000, 1.7)};
        CPPUNIT_ASSERT(choose(all, milliseconds{900}, milliseconds{1500}) ==
                       executor_id{1});
    }

    void long_task_waits_for_a_fast_executor()
    {
        std::array const slow = {candidate(3, 64'000, 1.7)};
        auto request = request_of(milliseconds{900}, milliseconds{1500});
        request.waited = {};
        CPPUNIT_ASSERT(!choose_executor(slow, request));
        request.waited = fast_executor_wait;
        CPPUNIT_ASSERT(choose_executor(slow, request));
    }

    void equal_executors_are_filled_up()
    {
        std::array const all = {candidate(1, 64'000, 1.0),
                                candidate(2, 37'000, 1.02)};
        CPPUNIT_ASSERT(choose(all, milliseconds{60}, milliseconds{156}) ==
                       executor_id{2});
    }

    void too_slow_executor_is_not_used()
    {
        std::array const slow = {candidate(3, 64'000, 4.0)};
        CPPUNIT_ASSERT(!choose_executor(
            slow, request_of(milliseconds{900}, milliseconds{1500})));
    }

    void admission_rejects_what_waits_too_long()
    {
        admission_input input;
        input.time_to_objective = milliseconds{156};
        input.time_to_limit = milliseconds{1500};
        input.fastest_run = milliseconds{60};
        input.usable_millicores = 1'000'000;
        input.work_ahead = 50'000;
        CPPUNIT_ASSERT(admit(input).admitted);
        input.work_ahead = 200'000;
        CPPUNIT_ASSERT(!admit(input).admitted);
        input.work_ahead = 5'000'000;
        CPPUNIT_ASSERT(admit(input).retry_after >= std::chrono::seconds{5});
    }

    void speed_follows_a_change()
    {
        speed_model model;
        model.add(executor_id{1}, "a");
        observe(model, 1, 30, milliseconds{100});
        CPPUNIT_ASSERT(std::abs(model.slowdown(executor_id{1}) - 1.0) < 0.05);
        observe(model, 1, 3, milliseconds{650});
        CPPUNIT_ASSERT(model.slowdown(executor_id{1}) > 4.0);
    }

    void new_executor_is_judged_by_its_kind()
    {
        speed_model model;
        model.add(executor_id{1}, "b");
        observe(model, 1, 30, milliseconds{60});
        model.add(executor_id{2}, "b");
        CPPUNIT_ASSERT(std::abs(model.slowdown(executor_id{2}) - 0.6) < 0.1);
    }

    // Guards against a successor that assumes equal speeds, and against reports
    // that repeat known speeds.
    void successor_learns_changed_speeds()
    {
        speed_model owner;
        speed_model successor;
        for (auto* const model : {&owner, &successor})
        {
            model->add(executor_id{1}, "a");
            model->add(executor_id{2}, "a");
        }
        observe(owner, 1, 10, milliseconds{60});
        observe(owner, 2, 10, milliseconds{160});
        speed_report report;
        for (auto const& [id, speed] : report.take_changes(owner.learned()))
        {
            CPPUNIT_ASSERT(successor.adopt(id, speed));
        }
        CPPUNIT_ASSERT(successor.slowdown(executor_id{1}) < 0.75);
        CPPUNIT_ASSERT(successor.slowdown(executor_id{2}) > 1.4);
        observe(owner, 1, 1, milliseconds{61});
        CPPUNIT_ASSERT(report.take_changes(owner.learned()).empty());
        report.repeat_all();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             report.take_changes(owner.learned()).size());
        CPPUNIT_ASSERT(!successor.adopt(executor_id{9}, {1.0, 10.0}));
    }

    void health_ejects_and_probes()
    {
        executor_health health;
        time_point now{std::chrono::seconds{10}};
        health.record_failure(now);
        CPPUNIT_ASSERT(health.accepts(now, 1));
        health.record_failure(now);
        CPPUNIT_ASSERT(!health.accepts(now, 0));
        now += milliseconds{600};
        CPPUNIT_ASSERT(health.accepts(now, 0));
        CPPUNIT_ASSERT(!health.accepts(now, 1));
        health.record_success();
        CPPUNIT_ASSERT(health.accepts(now, 1));
    }

    void longest_prefix_of_the_host_is_found()
    {
        route_table table;
        table.routes.resize(3);
        table.routes[0].host = "a.example";
        table.routes[0].path_prefix = "/x/";
        table.routes[1].host = "a.example";
        table.routes[1].path_prefix = "/x/y/";
        table.routes[2].host = "b.example";
        table.routes[2].path_prefix = "/x/";
        CPPUNIT_ASSERT(table.find("a.example:80", "/x/y/1") ==
                       &table.routes[1]);
        CPPUNIT_ASSERT(table.find("b.example", "/x/y/1") == &table.routes[2]);
        CPPUNIT_ASSERT(table.find("c.example", "/x/1") == nullptr);
    }

private:
    static placement_request request_of(duration estimate, duration left)
    {
        placement_request request;
        request.demand = demand;
        request.estimate = estimate;
        request.to_objective = left;
        request.to_limit = milliseconds{1500};
        request.fastest_slowdown = 0.6;
        request.waited = fast_executor_wait;
        return request;
    }

    template <std::size_t Count>
    static executor_id
    choose(std::array<placement_candidate, Count> const& candidates,
           duration estimate, duration left)
    {
        auto const choice =
            choose_executor(candidates, request_of(estimate, left));
        CPPUNIT_ASSERT(choice);
        return choice->executor;
    }

    static void observe(speed_model& model, std::uint32_t executor, int times,
                        duration actual)
    {
        for (int i = 0; i < times; ++i)
        {
            model.observe(executor_id{executor}, milliseconds{100}, actual);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(leasing_decisions_test,
                                      "leasing_decisions");

} // namespace
