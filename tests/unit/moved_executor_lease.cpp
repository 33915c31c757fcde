#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::executor_fleet;
using tests::fleet_owner;

// Guards against two runs of a task at a time after an entry with another
// address.
class moved_executor_lease_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(moved_executor_lease_test);
    CPPUNIT_TEST(runs_wait_for_the_lease_at_the_earlier_address);
    CPPUNIT_TEST(runs_start_elsewhere_after_the_lease);
    CPPUNIT_TEST(runs_that_the_process_lists_go_on);
    CPPUNIT_TEST(other_executor_at_the_address_ends_no_run);
    CPPUNIT_TEST(refused_stop_at_the_address_ends_no_other_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starts beside the runs of a process that lives at the
    // earlier address, where its lease ends 1 s after the last renewal.
    void runs_wait_for_the_lease_at_the_earlier_address()
    {
        auto const id = start_run();
        move(id);
        fleet_.behaviour(id).unreachable = true;
        fleet_.run_for(milliseconds{2500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet_.duplicate_runs);
    }

    // Guards against a task that waits longer than the lease.
    void runs_start_elsewhere_after_the_lease()
    {
        auto const id = start_run();
        move(id);
        fleet_.behaviour(id).unreachable = true;
        fleet_.run_for(milliseconds{1300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet_.starts(job_));
    }

    // Guards against the end of runs that go on at the new address.
    void runs_that_the_process_lists_go_on()
    {
        auto const id = start_run();
        move(id);
        fleet_.run_for(milliseconds{2000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_.starts(job_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_.running(job_, id));
    }

    // Guards against taking the answer of another executor at the new address
    // for the end of the runs at the earlier one.
    void other_executor_at_the_address_ends_no_run()
    {
        auto const id = start_run();
        move(id);
        fleet_.behaviour(id).replaced = true;
        fleet_.run_for(milliseconds{2500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet_.duplicate_runs);
    }

    // Guards against taking the refusal of a stop by another executor at the
    // new address for the end of the runs at the earlier one.
    void refused_stop_at_the_address_ends_no_other_run()
    {
        auto const id = start_run();
        owner_.submit(2, 1, milliseconds{500});
        fleet_.run_for(milliseconds{20});
        auto const stopped = owner_.start_orders.back();
        CPPUNIT_ASSERT(stopped.executor == id);
        move(id);
        fleet_.behaviour(id).replaced = true;
        std::vector<scheduler_action> out;
        owner_.scheduler.stop_answered({order_id{1'000'000}, id, stopped.run,
                                        order_outcome::other_incarnation,
                                        std::nullopt},
                                       fleet_.now(), out);
        owner_.apply(out);
        fleet_.run_for(milliseconds{2500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet_.duplicate_runs);
    }

private:
    /// Starts a run of 5 s; returns its executor.
    executor_id start_run()
    {
        owner_.start(1);
        owner_.submit(tests::make_patient_job(job_.value(), milliseconds{5000},
                                              milliseconds{9000}),
                      milliseconds{5000});
        fleet_.run_for(milliseconds{300});
        return owner_.start_orders.back().executor;
    }

    /// Lists the executor at another address; it goes on as it is.
    void move(executor_id id)
    {
        auto moved = fleet_.description(id);
        moved.address = "127.0.0.1:8000";
        owner_.list(id, moved);
    }

    client_job_id job_{1};
    executor_fleet fleet_{3};
    fleet_owner owner_{fleet_};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(moved_executor_lease_test,
                                      "moved_executor_lease");

} // namespace
