#include "goldcrestgate/core/leasing/crash_ledger.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using std::chrono::seconds;

constexpr time_point start{seconds{1000}};

leased_task task_of(std::uint64_t job, std::uint16_t index = 0)
{
    return {client_job_id{job}, 0, index};
}

bool is_open(client_job_id job)
{
    return job == client_job_id{1};
}

/// Crash under a run that shared its executor.
crash_observation beside_others(std::uint64_t id, crash_state state)
{
    return {id, state, false};
}

crash_observation alone(std::uint64_t id, crash_state state)
{
    return {id, state, true};
}

class crash_ledger_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_ledger_test);
    CPPUNIT_TEST(shared_executors_identify_no_task_before_the_third_crash);
    CPPUNIT_TEST(isolated_crash_identifies_the_task);
    CPPUNIT_TEST(refuted_crash_does_not_count);
    CPPUNIT_TEST(crash_counts_once);
    CPPUNIT_TEST(shared_crashes_identify_no_task);
    CPPUNIT_TEST(suspected_task_may_start_again_later);
    CPPUNIT_TEST(crashes_of_open_jobs_do_not_expire);
    CPPUNIT_TEST(reports_are_bounded_and_merged_once);
    CPPUNIT_TEST(full_entry_keeps_crashes_that_count);
    CPPUNIT_TEST(late_report_does_not_count_for_a_done_task);
    CPPUNIT_TEST(random_merges_agree);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against giving up a task that ran beside the one that crashes its
    // executors.
    void shared_executors_identify_no_task_before_the_third_crash()
    {
        crash_ledger ledger;
        for (std::uint64_t id = 1; id <= 3; ++id)
        {
            CPPUNIT_ASSERT(!ledger.is_withheld(task_of(1), start));
            ledger.record(task_of(1), beside_others(id, crash_state::suspected),
                          start);
        }
        CPPUNIT_ASSERT(ledger.is_withheld(task_of(1), start));
        CPPUNIT_ASSERT(!ledger.is_crash_looping(task_of(1)));
        CPPUNIT_ASSERT(std::vector{task_of(1)} ==
                       ledger.withheld_tasks(client_job_id{1}, start));
        CPPUNIT_ASSERT(ledger.withheld_tasks(client_job_id{2}, start).empty());
    }

    // Guards against more crashes than needed to identify a task.
    void isolated_crash_identifies_the_task()
    {
        crash_ledger ledger;
        ledger.record(task_of(1), beside_others(1, crash_state::suspected),
                      start);
        ledger.record(task_of(1), alone(2, crash_state::suspected), start);
        CPPUNIT_ASSERT(ledger.is_withheld(task_of(1), start));
        ledger.record(task_of(1), beside_others(1, crash_state::confirmed),
                      start);
        CPPUNIT_ASSERT(!ledger.is_crash_looping(task_of(1)));
        ledger.record(task_of(1), alone(2, crash_state::confirmed), start);
        CPPUNIT_ASSERT(ledger.is_crash_looping(task_of(1)));
        CPPUNIT_ASSERT(std::vector{task_of(1)} ==
                       ledger.crash_looping_tasks(client_job_id{1}));
    }

    // Guards against counting executors that were only cut off, also if another
    // owner still reports the suspicion.
    void refuted_crash_does_not_count()
    {
        crash_ledger ledger;
        ledger.record(task_of(1), alone(1, crash_state::suspected), start);
        auto const earlier = ledger.report(start, is_open);
        ledger.record(task_of(1), alone(2, crash_state::confirmed), start);
        ledger.record(task_of(1), alone(1, crash_state::refuted), start);
        ledger.adopt(earlier, start);
        CPPUNIT_ASSERT(ledger.is_suspect(task_of(1)));
        CPPUNIT_ASSERT(!ledger.is_withheld(task_of(1), start));
        ledger.record(task_of(2), beside_others(3, crash_state::suspected),
                      start);
        ledger.record(task_of(2), beside_others(3, crash_state::refuted),
                      start);
        CPPUNIT_ASSERT(!ledger.is_suspect(task_of(2)));
    }

    // Guards against a crash that counts once by the silence of the executor
    // and once by its restart, or once for each owner.
    void crash_counts_once()
    {
        crash_ledger ledger;
        CPPUNIT_ASSERT(
            ledger.record(task_of(1), alone(1, crash_state::confirmed), start));
        CPPUNIT_ASSERT(!ledger.record(task_of(1),
                                      alone(1, crash_state::confirmed), start));
        crash_ledger successor;
        successor.record(task_of(1), alone(1, crash_state::confirmed), start);
        successor.adopt(ledger.report(start, is_open), start);
        CPPUNIT_ASSERT((crash_count{1, 1} == successor.confirmed(task_of(1))));
        CPPUNIT_ASSERT(!successor.is_crash_looping(task_of(1)));
    }

    // Guards against giving up or isolating a task for crashes of many
    // executors, and against starting it without a pause.
    void shared_crashes_identify_no_task()
    {
        crash_ledger ledger;
        for (std::uint64_t id = 1; id <= 5; ++id)
        {
            ledger.record(task_of(1), alone(id, crash_state::shared), start);
        }
        CPPUNIT_ASSERT(!ledger.is_suspect(task_of(1)));
        CPPUNIT_ASSERT(!ledger.is_crash_looping(task_of(1)));
        CPPUNIT_ASSERT(ledger.is_withheld(task_of(1), start));
        CPPUNIT_ASSERT(!ledger.is_withheld(task_of(1), start + seconds{3}));
    }

    // Guards against a suspicion that nothing resolves and that keeps a task
    // from starting for good.
    void suspected_task_may_start_again_later()
    {
        crash_ledger ledger;
        ledger.record(task_of(1), alone(1, crash_state::suspected), start);
        ledger.record(task_of(1), alone(2, crash_state::suspected), start);
        CPPUNIT_ASSERT(ledger.is_withheld(task_of(1), start + seconds{7}));
        CPPUNIT_ASSERT(!ledger.is_withheld(task_of(1), start + seconds{8}));
        ledger.record(task_of(1), alone(3, crash_state::suspected), start);
        CPPUNIT_ASSERT(ledger.is_withheld(task_of(1), start + seconds{15}));
        CPPUNIT_ASSERT(!ledger.is_withheld(task_of(1), start + seconds{16}));
    }

    // Guards against counting anew while a patient caller still waits.
    void crashes_of_open_jobs_do_not_expire()
    {
        crash_ledger ledger;
        ledger.record(task_of(1), alone(1, crash_state::suspected), start);
        ledger.record(task_of(2), alone(2, crash_state::suspected), start);
        ledger.expire(start + seconds{59}, is_open);
        CPPUNIT_ASSERT(ledger.is_suspect(task_of(2)));
        ledger.expire(start + seconds{61}, is_open);
        CPPUNIT_ASSERT(ledger.is_suspect(task_of(1)));
        CPPUNIT_ASSERT(!ledger.is_suspect(task_of(2)));
    }

    // Guards against reports that are refused as too large, that leave out the
    // tasks under suspicion, and against repeated reports that add up.
    void reports_are_bounded_and_merged_once()
    {
        crash_ledger ledger;
        ledger.record(task_of(1), alone(1, crash_state::suspected), start);
        crash_ledger successor;
        successor.adopt(ledger.report(start, is_open), start);
        successor.adopt(ledger.report(start, is_open), start);
        CPPUNIT_ASSERT(ledger.suspected(task_of(1)) ==
                       successor.suspected(task_of(1)));
        for (std::uint16_t i = 0; i < 2 * max_reported_crashes; ++i)
        {
            ledger.record(task_of(2, i), beside_others(i, crash_state::shared),
                          start);
        }
        ledger.record(task_of(3), alone(1, crash_state::suspected), start);
        auto const report = ledger.report(start, is_open);
        CPPUNIT_ASSERT_EQUAL(max_reported_crashes, report.size());
        CPPUNIT_ASSERT(std::ranges::find(report, task_of(3),
                                         &task_crashes::task) != report.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             ledger.report(start + seconds{4}, is_open).size());
        for (std::uint64_t id = 1; id <= 2 * max_observed_crashes; ++id)
        {
            ledger.record(task_of(1), alone(id, crash_state::suspected), start);
        }
        CPPUNIT_ASSERT_EQUAL(max_observed_crashes,
                             ledger.report(start + seconds{4}, is_open)
                                 .front()
                                 .observations.size());
    }

    // Guards against refuted crashes that leave no room for those that identify
    // a task.
    void full_entry_keeps_crashes_that_count()
    {
        crash_ledger ledger;
        for (std::uint64_t id = 1; id <= max_observed_crashes; ++id)
        {
            ledger.record(task_of(1), alone(id, crash_state::refuted), start);
        }
        for (std::uint64_t id = 101; id <= 102; ++id)
        {
            ledger.record(task_of(1), alone(id, crash_state::confirmed), start);
        }
        CPPUNIT_ASSERT(ledger.is_crash_looping(task_of(1)));
    }

    // Guards against a report under way that brings back the crashes of a task
    // that is done.
    void late_report_does_not_count_for_a_done_task()
    {
        crash_ledger ledger;
        ledger.record(task_of(1), alone(1, crash_state::confirmed), start);
        auto const report = ledger.report(start, is_open);
        ledger.forget(task_of(1), start);
        ledger.adopt(report, start + seconds{1});
        CPPUNIT_ASSERT(!ledger.is_suspect(task_of(1)));
    }

    // Guards against owners that count differently, depending on the order in
    // which they record crashes and hear of those of others.
    void random_merges_agree()
    {
        for (std::uint64_t seed = 1; seed <= 200; ++seed)
        {
            std::mt19937_64 random{seed};
            std::array<crash_ledger, 3> owners;
            std::map<std::uint64_t, crash_state> expected;
            for (int step = 0; step < 60; ++step)
            {
                auto& owner = owners[random() % owners.size()];
                if (random() % 3 == 0)
                {
                    auto const& other = owners[random() % owners.size()];
                    owner.adopt(other.report(start, is_open), start);
                    continue;
                }
                auto const id = random() % max_observed_crashes;
                auto const state = static_cast<crash_state>(random() % 4);
                owner.record(task_of(1), alone(id, state), start);
                auto& known = expected[id];
                known = std::max(known, state);
            }
            for (auto& owner : owners)
            {
                for (auto const& other : owners)
                {
                    owner.adopt(other.report(start, is_open), start);
                }
            }
            std::uint32_t confirmed = 0;
            for (auto const& [id, state] : expected)
            {
                confirmed += state == crash_state::confirmed ? 1 : 0;
            }
            for (auto const& owner : owners)
            {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    "seed " + std::to_string(seed), confirmed,
                    owner.confirmed(task_of(1)).crashes);
                CPPUNIT_ASSERT(owner.confirmed(task_of(1)).crashes <=
                               owner.suspected(task_of(1)).crashes);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(crash_ledger_test, "crash_ledger");

} // namespace
