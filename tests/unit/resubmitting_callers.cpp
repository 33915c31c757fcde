#include "support/resubmission_run.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using goldcrestgate::tests::play_resubmission_seeds;
using std::chrono::milliseconds;

// Guards against two runs of a task at a time: the first run of a job goes on
// in one failure domain when its caller has left and submits the job in
// another.
class resubmitting_callers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(resubmitting_callers_test);
    CPPUNIT_TEST(resets_of_connections);
    CPPUNIT_TEST(pauses_of_instances);
    CPPUNIT_TEST(pauses_of_all_instances);
    CPPUNIT_TEST(restarts_of_instances);
    CPPUNIT_TEST(restarts_of_all_instances);
    CPPUNIT_TEST(all_faults_with_two_instances_per_domain);
    CPPUNIT_TEST_SUITE_END();

public:
    void resets_of_connections()
    {
        play_resubmission_seeds({.resets = true}, {});
        play_resubmission_seeds({.resets = true}, {.instances_per_domain = 2});
    }

    void pauses_of_instances()
    {
        play_resubmission_seeds({.pauses = true}, {});
        play_resubmission_seeds(
            {.pauses = true},
            {.instances_per_domain = 2, .longest_pause = milliseconds{1200}});
    }

    void pauses_of_all_instances()
    {
        play_resubmission_seeds({.joint_pauses = true},
                                {.job_interval = milliseconds{30},
                                 .longest_work = milliseconds{200},
                                 .fault_interval = milliseconds{5000},
                                 .longest_pause = milliseconds{2500}});
        play_resubmission_seeds({.joint_pauses = true},
                                {.instances_per_domain = 2,
                                 .fault_interval = milliseconds{4000},
                                 .longest_pause = milliseconds{1500}});
    }

    void restarts_of_instances()
    {
        play_resubmission_seeds({.restarts = true},
                                {.longest_work = milliseconds{1400}});
        play_resubmission_seeds({.restarts = true},
                                {.instances_per_domain = 2});
    }

    void restarts_of_all_instances()
    {
        play_resubmission_seeds({.joint_restarts = true},
                                {.fault_interval = milliseconds{6000}});
        play_resubmission_seeds(
            {.joint_restarts = true},
            {.instances_per_domain = 2, .fault_interval = milliseconds{6000}});
    }

    void all_faults_with_two_instances_per_domain()
    {
        play_resubmission_seeds(
            {.resets = true, .pauses = true, .restarts = true},
            {.instances_per_domain = 2});
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(resubmitting_callers_test,
                                      "resubmitting_callers");

} // namespace
