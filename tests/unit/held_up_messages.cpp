#include "support/resubmission_run.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

namespace
{

using goldcrestgate::tests::play_resubmission_seeds;
using goldcrestgate::tests::resubmission_load;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against two runs of a task at a time: cuts between failure domains
// hold up offers, withdrawals and heartbeats, and these are taken for new ones
// when a cut ends, while the callers submit their jobs again elsewhere.
class held_up_messages_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(held_up_messages_test);
    CPPUNIT_TEST(cuts);
    CPPUNIT_TEST(cuts_with_long_runs);
    CPPUNIT_TEST(cuts_with_rare_heartbeats);
    CPPUNIT_TEST(cuts_and_pauses);
    CPPUNIT_TEST(cuts_and_restarts);
    CPPUNIT_TEST_SUITE_END();

public:
    void cuts()
    {
        play_resubmission_seeds({.cuts = true}, {.instances_per_domain = 2},
                                seeds);
    }

    void cuts_with_long_runs()
    {
        play_resubmission_seeds({.leaving_callers = true, .cuts = true},
                                long_runs(), seeds);
    }

    void cuts_with_rare_heartbeats()
    {
        for (int const factor : {3, 10})
        {
            play_resubmission_seeds(
                {.cuts = true},
                {.instances_per_domain = 2, .remote_interval_factor = factor});
            auto load = long_runs();
            load.remote_interval_factor = factor;
            play_resubmission_seeds({.cuts = true}, load);
        }
    }

    void cuts_and_pauses()
    {
        auto load = long_runs();
        load.longest_pause = milliseconds{1500};
        play_resubmission_seeds({.pauses = true, .cuts = true}, load, seeds);
    }

    void cuts_and_restarts()
    {
        play_resubmission_seeds({.restarts = true, .cuts = true},
                                {.instances_per_domain = 2}, seeds);
    }

private:
    static constexpr std::uint64_t seeds = 10;

    static resubmission_load long_runs()
    {
        return {.instances_per_domain = 2,
                .job_interval = milliseconds{300},
                .longest_work = seconds{8},
                .caller_wait = seconds{12},
                .longest_pause = milliseconds{1500}};
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(held_up_messages_test,
                                      "held_up_messages");

} // namespace
