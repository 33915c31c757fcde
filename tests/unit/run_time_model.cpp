#include "goldcrestgate/core/leasing/run_time_model.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace
{

using namespace goldcrestgate::core;
using std::chrono::milliseconds;

constexpr std::string_view route = "orders";
constexpr double rare_overrun = 0.95;

void observe_lognormal(run_time_model& model, duration estimate, double median,
                       double deviation, int count)
{
    std::mt19937 random{7};
    std::normal_distribution<double> logarithm{std::log(median), deviation};
    for (int i = 0; i < count; ++i)
    {
        model.observe(route, estimate, std::exp(logarithm(random)));
    }
}

// Guards against placement and admission by a mean where run times scatter.
class run_time_model_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(run_time_model_test);
    CPPUNIT_TEST(without_observations_run_times_scatter_by_forty_percent);
    CPPUNIT_TEST(quantiles_follow_the_observations);
    CPPUNIT_TEST(magnitudes_of_estimates_are_kept_apart);
    CPPUNIT_TEST(rare_long_runs_raise_the_high_quantile_only);
    CPPUNIT_TEST(old_observations_lose_weight);
    CPPUNIT_TEST(successor_adopts_the_larger_sample);
    CPPUNIT_TEST(invalid_reports_are_refused);
    CPPUNIT_TEST(number_of_routes_is_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void without_observations_run_times_scatter_by_forty_percent()
    {
        run_time_model const model;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1.0, model.quantile(route, milliseconds{100}, 0.5), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1.8, model.quantile(route, milliseconds{100}, 0.93), 0.05);
    }

    void quantiles_follow_the_observations()
    {
        run_time_model model;
        observe_lognormal(model, milliseconds{100}, 0.8, 0.1, 500);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.8, model.quantile(route, milliseconds{100}, 0.5), 0.05);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.95, model.quantile(route, milliseconds{100}, rare_overrun), 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1.0, model.quantile("other", milliseconds{100}, 0.5), 0.02);
    }

    void magnitudes_of_estimates_are_kept_apart()
    {
        run_time_model model;
        observe_lognormal(model, milliseconds{2000}, 0.6, 0.1, 300);
        observe_lognormal(model, milliseconds{100}, 1.5, 0.1, 300);
        CPPUNIT_ASSERT(model.quantile(route, milliseconds{2000}, 0.5) < 0.7);
        CPPUNIT_ASSERT(model.quantile(route, milliseconds{100}, 0.5) > 1.3);
    }

    void rare_long_runs_raise_the_high_quantile_only()
    {
        run_time_model model;
        observe_lognormal(model, milliseconds{100}, 1.0, 0.2, 380);
        for (int i = 0; i < 20; ++i)
        {
            model.observe(route, milliseconds{100}, 7.0);
        }
        CPPUNIT_ASSERT(model.quantile(route, milliseconds{100}, 0.5) < 1.1);
        CPPUNIT_ASSERT(model.quantile(route, milliseconds{100}, 0.97) > 5.0);
    }

    void old_observations_lose_weight()
    {
        run_time_model model;
        observe_lognormal(model, milliseconds{100}, 0.5, 0.1, 600);
        observe_lognormal(model, milliseconds{100}, 2.0, 0.1, 1500);
        CPPUNIT_ASSERT(model.quantile(route, milliseconds{100}, 0.2) > 1.5);
    }

    void successor_adopts_the_larger_sample()
    {
        run_time_model owner;
        observe_lognormal(owner, milliseconds{100}, 2.0, 0.1, 200);
        run_time_model successor;
        observe_lognormal(successor, milliseconds{100}, 1.0, 0.1, 20);
        auto const changes = owner.take_changes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(successor.adopt(changes.front()));
        CPPUNIT_ASSERT(successor.quantile(route, milliseconds{100}, 0.5) > 1.7);
        // What has been sent is sent again only for a new successor.
        CPPUNIT_ASSERT(owner.take_changes().empty());
        owner.repeat_all();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.take_changes().size());
        CPPUNIT_ASSERT(!successor.adopt(changes.front()));
    }

    void invalid_reports_are_refused()
    {
        run_time_model model;
        learned_run_times report{std::string{route}, 6, {}};
        report.weights.at(3) = std::nanf("");
        CPPUNIT_ASSERT(!model.adopt(report));
        report.weights.at(3) = -1.0F;
        CPPUNIT_ASSERT(!model.adopt(report));
        report.weights.at(3) = 10.0F;
        report.magnitude = 200;
        CPPUNIT_ASSERT(!model.adopt(report));
    }

    // Guards against memory that grows with the routes of changing
    // configurations.
    void number_of_routes_is_bounded()
    {
        run_time_model model;
        for (std::size_t i = 0; i < 2 * run_time_model::max_routes; ++i)
        {
            model.observe("route-" + std::to_string(i), milliseconds{100}, 1.0);
        }
        std::size_t reported = 0;
        for (auto report = model.take_changes(); !report.empty();
             report = model.take_changes())
        {
            CPPUNIT_ASSERT(report.size() <= run_time_model::max_reported);
            reported += report.size();
        }
        CPPUNIT_ASSERT_EQUAL(run_time_model::max_routes, reported);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(run_time_model_test, "run_time_model");

} // namespace
