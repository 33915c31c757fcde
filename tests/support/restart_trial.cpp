#include "support/restart_trial.hpp"

#include "support/fleet_owner.hpp"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

namespace goldcrestgate::tests
{

using namespace core;
using std::chrono::milliseconds;

namespace
{

constexpr std::uint32_t executor_count = 6;
constexpr int step_count = 60;
constexpr int first_restart_step = 10;
constexpr int steps_between_owners = 20;

/// @brief One seed of a trial.
class trial_run
{
public:
    trial_run(restart_trial const& faults, std::uint64_t seed)
        : faults_(faults)
        , random_(seed)
    {
        owners_.push_back(std::make_unique<fleet_owner>(fleet_));
        owners_.back()->start(1);
    }

    std::size_t run()
    {
        for (int step = 0; step < step_count; ++step)
        {
            disturb_executors();
            if (step >= first_restart_step && pick(3) == 0)
            {
                restart_executor();
            }
            if (pick(8) == 0)
            {
                fleet_.drop_every_nth_order = pick(2) == 0 ? 0 : 5 + pick(6);
            }
            if (faults_.changes_owner && step % steps_between_owners == 15)
            {
                replace_owner();
            }
            submit_job();
            fleet_.run_for(milliseconds{20 + pick(60)});
        }
        for (auto const id : fleet_.ids())
        {
            fleet_.behaviour(id) = {};
        }
        fleet_.run_for(milliseconds{4000});
        return fleet_.duplicate_runs;
    }

private:
    std::uint64_t pick(std::uint64_t below)
    {
        return random_() % below;
    }

    void disturb_executors()
    {
        for (auto const id : fleet_.ids())
        {
            auto& behaviour = fleet_.behaviour(id);
            behaviour = {};
            behaviour.unreachable = pick(15) == 0;
            if (pick(5) == 0)
            {
                behaviour.poll_answer_delay = milliseconds{pick(120)};
            }
            if (pick(4) == 0)
            {
                behaviour.start_delay = milliseconds{50 + pick(1500)};
            }
        }
    }

    void restart_executor()
    {
        executor_id const id{
            static_cast<std::uint32_t>(1 + pick(executor_count))};
        fleet_.restart(id);
        auto const drop = fleet_.drop_every_nth_order;
        if (faults_.sound_restarts)
        {
            fleet_.behaviour(id).unreachable = false;
            fleet_.drop_every_nth_order = 0;
        }
        owners_.back()->list(id);
        fleet_.drop_every_nth_order = drop;
    }

    void replace_owner()
    {
        owners_.back()->kill();
        owners_.push_back(std::make_unique<fleet_owner>(fleet_));
        auto& next = *owners_.back();
        next.list_all();
        next.take_over(owners_.size(), true);
        for (auto const& job : jobs_)
        {
            bool const ended =
                std::ranges::any_of(owners_,
                                    [&job](auto const& owner)
                                    {
                                        return owner->verdicts.contains(job.id);
                                    });
            if (!ended)
            {
                next.offer(job, true);
            }
        }
    }

    void submit_job()
    {
        auto job = make_leased_job(jobs_.size() + 1,
                                   static_cast<std::uint16_t>(1 + pick(2)),
                                   milliseconds{40 + pick(400)});
        job.objective = milliseconds{5000};
        job.time_limit = milliseconds{6000};
        jobs_.push_back(job);
        owners_.back()->submit(job, job.groups.front().estimate);
    }

    restart_trial faults_;
    std::mt19937_64 random_;
    executor_fleet fleet_{executor_count};
    std::vector<std::unique_ptr<fleet_owner>> owners_;
    std::vector<leased_job> jobs_;
};

} // namespace

std::size_t restart_trial::run(std::uint64_t seed) const
{
    return trial_run{*this, seed}.run();
}

std::string restart_trial::failed_seeds(std::uint64_t last_seed) const
{
    std::string failed;
    for (std::uint64_t seed = 1; seed <= last_seed; ++seed)
    {
        if (run(seed) != 0)
        {
            failed += std::to_string(seed) + " ";
        }
    }
    return failed;
}

} // namespace goldcrestgate::tests
