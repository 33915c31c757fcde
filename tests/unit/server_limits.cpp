#include "goldcrestgate/app/server_limits.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>

#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;

constexpr std::uint64_t mebibyte = std::uint64_t{1024} * 1024;
constexpr std::uint64_t body_bytes = 262'144;
constexpr std::uint64_t small_bytes = std::uint64_t{16} * 1024;

std::uint64_t budget_of(app::caller_server_settings const& settings,
                        std::uint64_t memory_bytes)
{
    return app::caller_server_options(settings, {memory_bytes, 10'000})
        .limits->budget_bytes;
}

class server_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_limits_test);
    CPPUNIT_TEST(default_budget_does_not_follow_the_host);
    CPPUNIT_TEST(largest_request_always_fits);
    CPPUNIT_TEST(control_group_files_include_parents);
    CPPUNIT_TEST(control_group_limits_are_parsed);
    CPPUNIT_TEST(resource_limit_bounds_the_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a budget of a quarter of a large host, which no callers
    // within the limits need.
    void default_budget_does_not_follow_the_host()
    {
        app::caller_server_settings const settings{
            .body_limit_bytes = body_bytes, .connection_limit = 2'000};
        auto const needed = 2'000 * small_bytes;
        CPPUNIT_ASSERT_EQUAL(needed, budget_of(settings, 24'000 * mebibyte));
        CPPUNIT_ASSERT_EQUAL(25 * mebibyte,
                             budget_of(settings, 100 * mebibyte));
        auto given = settings;
        given.memory_mb = 40;
        CPPUNIT_ASSERT_EQUAL(10 * mebibyte, budget_of(given, 100 * mebibyte));
        given.open_request_budget_bytes = 50 * mebibyte;
        CPPUNIT_ASSERT_EQUAL(50 * mebibyte, budget_of(given, 100 * mebibyte));
    }

    // Guards against a small budget that rejects a single request within the
    // limits.
    void largest_request_always_fits()
    {
        constexpr auto large_body_bytes = 8 * mebibyte;
        CPPUNIT_ASSERT(budget_of({.body_limit_bytes = large_body_bytes,
                                  .connection_limit = 16},
                                 mebibyte) > large_body_bytes);
    }

    // Guards against a limit of a parent that is passed over.
    void control_group_files_include_parents()
    {
        using files = std::vector<std::string>;
        CPPUNIT_ASSERT((files{"/sys/fs/cgroup/a/b/memory.max",
                              "/sys/fs/cgroup/a/memory.max",
                              "/sys/fs/cgroup/memory.max"}) ==
                       app::detail::memory_limit_files("0::/a/b\n"));
        CPPUNIT_ASSERT((files{"/sys/fs/cgroup/memory/a/memory.limit_in_bytes",
                              "/sys/fs/cgroup/memory/memory.limit_in_bytes"}) ==
                       app::detail::memory_limit_files("3:cpu,cpuacct:/x\n"
                                                       "2:hugetlb,memory:/a\n"
                                                       "malformed\n"));
        CPPUNIT_ASSERT(app::detail::memory_limit_files("").empty());
    }

    void control_group_limits_are_parsed()
    {
        using app::detail::parse_memory_limit;
        CPPUNIT_ASSERT(parse_memory_limit("1048576\n") == mebibyte);
        CPPUNIT_ASSERT(!parse_memory_limit("max\n"));
        CPPUNIT_ASSERT(!parse_memory_limit(""));
    }

    // Guards against a budget that exceeds the limit of the process. The shadow
    // memory of sanitizers exceeds any limit, so that they cannot run with one.
    void resource_limit_bounds_the_memory()
    {
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
        auto const resources = app::read_resources();
#else
        rlimit original{};
        getrlimit(RLIMIT_DATA, &original);
        auto lowered = original;
        lowered.rlim_cur = 512 * mebibyte;
        setrlimit(RLIMIT_DATA, &lowered);
        auto const resources = app::read_resources();
        setrlimit(RLIMIT_DATA, &original);
        CPPUNIT_ASSERT(resources.memory_bytes <= 512 * mebibyte);
#endif
        CPPUNIT_ASSERT(resources.memory_bytes > 0);
        CPPUNIT_ASSERT(resources.descriptor_limit > 0);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(server_limits_test, "server_limits");

} // namespace
