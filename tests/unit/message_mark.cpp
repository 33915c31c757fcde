#include "goldcrestgate/core/leasing/message_mark.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace
{

using namespace goldcrestgate::core;
using std::chrono::milliseconds;

constexpr instance_id owner{1};

// Guards against old messages that are taken for new ones: their age has to be
// known without a common clock.
class message_mark_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(message_mark_test);
    CPPUNIT_TEST(delay_counts_as_age);
    CPPUNIT_TEST(earlier_state_counts_as_older);
    CPPUNIT_TEST(clock_that_runs_fast_makes_no_message_younger);
    CPPUNIT_TEST(readings_wrap_around);
    CPPUNIT_TEST(reading_of_another_clock_counts_as_old);
    CPPUNIT_TEST(forgotten_reading_is_not_returned);
    CPPUNIT_TEST_SUITE_END();

public:
    void delay_counts_as_age()
    {
        clock_echoes echoes;
        CPPUNIT_ASSERT(!echoes.mark_for(owner, at(100)));
        echoes.received(owner, clock_reading(at(5000)), at(100));
        auto const mark = echoes.mark_for(owner, at(150)).value();
        expect_between(5045, 5050, message_time(mark, at(5052)));
        expect_between(5045, 5050, message_time(mark, at(9000)));
    }

    void earlier_state_counts_as_older()
    {
        clock_echoes echoes;
        echoes.received(owner, clock_reading(at(5000)), at(400));
        auto const mark = echoes.mark_for(owner, at(100)).value();
        expect_between(4690, 4700, message_time(mark, at(5001)));
    }

    void clock_that_runs_fast_makes_no_message_younger()
    {
        clock_echoes echoes;
        echoes.received(owner, clock_reading(at(5000)), at(100));
        // 1 s of the owner's clock is 1.02 s of the sender's.
        auto const mark = echoes.mark_for(owner, at(1120)).value();
        expect_between(5990, 6000, message_time(mark, at(6003)));
    }

    void readings_wrap_around()
    {
        constexpr std::int64_t wrap =
            std::int64_t{std::numeric_limits<std::uint32_t>::max()} + 1;
        clock_echoes echoes;
        echoes.received(owner, clock_reading(at(wrap - 20)), at(100));
        auto const mark = echoes.mark_for(owner, at(110)).value();
        expect_between(wrap - 11, wrap - 10, message_time(mark, at(wrap + 40)));
    }

    void reading_of_another_clock_counts_as_old()
    {
        message_mark const later{clock_reading(at(9000)), 0};
        CPPUNIT_ASSERT(message_time(later, at(8000)) < at(8000 - 3'600'000));
        message_mark const ahead{clock_reading(at(8000)), 5000};
        CPPUNIT_ASSERT(message_time(ahead, at(8000)) == at(8000));
    }

    void forgotten_reading_is_not_returned()
    {
        clock_echoes echoes;
        echoes.received(owner, 17, at(100));
        echoes.forget(owner);
        CPPUNIT_ASSERT(!echoes.mark_for(owner, at(100)));
    }

private:
    static time_point at(std::int64_t ms)
    {
        return time_point{milliseconds{ms}};
    }

    static void expect_between(std::int64_t first_ms, std::int64_t last_ms,
                               time_point time)
    {
        CPPUNIT_ASSERT(time >= at(first_ms) && time <= at(last_ms));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(message_mark_test, "message_mark");

} // namespace
