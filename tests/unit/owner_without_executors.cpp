#include "goldcrestgate/core/leasing/roster_status.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::tests::executor_fleet;
using goldcrestgate::tests::fleet_owner;
using std::chrono::milliseconds;

class owner_without_executors_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(owner_without_executors_test);
    CPPUNIT_TEST(job_waits_for_executors_that_are_not_listed_yet);
    CPPUNIT_TEST(job_starts_after_the_list_is_complete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two runs of a task at a time: a successor that knew no
    // executor took its list for complete and started the task of a resumed job
    // beside the run of a living owner, whose executor it listed later.
    void job_waits_for_executors_that_are_not_listed_yet()
    {
        offer_to_successor();
        fleet_.run_for(milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_.starts(job_.id));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet_.duplicate_runs);
    }

    // Guards against an owner that makes resumed jobs wait as long as it owns
    // the executors.
    void job_starts_after_the_list_is_complete()
    {
        offer_to_successor();
        fleet_.run_for(milliseconds{900});
        second_.scheduler.roster_completed();
        auto const next = make_job(2);
        fleet_.set_work(next.id, milliseconds{100});
        second_.offer(next, true);
        fleet_.run_for(milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_.starts(next.id));
    }

private:
    static leased_job make_job(std::uint64_t id)
    {
        return goldcrestgate::tests::make_patient_job(id, milliseconds{2000},
                                                      milliseconds{9500});
    }

    // The list of an owner that restarted without access to the store reaches
    // the successor, which is then cut off and claims, while the first owner
    // lives.
    void offer_to_successor()
    {
        roster_status restarted;
        static_cast<void>(restarted.claimed(1));
        roster_status successor;
        successor.owner_seen(1);
        static_cast<void>(successor.received({1, {}, restarted.complete()}));
        first_.start(1);
        fleet_.set_work(job_.id, milliseconds{2000});
        first_.offer(job_);
        fleet_.run_for(milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet_.running(job_.id));

        second_.take_over(2, successor.claimed(2));
        second_.offer(job_, true);
        for (auto const id : fleet_.ids())
        {
            if (fleet_.running(job_.id, id) > 0)
            {
                fleet_.behaviour(id).poll_answer_delay = milliseconds{150};
            }
        }
        second_.list_all();
    }

    executor_fleet fleet_{3};
    fleet_owner first_{fleet_};
    fleet_owner second_{fleet_};
    leased_job job_ = make_job(1);
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(owner_without_executors_test,
                                      "owner_without_executors");

} // namespace
