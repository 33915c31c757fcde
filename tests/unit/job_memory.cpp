#include "goldcrestgate/core/leasing/job_gateway.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::tests::executor_fleet;
using goldcrestgate::tests::fleet_owner;
using goldcrestgate::tests::make_leased_job;
using std::chrono::milliseconds;

constexpr std::size_t limit_bytes = 3'000'000;

/// Returns a job whose run time is not known, so that no expected wait rejects
/// it.
leased_job make_small_job(std::uint64_t id)
{
    auto job = make_leased_job(id, 1, {});
    job.objective = std::chrono::seconds{60};
    job.time_limit = std::chrono::seconds{60};
    return job;
}

/// Returns such a job with the largest number of phases.
leased_job make_large_job(std::uint64_t id)
{
    auto job = make_small_job(id);
    job.groups.resize(1'800, job.groups.front());
    return job;
}

/// @brief An owner of executors with a limit for the memory of its jobs.
class limited_owner
{
public:
    explicit limited_owner(std::size_t limit)
        : owner_(fleet_, with_limit(limit))
    {
        owner_.start();
    }

    /// Returns the verdict, or nothing if the job waits or runs.
    std::optional<job_outcome> offer(leased_job const& job, bool resumed)
    {
        owner_.offer(job, resumed);
        auto const found = owner_.verdicts.find(job.id);
        return found == owner_.verdicts.end()
                   ? std::nullopt
                   : std::optional{found->second.outcome};
    }

    [[nodiscard]] job_scheduler& scheduler()
    {
        return owner_.scheduler;
    }

    [[nodiscard]] time_point now() const
    {
        return fleet_.now();
    }

private:
    static scheduler_limits with_limit(std::size_t limit)
    {
        scheduler_limits limits;
        limits.job_memory_bytes = limit;
        return limits;
    }

    executor_fleet fleet_{4};
    fleet_owner owner_;
};

// Guards against memory that grows with the legal jobs of many callers.
class job_memory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_memory_test);
    CPPUNIT_TEST(gateway_rejects_jobs_above_the_limit);
    CPPUNIT_TEST(owner_rejects_jobs_above_the_limit);
    CPPUNIT_TEST(owner_abandons_resumed_jobs_above_the_limit);
    CPPUNIT_TEST(single_job_always_fits);
    CPPUNIT_TEST(lost_ownership_releases_the_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    void gateway_rejects_jobs_above_the_limit()
    {
        job_gateway gateway{domain_id{1}, 0, instance_id{1},
                            job_memory{limit_bytes}};
        std::vector<owner_view> const owners = {
            {domain_id{1}, instance_id{11}, 1, 1'000'000, {}}};
        std::vector<gateway_action> out;
        std::size_t offers = 0;
        for (std::uint64_t id = 1; id <= 20; ++id)
        {
            gateway.submit(request_id{id}, make_large_job(id), owners, now_,
                           out);
            CPPUNIT_ASSERT(gateway.open_job_bytes() <= limit_bytes);
            if (std::holds_alternative<send_offer>(out.back()))
            {
                ++offers;
                continue;
            }
            auto const& answer = std::get<answer_job>(out.back());
            CPPUNIT_ASSERT(answer.outcome == job_outcome::rejected);
            CPPUNIT_ASSERT(answer.retry_after >= std::chrono::seconds{1});
        }
        CPPUNIT_ASSERT(offers > 1 && offers < 20);
        // Small jobs still fit, and ended jobs release their memory.
        gateway.submit(request_id{30}, make_leased_job(30, 1, milliseconds{50}),
                       owners, now_, out);
        CPPUNIT_ASSERT(std::holds_alternative<send_offer>(out.back()));
        for (std::uint64_t id = 1; id <= 30; ++id)
        {
            gateway.caller_disconnected(request_id{id}, now_, out);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway.open_job_bytes());
    }

    void owner_rejects_jobs_above_the_limit()
    {
        limited_owner limited{limit_bytes};
        std::size_t rejections = 0;
        for (std::uint64_t id = 1; id <= 20; ++id)
        {
            auto const verdict = limited.offer(make_large_job(id), false);
            CPPUNIT_ASSERT(limited.scheduler().job_bytes() <= limit_bytes);
            rejections += verdict == job_outcome::rejected ? 1 : 0;
        }
        CPPUNIT_ASSERT(rejections > 0 && rejections < 19);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20} - rejections,
                             limited.scheduler().load(limited.now()).jobs);
        CPPUNIT_ASSERT(!limited.offer(make_small_job(30), false));
    }

    // A job that an earlier owner may have started cannot be reported as not
    // run.
    void owner_abandons_resumed_jobs_above_the_limit()
    {
        limited_owner limited{limit_bytes};
        std::size_t abandoned = 0;
        for (std::uint64_t id = 1; id <= 20; ++id)
        {
            auto const verdict = limited.offer(make_large_job(id), true);
            CPPUNIT_ASSERT(verdict != job_outcome::rejected);
            abandoned += verdict == job_outcome::abandoned ? 1 : 0;
        }
        CPPUNIT_ASSERT(abandoned > 0 && abandoned < 19);
        CPPUNIT_ASSERT(limited.scheduler().job_bytes() > limit_bytes);
        CPPUNIT_ASSERT(limited.scheduler().job_bytes() <= 2 * limit_bytes);
    }

    void single_job_always_fits()
    {
        limited_owner limited{1};
        CPPUNIT_ASSERT(!limited.offer(make_large_job(1), false));
        CPPUNIT_ASSERT(limited.offer(make_large_job(2), false) ==
                       job_outcome::rejected);
    }

    void lost_ownership_releases_the_memory()
    {
        limited_owner limited{limit_bytes};
        CPPUNIT_ASSERT(!limited.offer(make_large_job(1), false));
        CPPUNIT_ASSERT(limited.scheduler().job_bytes() > 0);
        std::vector<scheduler_action> out;
        limited.scheduler().release_ownership(limited.now(), out);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limited.scheduler().job_bytes());
    }

private:
    time_point now_{std::chrono::hours{1}};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(job_memory_test, "job_memory");

} // namespace
