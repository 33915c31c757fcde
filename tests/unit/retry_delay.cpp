#include "goldcrestgate/core/admission/retry_delay.hpp"
#include "support/executor_fleet.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>

namespace
{

using namespace goldcrestgate::core;
namespace tests = goldcrestgate::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against rejected callers that return in one wave, too early, or in an
// order that does not follow their urgency.
class retry_delay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_delay_test);
    CPPUNIT_TEST(delays_are_bounded_whole_seconds);
    CPPUNIT_TEST(delay_outlasts_the_rejection);
    CPPUNIT_TEST(urgent_jobs_return_earlier);
    CPPUNIT_TEST(returns_of_a_burst_find_capacity);
    CPPUNIT_TEST(owner_spreads_the_returns_of_a_burst);
    CPPUNIT_TEST(higher_priority_at_an_owner_returns_earlier);
    CPPUNIT_TEST_SUITE_END();

public:
    void delays_are_bounded_whole_seconds()
    {
        for (auto const drain :
             {milliseconds{0}, milliseconds{1}, milliseconds{700},
              milliseconds{5'000}, milliseconds{29'000}, milliseconds{90'000}})
        {
            std::set<duration> delays;
            for (std::uint64_t id = 1; id <= 200; ++id)
            {
                auto const delay =
                    retry_delay({client_job_id{id}, drain, {}, drain});
                CPPUNIT_ASSERT(delay >= min_retry_delay);
                CPPUNIT_ASSERT(delay <= max_retry_delay);
                CPPUNIT_ASSERT(delay % seconds{1} == duration{});
                delays.insert(delay);
            }
            CPPUNIT_ASSERT(delays.size() >= 2);
        }
    }

    void delay_outlasts_the_rejection()
    {
        for (auto const held : {milliseconds{1}, milliseconds{1'001},
                                milliseconds{25'500}, milliseconds{70'000}})
        {
            for (std::uint64_t id = 1; id <= 50; ++id)
            {
                CPPUNIT_ASSERT(retry_delay({client_job_id{id}, {}, held, {}}) >=
                               held);
            }
        }
    }

    void urgent_jobs_return_earlier()
    {
        duration early{};
        duration late{};
        duration higher{};
        for (std::uint64_t id = 1; id <= 200; ++id)
        {
            client_job_id const job{id};
            auto const of = [job](milliseconds drain, milliseconds left)
            {
                return retry_delay({job, drain, {}, left});
            };
            auto const first = of(milliseconds{600}, milliseconds{20});
            auto const second = of(milliseconds{600}, milliseconds{900});
            CPPUNIT_ASSERT(first <= second);
            early += first;
            late += second;
            higher += of(milliseconds{100}, milliseconds{900});
        }
        CPPUNIT_ASSERT(early < late);
        CPPUNIT_ASSERT(higher < early);
    }

    // The returns of a burst need the capacity that the usual load leaves: with
    // a load of 0.8 of the capacity, 0.2 of it, and what waits for up to the
    // objective. The burst of 1.8 times that load for 1.5 s rejects 0.44 of the
    // capacity, with a backlog that drains in 0.3 s.
    void returns_of_a_burst_find_capacity()
    {
        constexpr std::uint64_t rejected = 660;
        constexpr double per_second_of_capacity = 1000.0;
        std::map<std::int64_t, double> returns;
        for (std::uint64_t id = 0; id < rejected; ++id)
        {
            duration const at = milliseconds{1500} *
                                static_cast<std::int64_t>(id) /
                                static_cast<std::int64_t>(rejected);
            auto const back = at + retry_delay({client_job_id{id},
                                                milliseconds{300},
                                                {},
                                                milliseconds{150}});
            returns[back / seconds{1}] += 1.0 / per_second_of_capacity;
        }
        for (auto const& [second, load] : returns)
        {
            CPPUNIT_ASSERT(second <= 8);
            CPPUNIT_ASSERT(load <= 0.2);
        }
    }

    // Fails if all callers of a burst get the same time: it was 1 s for each.
    void owner_spreads_the_returns_of_a_burst()
    {
        tests::executor_fleet fleet{2};
        tests::fleet_owner owner{fleet};
        owner.start(1);
        for (std::uint64_t id = 1; id <= 100; ++id)
        {
            owner.submit(id, 2, milliseconds{200});
        }
        std::map<duration, std::size_t> returns;
        std::size_t rejected = 0;
        for (auto const& [id, verdict] : owner.verdicts)
        {
            if (verdict.outcome == job_outcome::rejected)
            {
                ++rejected;
                ++returns[verdict.retry_after];
            }
        }
        CPPUNIT_ASSERT(rejected >= 80);
        auto const largest = std::ranges::max_element(returns, {},
                                                      [](auto const& entry)
                                                      {
                                                          return entry.second;
                                                      });
        CPPUNIT_ASSERT(largest->second * 2 <= rejected);
        CPPUNIT_ASSERT(returns.begin()->first >= min_retry_delay);
    }

    void higher_priority_at_an_owner_returns_earlier()
    {
        tests::executor_fleet fleet{2};
        tests::fleet_owner owner{fleet};
        owner.start(1);
        for (std::uint64_t id = 1; id <= 20; ++id)
        {
            auto job = tests::make_leased_job(id, 2, milliseconds{400});
            job.priority = id <= 10 ? 2 : 0;
            owner.submit(job, milliseconds{400});
        }
        duration high{};
        duration low{};
        for (std::uint64_t id = 100; id < 200; ++id)
        {
            auto job = tests::make_leased_job(id, 2, milliseconds{400});
            job.priority = static_cast<std::uint8_t>(id % 2 == 0 ? 0 : 2);
            owner.submit(job, milliseconds{400});
            auto const& verdict = owner.verdicts.at(job.id);
            CPPUNIT_ASSERT(verdict.outcome == job_outcome::rejected);
            (job.priority == 0 ? high : low) += verdict.retry_after;
        }
        CPPUNIT_ASSERT(high < low);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(retry_delay_test, "retry_delay");

} // namespace
