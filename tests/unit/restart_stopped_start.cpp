#include "support/scripted_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::scripted_owner;

class restart_stopped_start_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_stopped_start_test);
    CPPUNIT_TEST(start_that_outlives_its_stopped_run_is_remembered);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: a run that was stopped
    // before its start timed out was not among the starts that may still
    // arrive, and its stop was not repeated after a restart.
    void start_that_outlives_its_stopped_run_is_remembered()
    {
        scripted_owner owner;
        owner.prepare();
        auto job = tests::make_leased_job(1, 2, milliseconds{400});
        job.objective = milliseconds{6000};
        job.time_limit = milliseconds{7000};
        job.max_attempts = 1;
        job.groups.front().max_per_executor = 1;
        owner.offer(job, false);
        auto const failed = owner.starts.at(0);
        auto const pending = owner.starts.at(1);
        owner.answer_start(failed, order_outcome::accepted);
        owner.wait(20);
        // The failure ends the job while the other start is not answered.
        owner.answer_poll(failed.executor,
                          owner.polls.at(failed.executor).order, 1, {},
                          {{1, failed.run, run_end::failed}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, owner.stops.size());
        CPPUNIT_ASSERT(owner.stops.at(0).run == pending.run);
        owner.answer_stop(owner.stops.at(0), order_outcome::accepted);
        owner.wait(60);
        owner.wait(80);
        owner.answer_start(pending, order_outcome::unanswered);
        owner.list(pending.executor, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, owner.stops.size());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_stopped_start_test,
                                      "restart_stopped_start");

} // namespace
