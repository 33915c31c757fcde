#include "goldcrestgate/core/leasing/reservation_plan.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate::core;
using std::chrono::milliseconds;

time_point const now{std::chrono::seconds{10}};

constexpr std::size_t limit = 8;
constexpr double overrun_factor = 1.4;

resource_amounts cores(std::uint32_t count)
{
    return {count * 1000, 64, 0};
}

/// An executor of 16 cores with runs of 6 cores that end after the given times.
reservable_executor make_executor(std::uint32_t id, std::uint32_t free,
                                  std::vector<milliseconds> const& ends)
{
    reservable_executor executor{executor_id{id}, {free * 1000, 4096, 0}, {}};
    for (auto const end : ends)
    {
        executor.releases.push_back({now + end, cores(6)});
    }
    return executor;
}

blocked_group make_group(std::uint32_t cpu, std::size_t rank = 5,
                         milliseconds to_deadline = milliseconds{1000})
{
    return {client_job_id{rank}, 0, rank, cores(cpu), milliseconds{200},
            now + to_deadline};
}

std::optional<double> equal_speed(executor_id)
{
    return 1.0;
}

planned_start make_start(std::uint32_t executor, std::uint32_t cpu,
                         milliseconds expected_run, std::size_t rank = 9)
{
    return {executor_id{executor}, rank, cores(cpu), expected_run};
}

// Guards against reservations that are late, useless or too many, and against
// starts that take reserved capacity.
class reservation_plan_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reservation_plan_test);
    CPPUNIT_TEST(earliest_capacity_is_reserved);
    CPPUNIT_TEST(faster_executor_is_preferred_at_equal_times);
    CPPUNIT_TEST(reservation_past_the_latest_start_is_not_made);
    CPPUNIT_TEST(unsuitable_executors_are_skipped);
    CPPUNIT_TEST(limit_and_one_reservation_for_each_executor);
    CPPUNIT_TEST(short_tasks_are_backfilled);
    CPPUNIT_TEST(spare_capacity_is_used_once);
    CPPUNIT_TEST(earlier_jobs_are_not_held_back);
    CPPUNIT_TEST_SUITE_END();

public:
    void earliest_capacity_is_reserved()
    {
        auto plan = make_plan();
        plan.add(make_executor(1, 4, {milliseconds{30}, milliseconds{90}}));
        plan.add(make_executor(2, 4, {milliseconds{60}, milliseconds{50}}));
        CPPUNIT_ASSERT(plan.reserve(make_group(12), equal_speed));
        auto const& reserved = plan.reservations().at(executor_id{2});
        CPPUNIT_ASSERT(reserved.at == now + milliseconds{60});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4000},
                             reserved.spare.cpu_millicores);
    }

    void faster_executor_is_preferred_at_equal_times()
    {
        auto plan = make_plan();
        for (std::uint32_t id = 1; id <= 3; ++id)
        {
            plan.add(make_executor(id, 10, {milliseconds{30}}));
        }
        CPPUNIT_ASSERT(plan.reserve(make_group(12),
                                    [](executor_id id)
                                    {
                                        return id == executor_id{2} ? 0.8 : 1.0;
                                    }));
        CPPUNIT_ASSERT(plan.reservations().contains(executor_id{2}));
    }

    // Capacity that is held for a task which cannot end in time is lost to the
    // others.
    void reservation_past_the_latest_start_is_not_made()
    {
        auto plan = make_plan();
        plan.add(make_executor(1, 10, {milliseconds{100}}));
        CPPUNIT_ASSERT(
            !plan.reserve(make_group(12, 5, milliseconds{379}), equal_speed));
        CPPUNIT_ASSERT(
            plan.reserve(make_group(12, 5, milliseconds{380}), equal_speed));
    }

    // An executor that has the capacity already was refused by the placement,
    // and one whose runs have no expected end never has it.
    void unsuitable_executors_are_skipped()
    {
        auto plan = make_plan();
        plan.add(make_executor(1, 16, {}));
        plan.add(make_executor(2, 4, {}));
        plan.add(make_executor(3, 10, {milliseconds{5}}));
        CPPUNIT_ASSERT(!plan.reserve(
            make_group(12),
            [](executor_id id)
            {
                return id == executor_id{3} ? std::nullopt
                                            : std::optional<double>{1.0};
            }));
    }

    void limit_and_one_reservation_for_each_executor()
    {
        reservation_plan plan{2, overrun_factor, now};
        for (std::uint32_t id = 1; id <= 4; ++id)
        {
            plan.add(make_executor(id, 10, {milliseconds{10 * id}}));
        }
        CPPUNIT_ASSERT(plan.reserve(make_group(12, 1), equal_speed));
        CPPUNIT_ASSERT(!plan.is_full());
        CPPUNIT_ASSERT(plan.reserve(make_group(12, 2), equal_speed));
        CPPUNIT_ASSERT(plan.is_full());
        CPPUNIT_ASSERT(!plan.reserve(make_group(12, 3), equal_speed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             plan.reservations().at(executor_id{1}).rank);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             plan.reservations().at(executor_id{2}).rank);
    }

    // The expected run time is multiplied by the overrun factor, as a task that
    // is as likely to end late as early would delay half of the reservations.
    void short_tasks_are_backfilled()
    {
        auto plan = make_plan();
        plan.add(make_executor(1, 10, {milliseconds{70}}));
        CPPUNIT_ASSERT(plan.reserve(make_group(12), equal_speed));
        CPPUNIT_ASSERT(plan.effect_of(make_start(1, 8, milliseconds{50})) ==
                       reservation_effect::none);
        CPPUNIT_ASSERT(plan.effect_of(make_start(1, 8, milliseconds{51})) ==
                       reservation_effect::delays_earlier_job);
        CPPUNIT_ASSERT(plan.effect_of(make_start(2, 8, milliseconds{900})) ==
                       reservation_effect::none);
    }

    // 4 cores stay free beside the reserved ones.
    void spare_capacity_is_used_once()
    {
        auto plan = make_plan();
        plan.add(make_executor(1, 10, {milliseconds{70}}));
        CPPUNIT_ASSERT(plan.reserve(make_group(12), equal_speed));
        auto const long_task = make_start(1, 3, milliseconds{400});
        CPPUNIT_ASSERT(plan.effect_of(long_task) == reservation_effect::none);
        plan.record_start(make_start(1, 3, milliseconds{50}));
        CPPUNIT_ASSERT(plan.effect_of(long_task) == reservation_effect::none);
        plan.record_start(long_task);
        CPPUNIT_ASSERT(plan.effect_of(long_task) ==
                       reservation_effect::delays_earlier_job);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.reservations().size());
    }

    // A reservation gives its job no precedence over jobs that go first in the
    // serving order; their start releases it.
    void earlier_jobs_are_not_held_back()
    {
        auto plan = make_plan();
        plan.add(make_executor(1, 10, {milliseconds{70}}));
        CPPUNIT_ASSERT(plan.reserve(make_group(12, 5), equal_speed));
        auto const earlier = make_start(1, 8, milliseconds{400}, 4);
        CPPUNIT_ASSERT(plan.effect_of(earlier) ==
                       reservation_effect::delays_later_job);
        plan.record_start(earlier);
        CPPUNIT_ASSERT(plan.reservations().empty());
    }

private:
    static reservation_plan make_plan()
    {
        return {limit, overrun_factor, now};
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(reservation_plan_test,
                                      "reservation_plan");

} // namespace
