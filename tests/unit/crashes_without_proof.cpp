#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <optional>
#include <string>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::executor_fleet;
using tests::fleet_owner;

constexpr client_job_id first_job{1};

/// Job of one task whose caller waits for a minute.
leased_job make_patient_job(std::uint64_t id, duration work)
{
    return tests::make_patient_job(id, work, seconds{60});
}

bool has_outcome(fleet_owner const& owner, client_job_id job,
                 job_outcome outcome)
{
    auto const found = owner.verdicts.find(job);
    return found != owner.verdicts.end() && found->second.outcome == outcome;
}

/// Makes starts get no answer; they are carried out after the delay.
void delay_starts(executor_fleet& fleet, duration delay)
{
    fleet.late_order = [delay](tests::order_kind kind)
    {
        return kind == tests::order_kind::start ? std::optional{delay}
                                                : std::nullopt;
    };
}

class crashes_without_proof_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crashes_without_proof_test);
    CPPUNIT_TEST(crash_under_an_unconfirmed_start_fails_no_job);
    CPPUNIT_TEST(crash_of_most_executors_fails_no_job);
    CPPUNIT_TEST(crash_of_all_executors_of_a_job_fails_it_not);
    CPPUNIT_TEST(removal_of_a_silent_executor_fails_no_job);
    CPPUNIT_TEST(move_of_a_living_executor_fails_no_job);
    CPPUNIT_TEST(crash_seen_by_two_owners_counts_once);
    CPPUNIT_TEST(crashes_before_the_answer_to_the_start_are_bounded);
    CPPUNIT_TEST(crash_of_renamed_executors_is_proven);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a crash that is counted under a start that the executor
    // never carried out, although it answered other orders after it.
    void crash_under_an_unconfirmed_start_fails_no_job()
    {
        executor_fleet fleet{6};
        fleet_owner owner{fleet};
        owner.list_restarted();
        owner.start();
        delay_starts(fleet, seconds{1000});
        owner.submit(make_patient_job(1, milliseconds{60}), milliseconds{60});
        for (int crash = 0; crash < 2; ++crash)
        {
            fleet.run_for(milliseconds{20});
            fleet.crash(owner.start_orders.back().executor);
            auto const sent = owner.start_orders.size();
            for (int waited_s = 0;
                 owner.start_orders.size() == sent && waited_s < 20; ++waited_s)
            {
                fleet.run_for(seconds{1});
            }
        }
        fleet.late_order = {};
        fleet.run_for(seconds{40});
        CPPUNIT_ASSERT(!has_outcome(owner, first_job, job_outcome::failed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

    // Guards against giving up the tasks that happened to run when most of the
    // executors crashed.
    void crash_of_most_executors_fails_no_job()
    {
        for (std::size_t const share_percent : {25U, 50U, 90U})
        {
            crash_in_series(share_percent, false);
            crash_in_series(share_percent, true);
        }
    }

    // Guards against taking the crash of all executors for that of a job that
    // uses all of them.
    void crash_of_all_executors_of_a_job_fails_it_not()
    {
        executor_fleet fleet{8};
        fleet_owner owner{fleet};
        fleet.restart_time = milliseconds{400};
        owner.list_restarted();
        owner.start();
        auto job = make_patient_job(1, milliseconds{800});
        job.groups.front().task_count = 16;
        owner.submit(job, milliseconds{800});
        for (int crash = 0; crash < 3; ++crash)
        {
            fleet.run_for(milliseconds{300});
            for (auto const id : fleet.ids())
            {
                fleet.crash(id);
            }
            fleet.run_for(milliseconds{900});
        }
        fleet.run_for(seconds{50});
        CPPUNIT_ASSERT(has_outcome(owner, first_job, job_outcome::completed));
    }

    // Guards against taking the removal of a silent executor's entry for a
    // crash.
    void removal_of_a_silent_executor_fails_no_job()
    {
        executor_fleet fleet{6};
        fleet_owner owner{fleet};
        owner.start();
        owner.submit(make_patient_job(1, seconds{3}), seconds{3});
        for (int cut = 0; cut < 2; ++cut)
        {
            std::optional<executor_id> cut_off;
            for (int step = 0; !cut_off && step < 300; ++step)
            {
                fleet.run_for(milliseconds{100});
                cut_off = fleet.executor_of(first_job);
            }
            CPPUNIT_ASSERT(cut_off.has_value());
            // The progress is known then, so that the silence is noticed.
            fleet.run_for(milliseconds{1200});
            fleet.behaviour(*cut_off).unreachable = true;
            fleet.run_for(milliseconds{500});
            owner.unlist(*cut_off);
            fleet.run_for(milliseconds{1300});
        }
        fleet.run_for(seconds{40});
        CPPUNIT_ASSERT(has_outcome(owner, first_job, job_outcome::completed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

    // Guards against taking the move of a living executor for a crash.
    void move_of_a_living_executor_fails_no_job()
    {
        executor_fleet fleet{6};
        fleet_owner owner{fleet};
        owner.start();
        owner.submit(make_patient_job(1, milliseconds{900}), milliseconds{900});
        for (int move = 0; move < 3; ++move)
        {
            fleet.run_for(milliseconds{200});
            for (auto const id : fleet.ids())
            {
                if (fleet.running(first_job, id) == 0)
                {
                    continue;
                }
                auto moved = fleet.description(id);
                moved.address += std::to_string(move);
                owner.list(id, moved);
            }
        }
        fleet.run_for(seconds{40});
        CPPUNIT_ASSERT(has_outcome(owner, first_job, job_outcome::completed));
    }

    // Guards against one crash that two owners count around a hand-over, and
    // that the heartbeat of the earlier one adds to the count of the later one.
    void crash_seen_by_two_owners_counts_once()
    {
        executor_fleet fleet{6};
        fleet_owner earlier{fleet};
        fleet_owner later{fleet};
        fleet.restart_time = milliseconds{100};
        std::optional<executor_id> restarted;
        fleet.on_restarted = [&](executor_id id)
        {
            restarted = id;
            earlier.list(id);
        };
        earlier.start(1);
        auto const job = make_patient_job(1, milliseconds{900});
        earlier.submit(job, milliseconds{900});
        fleet.run_for(milliseconds{420});
        auto const crashed = fleet.executor_of(first_job);
        CPPUNIT_ASSERT(crashed.has_value());
        later.list_all();
        later.take_over(2, true);
        later.offer(job, true, instance_id{1}, milliseconds{420});
        fleet.run_for(milliseconds{20});
        fleet.crash(*crashed);
        for (int step = 0; step < 150; ++step)
        {
            fleet.run_for(milliseconds{10});
            later.adopt_crashes(earlier);
            if (step == 20)
            {
                CPPUNIT_ASSERT(restarted.has_value());
                later.list(*crashed);
            }
        }
        fleet.run_for(seconds{40});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.crashes({first_job, 0, 0}));
        CPPUNIT_ASSERT(has_outcome(later, first_job, job_outcome::completed));
    }

    // Guards against a task that is started without bound because it crashes
    // its executors before they answer the start.
    void crashes_before_the_answer_to_the_start_are_bounded()
    {
        executor_fleet fleet{12};
        fleet_owner owner{fleet};
        owner.list_restarted();
        owner.start();
        delay_starts(fleet, milliseconds{2});
        leased_task const task{first_job, 0, 0};
        fleet.set_crashing(task);
        owner.submit(make_patient_job(1, milliseconds{60}), milliseconds{60});
        fleet.run_for(seconds{70});
        CPPUNIT_ASSERT(owner.verdicts.contains(first_job));
        CPPUNIT_ASSERT(fleet.most_starts_after_third_crash() <= 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

    // Guards against a task that is not found because each process of its
    // executors has a name of its own.
    void crash_of_renamed_executors_is_proven()
    {
        executor_fleet fleet{12};
        fleet_owner owner{fleet};
        list_renamed(fleet, owner);
        owner.start();
        leased_task const task{first_job, 0, 0};
        fleet.set_crashing(task);
        owner.submit(make_patient_job(1, milliseconds{60}), milliseconds{60});
        fleet.run_for(seconds{30});
        CPPUNIT_ASSERT(has_outcome(owner, first_job, job_outcome::failed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet.crashes(task));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.duplicate_runs);
    }

private:
    /// The store lists the new process of a crashed executor under a new name,
    /// at the next reading, and its owner learns it.
    static void list_renamed(executor_fleet& fleet, fleet_owner& owner)
    {
        constexpr std::uint32_t first_new_id = 1000;
        fleet.on_restarted =
            [&fleet, &owner, last_id = first_new_id](executor_id id) mutable
        {
            executor_id const successor{++last_id};
            auto const described = fleet.supersede(id, successor);
            fleet.schedule(milliseconds{300},
                           [&owner, successor, described]
                           {
                               owner.list(successor, described);
                           });
        };
    }

    static void crash_in_series(std::size_t share_percent, bool renamed)
    {
        constexpr std::size_t executors = 48;
        constexpr std::uint64_t jobs = 60;
        executor_fleet fleet{executors};
        fleet_owner owner{fleet};
        fleet.restart_time = milliseconds{400};
        if (renamed)
        {
            list_renamed(fleet, owner);
        }
        else
        {
            owner.list_restarted();
        }
        owner.start();
        for (std::uint64_t id = 1; id <= jobs; ++id)
        {
            owner.submit(make_patient_job(id, milliseconds{800}),
                         milliseconds{800});
        }
        auto const crashing = executors * share_percent / 100;
        for (std::size_t series = 0; series < 8; ++series)
        {
            fleet.run_for(milliseconds{300});
            for (std::size_t i = 0; i < crashing; ++i)
            {
                auto const index = (series * 7 + i) % executors;
                fleet.crash(fleet.ids()[index]);
            }
            fleet.run_for(milliseconds{700});
        }
        fleet.run_for(seconds{50});
        auto const label = std::to_string(share_percent) +
                           "% of the executors" + (renamed ? ", renamed" : "");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::size_t{0},
                                     fleet.duplicate_runs);
        for (std::uint64_t id = 1; id <= jobs; ++id)
        {
            CPPUNIT_ASSERT_MESSAGE(
                label + ", job " + std::to_string(id),
                has_outcome(owner, client_job_id{id}, job_outcome::completed));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(crashes_without_proof_test,
                                      "crashes_without_proof");

} // namespace
