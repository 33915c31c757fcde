#include "goldcrestgate/core/leasing/fair_order.hpp"
#include "goldcrestgate/core/leasing/admission.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/preemption.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using std::chrono::milliseconds;

constexpr std::size_t slots = 20;
constexpr double slot_millicores = 1000.0;
constexpr time_point start_time{std::chrono::seconds{10}};

/// A source of jobs of one task each, which needs one slot.
struct source
{
    std::string route;
    std::uint16_t domain = 1;
    std::uint8_t priority = 0;
    duration run_time = milliseconds{100};
    /// Mean number of slots that it needs.
    double load = 0.0;
    /// Time to the objective in addition to 1.6 run times.
    duration slack = milliseconds{60};
};

struct replayed_job
{
    std::size_t source = 0;
    duration run_time{};
    time_point arrival{};
    time_point due{};
};

struct source_result
{
    std::size_t offered = 0;
    std::size_t served = 0;
    duration waited{};
    duration served_time{};
    /// Number of times a job waited on while a task of a lower class started.
    std::size_t overtaken = 0;

    [[nodiscard]] double share() const
    {
        return static_cast<double>(served) /
               static_cast<double>(std::max<std::size_t>(offered, 1));
    }
};

/// Replays jobs on equal slots, with the admission and the expiry of the
/// scheduler.
class replay
{
public:
    replay(std::vector<source> sources, bool by_share)
        : results(sources.size())
        , sources_(std::move(sources))
        , by_share_(by_share)
    {
    }

    void run(duration length)
    {
        for (auto const end = now_ + length; now_ < end;
             now_ += milliseconds{1})
        {
            std::erase_if(ends_,
                          [this](time_point at)
                          {
                              return at <= now_;
                          });
            std::erase_if(waiting_,
                          [this](replayed_job const& job)
                          {
                              return now_ + detail::scale_duration(job.run_time,
                                                                   0.65) >
                                     job.due;
                          });
            for (std::size_t i = 0; i < sources_.size(); ++i)
            {
                arrive(i);
            }
            place();
        }
    }

    std::vector<source_result> results;

private:
    double random()
    {
        state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<double>(state_ >> 11U) * 0x1.0p-53;
    }

    replayed_job make_job(std::size_t from)
    {
        // Run times vary by 40%.
        auto const& origin = sources_[from];
        auto const run_time =
            detail::scale_duration(origin.run_time, 0.6 + 0.8 * random());
        return {from, run_time, now_,
                now_ + detail::scale_duration(run_time, 1.6) + origin.slack};
    }

    void arrive(std::size_t from)
    {
        auto const per_step =
            sources_[from].load /
            (static_cast<double>(sources_[from].run_time.count()) / 1000.0);
        if (random() >= per_step)
        {
            return;
        }
        auto const job = make_job(from);
        ++results[from].offered;
        if (is_admitted(job))
        {
            waiting_.push_back(job);
        }
    }

    [[nodiscard]] fair_job view(replayed_job const& job) const
    {
        auto const& origin = sources_[job.source];
        return {origin.route, domain_id{origin.domain}, origin.priority,
                static_cast<double>(job.run_time.count()) / 1e6 *
                    slot_millicores,
                serving_position_of({job.due, job.due - job.run_time}, now_)};
    }

    [[nodiscard]] std::vector<std::size_t>
    order(std::vector<replayed_job> const& jobs) const
    {
        std::vector<fair_job> views;
        views.reserve(jobs.size());
        for (auto const& job : jobs)
        {
            views.push_back(view(job));
        }
        if (by_share_)
        {
            return shares_.order(views);
        }
        std::vector<std::size_t> result(jobs.size());
        for (std::size_t i = 0; i < result.size(); ++i)
        {
            result[i] = i;
        }
        std::ranges::stable_sort(result, {},
                                 [&views](std::size_t i)
                                 {
                                     return views[i].position;
                                 });
        return result;
    }

    [[nodiscard]] bool is_admitted(replayed_job const& job) const
    {
        admission_input input;
        if (waiting_.size() + ends_.size() >= slots)
        {
            auto jobs = waiting_;
            jobs.push_back(job);
            for (auto const index : order(jobs))
            {
                if (index == waiting_.size())
                {
                    break;
                }
                input.work_ahead += view(jobs[index]).work;
            }
        }
        input.own_work = view(job).work;
        input.time_to_objective = job.due - now_;
        input.time_to_limit = milliseconds{1500};
        input.fastest_run = job.run_time;
        input.usable_millicores = slots * slot_millicores;
        input.can_start_now = input.work_ahead <= 0.0;
        return admit(input).admitted;
    }

