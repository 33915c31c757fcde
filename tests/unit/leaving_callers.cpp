#include "support/resubmission_run.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using goldcrestgate::tests::play_resubmission_seeds;
using goldcrestgate::tests::resubmission_load;
using std::chrono::milliseconds;

// Guards against two runs of a task at a time: the first run of a job goes on
// in one failure domain when its caller has left and submits the job in
// another.
class leaving_callers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leaving_callers_test);
    CPPUNIT_TEST(leaving_callers_of_long_runs);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against runs of callers that left shortly before an owner was
    // paused, which its successor kept alive.
    void leaving_callers_of_long_runs()
    {
        resubmission_load load{.instances_per_domain = 3,
                               .job_interval = milliseconds{160},
                               .longest_work = milliseconds{3000},
                               .caller_wait = milliseconds{6000},
                               .longest_pause = milliseconds{1000}};
        play_resubmission_seeds({.pauses = true, .leaving_callers = true},
                                load);
        play_resubmission_seeds(
            {.pauses = true, .restarts = true, .leaving_callers = true}, load);
        play_resubmission_seeds(
            {.resets = true, .pauses = true, .leaving_callers = true}, load);
        load.instances_per_domain = 1;
        play_resubmission_seeds({.pauses = true, .leaving_callers = true},
                                load);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(leaving_callers_test, "leaving_callers");

} // namespace
