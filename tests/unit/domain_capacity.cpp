#include "goldcrestgate/core/leasing/domain_capacity.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdint>
#include <map>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using std::chrono::milliseconds;

constexpr std::uint32_t job_millicores = 64'000;

leased_job make_job(std::uint64_t id)
{
    leased_job job;
    job.id = client_job_id{id};
    job.groups.emplace_back();
    job.groups.front().task_count = 2;
    job.groups.front().each_task.cpu_millicores = job_millicores / 2;
    job.groups.front().estimate = milliseconds{200};
    job.objective = milliseconds{380};
    job.time_limit = milliseconds{1500};
    return job;
}

owner_view view(std::uint16_t domain, std::uint32_t free_jobs,
                milliseconds wait, milliseconds age = {})
{
    return {domain_id{domain},
            instance_id{domain * 10U},
            1,
            free_jobs * job_millicores,
            wait,
            age};
}

// Guards against a report that attracts all gateways, against outdated reports
// and against jobs that leave a domain with capacity.
class domain_capacity_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(domain_capacity_test);
    CPPUNIT_TEST(own_domain_with_capacity_is_chosen);
    CPPUNIT_TEST(share_that_leaves_grows_with_the_wait);
    CPPUNIT_TEST(gateways_choose_differently);
    CPPUNIT_TEST(offers_count_against_a_report);
    CPPUNIT_TEST(new_report_replaces_the_offers);
    CPPUNIT_TEST(rejection_counts_against_a_report);
    CPPUNIT_TEST(outdated_report_attracts_no_jobs);
    CPPUNIT_TEST(second_offer_needs_capacity_in_time);
    CPPUNIT_TEST(rising_wait_of_the_own_domain_counts);
    CPPUNIT_TEST_SUITE_END();