    void place()
    {
        std::vector<replayed_job> left;
        std::uint8_t lowest_started = 0;
        bool const contended = waiting_.size() + ends_.size() > slots;
        for (auto const index : order(waiting_))
        {
            auto const& job = waiting_[index];
            if (ends_.size() == slots)
            {
                left.push_back(job);
                continue;
            }
            ends_.push_back(now_ + job.run_time);
            auto& result = results[job.source];
            ++result.served;
            result.waited += now_ - job.arrival;
            result.served_time += job.run_time;
            lowest_started =
                std::max(lowest_started, sources_[job.source].priority);
            if (contended)
            {
                shares_.add_started(view(job), view(job).work);
            }
        }
        for (auto const& job : left)
        {
            results[job.source].overtaken +=
                lowest_started > sources_[job.source].priority ? 1 : 0;
        }
        waiting_ = left;
    }

    std::vector<source> sources_;
    bool by_share_;
    fair_order shares_{4.0};
    time_point now_ = start_time;
    std::vector<time_point> ends_;
    std::vector<replayed_job> waiting_;
    std::uint64_t state_ = 1;
};

fair_job make_job(std::string_view route, std::uint8_t priority, double work,
                  serving_class urgency = serving_class::on_time)
{
    return {route, domain_id{1}, priority, work, {urgency, start_time}};
}

preemption_candidate make_candidate()
{
    preemption_candidate candidate;
    candidate.priority = 2;
    candidate.spent = milliseconds{100};
    candidate.run_time = milliseconds{500};
    candidate.to_deadline = milliseconds{1400};
    candidate.millicores = 1000;
    candidate.freed = {1000, 64, 0};
    return candidate;
}

preemption_request make_request()
{
    preemption_request request;
    request.demand = {1000, 64, 0};
    request.estimate = milliseconds{60};
    request.to_objective = milliseconds{150};
    request.to_next_end = milliseconds{300};
    request.stop_time = milliseconds{50};
    return request;
}

