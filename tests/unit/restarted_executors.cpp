#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::executor_fleet;
using tests::fleet_owner;

class restarted_executors_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restarted_executors_test);
    CPPUNIT_TEST(restarts_within_a_second_cause_no_duplicate_run);
    CPPUNIT_TEST(late_poll_answer_of_the_earlier_process_ends_no_run);
    CPPUNIT_TEST(loss_of_an_executor_names_the_source_of_the_news);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time when several executors
    // restart within a second and accept starts before their owner learns of
    // it, from the list of executors or from an answer.
    void restarts_within_a_second_cause_no_duplicate_run()
    {
        for (std::uint64_t seed = 1; seed <= 100; ++seed)
        {
            run_seed(seed);
        }
    }

    // Guards against a start of a task that is done, and of one that runs: a
    // late answer of the earlier process set the number of acknowledged ends,
    // or its list decided which runs of the new process had ended.
    void late_poll_answer_of_the_earlier_process_ends_no_run()
    {
        for (int work_ms = 30; work_ms <= 120; ++work_ms)
        {
            executor_fleet fleet{1};
            fleet_owner owner{fleet};
            owner.start(1);
            executor_id const id{1};
            owner.submit(1, 2, milliseconds{30});
            fleet.run_for(milliseconds{100});
            owner.submit(2, 1, milliseconds{40});
            fleet.run_for(milliseconds{30});
            fleet.behaviour(id).poll_answer_delay = milliseconds{80};
            fleet.run_for(milliseconds{20});
            fleet.behaviour(id) = {};
            fleet.restart(id);
            owner.list(id);
            fleet.run_for(milliseconds{10});
            owner.submit(3, 1, milliseconds{work_ms});
            fleet.run_for(milliseconds{1500});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(work_ms) + " ms",
                                         std::size_t{1},
                                         fleet.starts(client_job_id{3}));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts_after_end);
        }
    }

    // Guards against log lines from which the cause of a restarted run cannot
    // be told.
    void loss_of_an_executor_names_the_source_of_the_news()
    {
        executor_fleet fleet{1};
        fleet_owner owner{fleet};
        owner.start(1);
        owner.submit(1, 2, milliseconds{300});
        fleet.run_for(milliseconds{20});
        executor_id const id{1};
        fleet.restart(id);
        std::vector<scheduler_action> out;
        owner.scheduler.list(id, fleet.description(id), fleet.now(), out);
        auto const restart = change_in(out);
        CPPUNIT_ASSERT(restart.source == "store_entry");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, restart.earlier_incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, restart.incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, restart.runs_kept);
        out.clear();
        owner.scheduler.start_answered(
            {order_id{1000}, id, owner.start_orders.front().run,
             order_outcome::other_incarnation, std::nullopt},
            fleet.now(), out);
        auto const loss = change_in(out);
        CPPUNIT_ASSERT(loss.source == "refused_order");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, loss.earlier_incarnation);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, loss.runs_kept);
    }

private:
    static executor_change change_in(std::span<scheduler_action const> actions)
    {
        for (auto const& action : actions)
        {
            auto const* const log_event =
                std::get_if<scheduler_log_event>(&action);
            if (log_event != nullptr && log_event->change)
            {
                return *log_event->change;
            }
        }
        CPPUNIT_FAIL("no executor was lost");
        return {};
    }

    static void run_seed(std::uint64_t seed)
    {
        std::mt19937_64 random{seed};
        auto const pick = [&random](std::uint64_t below)
        {
            return random() % below;
        };
        constexpr std::uint32_t executor_count = 8;
        executor_fleet fleet{executor_count};
        fleet_owner owner{fleet};
        owner.start(1);
        std::uint64_t next_id = 1;
        for (int step = 0; step < 60; ++step)
        {
            // The restarts fall into the second after the first 20 steps.
            if (step >= 20 && step < 45 && pick(3) != 0)
            {
                executor_id const id{
                    static_cast<std::uint32_t>(1 + pick(executor_count))};
                fleet.restart(id);
                fleet.schedule(milliseconds{pick(400)},
                               [&owner, id]
                               {
                                   owner.list(id);
                               });
            }
            owner.submit(next_id++, static_cast<std::uint16_t>(1 + pick(3)),
                         milliseconds{40 + pick(300)});
            fleet.run_for(milliseconds{20 + pick(40)});
        }
        fleet.run_for(milliseconds{3000});
        auto const message = "seed " + std::to_string(seed);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{0},
                                     fleet.duplicate_runs);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t{0},
                                     fleet.starts_after_end);
        tests::check_rejections(fleet, owner);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restarted_executors_test,
                                      "restarted_executors");

} // namespace
