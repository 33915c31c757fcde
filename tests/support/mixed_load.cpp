#include "support/mixed_load.hpp"

#include "bench/support/random.hpp"

#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <vector>

namespace goldcrestgate::tests
{

using namespace core;
using namespace mixed_load_figures;
using std::chrono::milliseconds;
using std::chrono::seconds;

scheduler_limits limits_with(std::uint32_t reservations)
{
    scheduler_limits limits;
    limits.reservations = reservations;
    return limits;
}

leased_job make_job(std::uint64_t id, std::uint16_t tasks,
                    resource_amounts const& amounts, duration estimate)
{
    auto job = tests::make_leased_job(id, tasks, estimate);
    job.groups.front().each_task = amounts;
    return job;
}

namespace
{

/// An executor fleet of deployment B: 16 cores, three speeds.
std::unique_ptr<executor_fleet> make_fleet(std::size_t executors)
{
    constexpr std::array slowdowns = {0.8, 1.0, slowest};
    auto fleet = std::make_unique<executor_fleet>(executors);
    for (auto const id : fleet->ids())
    {
        fleet->set_capacity(id, capacity);
        fleet->behaviour(id).slowdown =
            slowdowns.at(id.value() % slowdowns.size());
    }
    return fleet;
}

/// One replay, determined by a seed.
class mixed_load
{
public:
    mixed_load(std::uint32_t reservations, std::uint64_t seed)
        : random_(seed)
        , owner_(*fleet_, limits_with(reservations))
    {
        owner_.start();
    }

    replay_result run(seconds time)
    {
        auto const end = fleet_->now() + time;
        while (fleet_->now() < end)
        {
            constexpr milliseconds step{5};
            constexpr double step_s = 0.005;
            submit_some(small_jobs_per_second * step_s, small_task, small_work);
            submit_some(large_jobs_per_second * step_s, large_task, large_work);
            fleet_->run_for(step);
        }
        fleet_->run_for(time_limit + milliseconds{100});
        return evaluate();
    }

private:
    struct sent_job
    {
        leased_job job;
        time_point at{};
        duration work{};
    };

    void submit_some(double expected, resource_amounts const& amounts,
                     duration estimate)
    {
        if (random_.uniform(0.0, 1.0) >= expected)
        {
            return;
        }
        bool const is_large = amounts == large_task;
        auto const job =
            make_job(++last_id_, is_large ? 1 : 2, amounts, estimate);
        auto const work =
            core::detail::scale_duration(estimate, random_.uniform(0.6, 1.4));
        sent_.push_back({job, fleet_->now(), work});
        fleet_->set_millicores(job.id, amounts.cpu_millicores);
        owner_.submit(job, work);
    }

    [[nodiscard]] replay_result evaluate() const
    {
        replay_result result;
        for (auto const& sent : sent_)
        {
            bool const is_large =
                sent.job.groups.front().each_task == large_task;
            auto& of_size = is_large ? result.large : result.small;
            auto const& verdict = owner_.verdicts.at(sent.job.id);
            bool const is_completed = verdict.outcome == job_outcome::completed;
            auto const response =
                is_completed ? owner_.ended_at.at(sent.job.id) - sent.at
                             : duration{time_limit};
            ++of_size.jobs;
            of_size.on_time +=
                is_completed && response <= sent.job.objective ? 1 : 0;
            of_size.waited += std::max(response - sent.work, duration{});
        }
        return result;
    }

    std::unique_ptr<executor_fleet> fleet_ = make_fleet(executor_count);
    bench::random_source random_;
    fleet_owner owner_;
    std::uint64_t last_id_ = 0;
    std::vector<sent_job> sent_;
};

} // namespace

replay_result replay_mixed_load(std::uint32_t reservations)
{
    replay_result total;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        auto const result = mixed_load{reservations, seed}.run(seconds{20});
        total.small += result.small;
        total.large += result.large;
    }
    return total;
}

} // namespace goldcrestgate::tests