class fair_order_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fair_order_test);
    CPPUNIT_TEST(burst_of_a_route_leaves_another_its_share);
    CPPUNIT_TEST(burst_of_a_domain_leaves_another_its_share);
    CPPUNIT_TEST(urgent_jobs_wait_for_one_end_in_a_burst);
    CPPUNIT_TEST(lowest_class_keeps_a_share);
    CPPUNIT_TEST(class_weight_has_a_lower_bound);
    CPPUNIT_TEST(idle_time_gives_no_credit);
    CPPUNIT_TEST(late_jobs_come_last_in_any_class);
    CPPUNIT_TEST(jobs_without_a_route_are_one_flow);
    CPPUNIT_TEST(preemption_needs_a_gain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a route at twice its share that takes the share of a route
    // at half of its own: the second is served as when it is alone, and the
    // first gets what is left.
    void burst_of_a_route_leaves_another_its_share()
    {
        source const busy{"busy", 1, 0, milliseconds{100}, slots};
        source const calm{"calm", 1, 0, milliseconds{100}, slots / 4.0};
        check_calm(busy, calm);
    }

    // Guards against the same among the failure domains of one route.
    void burst_of_a_domain_leaves_another_its_share()
    {
        source const busy{"", 1, 0, milliseconds{100}, slots};
        source const calm{"", 2, 0, milliseconds{100}, slots / 4.0};
        check_calm(busy, calm);
    }

    // Guards against urgent jobs that wait behind a burst of large jobs. Their
    // slack lets each wait count, also a long one. One
    // normal wait is the mean run time of the burst's tasks divided by the
    // number of slots.
    void urgent_jobs_wait_for_one_end_in_a_burst()
    {
        std::vector<source> const sources{
            {"urgent", 1, 0, milliseconds{60}, 0.3, milliseconds{400}},
            {"large", 1, 2, milliseconds{900}, 1.5 * slots}};
        replay shared{sources, true};
        // After some seconds, the ends of the large tasks are spread evenly.
        shared.run(std::chrono::seconds{5});
        shared.results = std::vector<source_result>(sources.size());
        shared.run(std::chrono::seconds{60});
        auto const& urgent = shared.results.front();
        CPPUNIT_ASSERT(urgent.served >= 250);
        CPPUNIT_ASSERT_EQUAL(urgent.offered, urgent.served);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, urgent.overtaken);
        auto const normal_wait = milliseconds{900} / slots;
        CPPUNIT_ASSERT(urgent.waited / static_cast<int>(urgent.served) <=
                       normal_wait);
    }

    // Guards against a flood of urgent work that leaves the lowest class
    // nothing: at a ratio of 4, two classes down, its share is a seventeenth.
    void lowest_class_keeps_a_share()
    {
        fair_order shares{4.0};
        std::vector<fair_job> const jobs{make_job("a", 0, 10.0),
                                         make_job("b", 2, 10.0)};
        std::map<std::uint8_t, double> started;
        for (int i = 0; i < 1700; ++i)
        {
            auto const& first = jobs[shares.order(jobs).front()];
            started[first.priority] += first.work;
            shares.add_started(first, first.work);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000.0, started[2], 20.0);
    }

    // Guards against a weight that is so low that a class gets nothing.
    void class_weight_has_a_lower_bound()
    {
        fair_order shares{100.0};
        std::vector<fair_job> const jobs{make_job("a", 0, 10.0),
                                         make_job("b", 255, 10.0)};
        std::size_t starts_of_lowest = 0;
        for (int i = 0; i < 1010; ++i)
        {
            auto const index = shares.order(jobs).front();
            starts_of_lowest += index;
            shares.add_started(jobs[index], jobs[index].work);
        }
        CPPUNIT_ASSERT(starts_of_lowest >= 9 && starts_of_lowest <= 11);
    }

    // Guards against a flow that, after a time without work, takes all capacity
    // until it has caught up with the others.
    void idle_time_gives_no_credit()
    {
        fair_order shares{4.0};
        auto const first = make_job("a", 0, 10.0);
        auto const second = make_job("b", 0, 10.0);
        shares.add_started(second, second.work);
        for (int i = 0; i < 1000; ++i)
        {
            shares.add_started(first, first.work);
        }
        std::size_t starts_of_second = 0;
        for (int i = 0; i < 10; ++i)
        {
            std::vector<fair_job> const jobs{first, second};
            auto const index = shares.order(jobs).front();
            starts_of_second += index;
            shares.add_started(jobs[index], jobs[index].work);
        }
        CPPUNIT_ASSERT(starts_of_second >= 5 && starts_of_second <= 6);
    }

    // Guards against urgent jobs that can no longer be on time and delay others
    // that can.
    void late_jobs_come_last_in_any_class()
    {
        std::vector<fair_job> const jobs{
            make_job("a", 0, 10.0, serving_class::late),
            make_job("a", 0, 10.0, serving_class::late_started),
            make_job("b", 2, 10.0)};
        CPPUNIT_ASSERT(fair_order{4.0}.order(jobs) ==
                       (std::vector<std::size_t>{2, 1, 0}));
    }

    // Guards against senders of an older version, which name no route, that get
    // a share for each job.
    void jobs_without_a_route_are_one_flow()
    {
        std::vector<fair_job> const jobs{
            make_job("", 0, 10.0), make_job("", 0, 10.0), make_job("", 0, 10.0),
            make_job("a", 0, 10.0)};
        auto const order = fair_order{4.0}.order(jobs);
        CPPUNIT_ASSERT(std::ranges::find(order, std::size_t{3}) <=
                       order.begin() + 1);
    }

    // Guards against stops that lose more than they gain.
    void preemption_needs_a_gain()
    {
        auto const stops = [](preemption_candidate const& candidate,
                              preemption_request const& request)
        {
            return choose_preemption({&candidate, 1}, request).has_value();
        };
        CPPUNIT_ASSERT(stops(make_candidate(), make_request()));
        auto same_class = make_candidate();
        same_class.priority = 0;
        CPPUNIT_ASSERT(!stops(same_class, make_request()));
        auto half_done = make_candidate();
        half_done.spent = milliseconds{250};
        CPPUNIT_ASSERT(!stops(half_done, make_request()));
        auto ends_soon = make_candidate();
        ends_soon.spent = milliseconds{20};
        ends_soon.run_time = milliseconds{120};
        CPPUNIT_ASSERT(!stops(ends_soon, make_request()));
        auto without_time = make_candidate();
        without_time.to_deadline = milliseconds{800};
        CPPUNIT_ASSERT(!stops(without_time, make_request()));
        auto stopped_before = make_candidate();
        stopped_before.preempted_before = true;
        CPPUNIT_ASSERT(!stops(stopped_before, make_request()));
        auto in_time_without = make_request();
        in_time_without.to_next_end = milliseconds{80};
        CPPUNIT_ASSERT(!stops(make_candidate(), in_time_without));
        auto too_late = make_request();
        too_late.to_objective = milliseconds{100};
        CPPUNIT_ASSERT(!stops(make_candidate(), too_late));
        std::vector<preemption_candidate> two{make_candidate(),
                                              make_candidate()};
        two[1].spent = milliseconds{10};
        CPPUNIT_ASSERT(choose_preemption(two, make_request()) == 1);
    }

private:
    static void check_calm(source const& busy, source const& calm)
    {
        constexpr duration length = std::chrono::seconds{60};
        replay alone{{calm}, true};
        alone.run(length);
        replay both{{busy, calm}, true};
        both.run(length);
        replay by_position{{busy, calm}, false};
        by_position.run(length);
        double const wanted = alone.results[0].share() - 0.02;
        CPPUNIT_ASSERT(both.results[1].share() >= wanted);
        // Without shares, the same load takes capacity from the second.
        CPPUNIT_ASSERT(by_position.results[1].share() < wanted);
        auto const used =
            both.results[0].served_time + both.results[1].served_time;
        CPPUNIT_ASSERT(static_cast<double>(used.count()) >=
                       0.97 * slots * static_cast<double>(length.count()));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(fair_order_test, "fair_order");

} // namespace