public:
    void own_domain_with_capacity_is_chosen()
    {
        std::vector const owners{view(1, 1, milliseconds{0}),
                                 view(2, 100, milliseconds{0})};
        domain_capacity capacity{domain_id{1}, instance_id{5}};
        capacity.set_gateways(12);
        for (std::uint64_t id = 1; id <= 100; ++id)
        {
            auto const choice = capacity.choose(make_job(id), owners, {}, now_);
            CPPUNIT_ASSERT(choice->owner.domain == domain_id{1});
            CPPUNIT_ASSERT(choice->reason == "own_domain");
            capacity.offered(domain_id{1}, make_job(id), now_);
        }
    }

    void share_that_leaves_grows_with_the_wait()
    {
        CPPUNIT_ASSERT_EQUAL(0, leaving(milliseconds{4}));
        auto const some = leaving(milliseconds{12});
        CPPUNIT_ASSERT(some > 200 && some < 500);
        CPPUNIT_ASSERT_EQUAL(1000, leaving(milliseconds{60}));
    }

    // Each of 24 gateways gets the same reports and one job with the same id.
    void gateways_choose_differently()
    {
        std::map<std::uint16_t, int> chosen;
        for (std::uint32_t i = 1; i <= 24; ++i)
        {
            domain_capacity capacity{domain_id{1}, instance_id{i}};
            ++chosen[choose(capacity, 1,
                            {view(1, 0, milliseconds{100}),
                             view(2, 100, milliseconds{0}),
                             view(3, 100, milliseconds{0})})];
        }
        CPPUNIT_ASSERT(chosen[2] >= 6);
        CPPUNIT_ASSERT(chosen[3] >= 6);
    }

    void offers_count_against_a_report()
    {
        std::vector const owners{view(1, 0, milliseconds{100}),
                                 view(2, 60, milliseconds{0}),
                                 view(3, 10, milliseconds{8})};
        domain_capacity capacity{domain_id{1}, instance_id{5}};
        capacity.set_gateways(12);
        std::map<std::uint16_t, int> chosen;
        for (std::uint64_t id = 1; id <= 12; ++id)
        {
            auto const domain = choose(capacity, id, owners);
            ++chosen[domain];
            capacity.offered(domain_id{domain}, make_job(id), now_);
        }
        // 12 gateways fill the free capacity of domain 2 with 5 jobs each.
        CPPUNIT_ASSERT(chosen[2] <= 9);
        CPPUNIT_ASSERT(chosen[1] + chosen[3] >= 3);
    }

    void new_report_replaces_the_offers()
    {
        domain_capacity capacity{domain_id{1}, instance_id{5}};
        std::vector owners{view(1, 0, milliseconds{40}),
                           view(2, 1, milliseconds{0})};
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, choose(capacity, 1, owners));
        for (std::uint64_t id = 2; id <= 20; ++id)
        {
            capacity.offered(domain_id{2}, make_job(id), now_);
        }
        // The same report, seen later.
        now_ += milliseconds{50};
        owners[1].report_age = milliseconds{50};
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, choose(capacity, 1, owners));
        owners[1].report_age = {};
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, choose(capacity, 1, owners));
    }

    void rejection_counts_against_a_report()
    {
        std::vector const owners{view(1, 0, milliseconds{100}),
                                 view(2, 1'000, milliseconds{0}),
                                 view(3, 50, milliseconds{0})};
        domain_capacity capacity{domain_id{1}, instance_id{5}};
        CPPUNIT_ASSERT(choose_often(capacity, owners)[2] > 80);
        capacity.rejected(domain_id{2}, client_job_id{1});
        CPPUNIT_ASSERT(choose_often(capacity, owners)[2] < 20);
    }

    void outdated_report_attracts_no_jobs()
    {
        std::vector owners{view(1, 0, milliseconds{100}),
                           view(2, 100, milliseconds{0}, milliseconds{501})};
        domain_capacity capacity{domain_id{1}, instance_id{5}};
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, choose(capacity, 1, owners));
        std::array const declined{domain_id{1}};
        CPPUNIT_ASSERT(
            !capacity.choose_second(make_job(1), owners, declined, {}, now_));
        // Without an owner in the own domain there is no other choice.
        owners.erase(owners.begin());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, choose(capacity, 1, owners));
    }

    void second_offer_needs_capacity_in_time()
    {
        std::vector const owners{view(1, 0, milliseconds{0}),
                                 view(2, 0, milliseconds{100}),
                                 view(3, 0, milliseconds{300})};
        domain_capacity capacity{domain_id{1}, instance_id{5}};
        std::vector declined{domain_id{1}};
        auto const second = [&](milliseconds elapsed)
        {
            return capacity.choose_second(make_job(1), owners, declined,
                                          elapsed, now_);
        };
        CPPUNIT_ASSERT(second(milliseconds{0})->owner.domain == domain_id{2});
        CPPUNIT_ASSERT(second(milliseconds{0})->reason == "second_offer");
        CPPUNIT_ASSERT(!second(milliseconds{90}));
        declined.push_back(domain_id{2});
        CPPUNIT_ASSERT(!second(milliseconds{0}));
    }

    // Guards against a burst that fills the own domain between two reports.
    void rising_wait_of_the_own_domain_counts()
    {
        domain_capacity capacity{domain_id{1}, instance_id{5}};
        std::vector owners{view(1, 0, milliseconds{1}),
                           view(2, 100, milliseconds{0})};
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, choose(capacity, 1, owners));
        now_ += milliseconds{100};
        owners[0] = view(1, 0, milliseconds{4});
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, choose(capacity, 1, owners));
        now_ += milliseconds{100};
        owners[0] = view(1, 0, milliseconds{5});
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, choose(capacity, 1, owners));
        now_ += milliseconds{100};
        owners[0] = view(1, 0, milliseconds{30}, milliseconds{90});
        owners[1].report_age = {};
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, choose(capacity, 1, owners));
    }

private:
    std::uint16_t choose(domain_capacity& capacity, std::uint64_t id,
                         std::vector<owner_view> const& owners) const
    {
        return capacity.choose(make_job(id), owners, {}, now_)
            ->owner.domain.value();
    }

    std::map<std::uint16_t, int>
    choose_often(domain_capacity& capacity,
                 std::vector<owner_view> const& owners) const
    {
        std::map<std::uint16_t, int> chosen;
        for (std::uint64_t id = 1; id <= 100; ++id)
        {
            ++chosen[choose(capacity, id, owners)];
        }
        return chosen;
    }

    /// Returns how many of 1,000 jobs leave a domain with the given wait.
    int leaving(milliseconds wait) const
    {
        domain_capacity capacity{domain_id{1}, instance_id{5}};
        int count = 0;
        for (std::uint64_t id = 1; id <= 1000; ++id)
        {
            count +=
                choose(capacity, id,
                       {view(1, 0, wait), view(2, 100, milliseconds{0})}) != 1;
        }
        return count;
    }

    time_point now_{std::chrono::seconds{100}};
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(domain_capacity_test, "domain_capacity");

} // namespace
