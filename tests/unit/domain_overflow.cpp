#include "support/overflow_replay.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstddef>
#include <numbers>
#include <string>

namespace
{

using goldcrestgate::core::duration;
using goldcrestgate::tests::overflow_counts;
using goldcrestgate::tests::overflow_replay;
using goldcrestgate::tests::overflow_scenario;
using std::chrono::milliseconds;
using std::chrono::seconds;

double burst(std::size_t domain, duration at)
{
    bool const is_burst = domain == 0 && at > seconds{3} && at < seconds{8};
    return is_burst ? 1.8 : 0.5;
}

/// Bursts of 400 ms, each in the next domain.
double short_bursts(std::size_t domain, duration at)
{
    bool const is_burst =
        static_cast<std::size_t>(at / seconds{1}) % 3 == domain &&
        at % seconds{1} < milliseconds{400};
    return is_burst ? 2.2 : 0.7;
}

/// The fluctuation of deployment B, in turn in the domains.
double moving_load(std::size_t domain, duration at)
{
    double const phase = std::chrono::duration<double>(at).count() / 13.0 +
                         static_cast<double>(domain) / 3.0;
    return 0.93 + 0.55 * std::sin(2.0 * std::numbers::pi * phase);
}

overflow_counts replay(overflow_scenario const& scenario, seconds length)
{
    return overflow_replay{scenario}.run(length);
}

// Guards against jobs that are rejected while another failure domain could run
// them, and against traffic between domains that gains nothing. The figures of
// the earlier choice (lowest expected wait of the last reports, the same in all
// gateways) are from the same loads at commit a070a76.
class domain_overflow_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(domain_overflow_test);
    CPPUNIT_TEST(even_load_stays_in_its_domains);
    CPPUNIT_TEST(burst_uses_the_other_domains);
    CPPUNIT_TEST(short_bursts_use_the_other_domains);
    CPPUNIT_TEST(moving_load_uses_all_domains);
    CPPUNIT_TEST(rare_reports_attract_no_wave);
    CPPUNIT_TEST(cut_link_leaves_the_other_domain);
    CPPUNIT_TEST(jobs_survive_the_loss_of_an_owner);
    CPPUNIT_TEST_SUITE_END();

public:
    void even_load_stays_in_its_domains()
    {
        auto const counts = replay({[](std::size_t, duration)
                                    {
                                        return 0.8;
                                    },
                                    {},
                                    {},
                                    {}},
                                   seconds{10});
        check(counts);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, counts.rejected);
        check_traffic(counts, 1'178);
    }

    void burst_uses_the_other_domains()
    {
        auto const counts = replay({burst, {}, {}, {}}, seconds{12});
        check(counts);
        check_traffic(counts, 2'872);
    }

    // The earlier choice rejected 16 jobs while there was capacity elsewhere.
    void short_bursts_use_the_other_domains()
    {
        auto const counts = replay({short_bursts, {}, {}, {}}, seconds{12});
        check(counts);
        check_traffic(counts, 5'494);
    }

    // The earlier choice rejected 19 jobs while there was capacity elsewhere.
    void moving_load_uses_all_domains()
    {
        auto const counts = replay({moving_load, {}, {}, {}}, seconds{26});
        check(counts);
        check_traffic(counts, 14'162);
    }

    void rare_reports_attract_no_wave()
    {
        auto const counts =
            replay({burst,
                    [](std::size_t domain)
                    {
                        return milliseconds{domain == 2 ? 700 : 200};
                    },
                    {},
                    {}},
                   seconds{12});
        check(counts);
        check_traffic(counts, 2'776);
    }

    // The earlier choice rejected 27 jobs while there was capacity elsewhere.
    void cut_link_leaves_the_other_domain()
    {
        auto const counts =
            replay({burst,
                    {},
                    [](std::size_t from, std::size_t to, duration at)
                    {
                        return from != to && from + to == 1 && at > seconds{5};
                    },
                    {}},
                   seconds{12});
        check(counts);
    }

    void jobs_survive_the_loss_of_an_owner()
    {
        auto const counts = replay({burst, {}, {}, seconds{5}}, seconds{12});
        check(counts);
        // 400 ms of the load of one domain, at most, are abandoned.
        CPPUNIT_ASSERT(counts.abandoned * 30 <= counts.jobs);
    }

private:
    /// One job in 2,000 may meet capacity that became free while its verdict
    /// was on its way.
    static void check(overflow_counts const& counts)
    {
        std::string const text = std::to_string(counts.rejected_with_capacity) +
                                 " of " + std::to_string(counts.jobs) +
                                 " rejected with capacity elsewhere";
        CPPUNIT_ASSERT_MESSAGE(text, counts.rejected_with_capacity * 2'000 <=
                                         counts.jobs);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, counts.faults);
        CPPUNIT_ASSERT(counts.most_offers <= 2);
        CPPUNIT_ASSERT_EQUAL(counts.jobs, counts.completed + counts.rejected +
                                              counts.abandoned);
    }

    /// Offers to other domains may rise to 1.2 times those of the earlier
    /// choice.
    static void check_traffic(overflow_counts const& counts,
                              std::size_t earlier)
    {
        CPPUNIT_ASSERT(counts.remote_offers * 5 <= earlier * 6);
        CPPUNIT_ASSERT(counts.jobs_that_left <= counts.remote_offers);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(domain_overflow_test, "domain_overflow");

} // namespace
