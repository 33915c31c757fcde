#include "goldcrestgate/app/memory_release.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

class memory_release_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(memory_release_test);
    CPPUNIT_TEST(memory_is_released_after_each_peak);
    CPPUNIT_TEST(normal_load_releases_nothing);
    CPPUNIT_TEST(releases_have_an_interval);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against memory that stays after the second and later peaks.
    void memory_is_released_after_each_peak()
    {
        int releases = 0;
        auto release = make(releases);
        core::time_point now{1h};
        for (int peak = 1; peak <= 3; ++peak)
        {
            release.update(30 * mebibyte, now);
            now += 2s;
            release.update(0, now);
            CPPUNIT_ASSERT_EQUAL(peak, releases);
        }
    }

    void normal_load_releases_nothing()
    {
        int releases = 0;
        auto release = make(releases);
        for (int second = 0; second < 10; ++second)
        {
            release.update(second % 2 == 0 ? 3 * mebibyte : 0,
                           core::time_point{second * 1s});
        }
        CPPUNIT_ASSERT_EQUAL(0, releases);
    }

    // Guards against processor time that a load of many short peaks takes.
    void releases_have_an_interval()
    {
        int releases = 0;
        auto release = make(releases);
        for (int i = 0; i < 20; ++i)
        {
            release.update(i % 2 == 0 ? 30 * mebibyte : 0,
                           core::time_point{1h + i * 100ms});
        }
        CPPUNIT_ASSERT_EQUAL(2, releases);
        // The last peak is not forgotten.
        release.update(0, core::time_point{1h + 10s});
        CPPUNIT_ASSERT_EQUAL(3, releases);
    }

private:
    static app::memory_release make(int& releases)
    {
        return app::memory_release{[&releases]
                                   {
                                       ++releases;
                                   }};
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(memory_release_test, "memory_release");

} // namespace
