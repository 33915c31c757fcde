#include "support/late_order_trial.hpp"

#include "support/fleet_owner.hpp"

#include <algorithm>
#include <map>
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
constexpr int step_count = 300;
constexpr int steps_between_owners = 100;

/// Range of the delay of a late order.
constexpr std::uint64_t shortest_delay_ms = 2000;
constexpr std::uint64_t longest_delay_ms = 12'000;

/// An executor that is down for longer is no longer listed meanwhile: the
/// platform removes its entry after three intervals of silence.
constexpr duration entry_timeout = milliseconds{750};

/// @brief One seed of a trial.
class trial_run
{
public:
    trial_run(late_order_trial const& faults, std::uint64_t seed)
        : faults_(faults)
        , random_(seed)
        , late_percent_(5 + pick(56))
    {
        owners_.push_back(std::make_unique<fleet_owner>(fleet_));
        owners_.back()->start(1);
        fleet_.late_order = [this](order_kind kind)
        {
            return draw_delay(kind);
        };
    }

    late_order_violations run()
    {
        for (int step = 0; step < step_count; ++step)
        {
            disturb_executors();
            if (pick(60) == 0)
            {
                owners_.back()->pause(milliseconds{100 + pick(1400)});
            }
            if (faults_.changes_owner && step % steps_between_owners == 75)
            {
                replace_owner();
            }
            if (pick(6) == 0 && !owners_.back()->paused())
            {
                submit_job();
            }
            fleet_.run_for(milliseconds{20 + pick(60)});
        }
        fleet_.late_order = {};
        for (auto const id : fleet_.ids())
        {
            fleet_.behaviour(id) = {};
        }
        fleet_.run_for(milliseconds{longest_delay_ms + 2000});
        late_order_violations seen{fleet_.duplicate_runs,
                                   fleet_.duplicate_runs_of_late_starts,
                                   fleet_.starts_after_leased_end, 0};
        for (auto const& owner : owners_)
        {
            seen.completed_jobs += static_cast<std::size_t>(
                std::ranges::count_if(owner->verdicts,
                                      [](auto const& entry)
                                      {
                                          return entry.second.outcome ==
                                                 job_outcome::completed;
                                      }));
        }
        return seen;
    }

private:
    std::uint64_t pick(std::uint64_t below)
    {
        return random_() % below;
    }

    std::optional<duration> draw_delay(order_kind kind)
    {
        bool const is_late = pick(100) < late_percent_;
        if (!is_late || (kind == order_kind::start && !faults_.late_starts))
        {
            return std::nullopt;
        }
        // An order without an answer may also have been carried out at once.
        if (pick(4) == 0)
        {
            return milliseconds{1};
        }
        return milliseconds{shortest_delay_ms +
                            pick(longest_delay_ms - shortest_delay_ms)};
    }

    void disturb_executors()
    {
        for (auto const id : fleet_.ids())
        {
            if (pick(100) == 0)
            {
                cut_until_[id] = fleet_.now() + milliseconds{100 + pick(2500)};
            }
            fleet_.behaviour(id).unreachable = fleet_.now() < cut_until_[id];
            if (faults_.restarts && pick(100) == 0 && !fleet_.is_down(id))
            {
                restart_executor(id);
            }
        }
    }

    void restart_executor(executor_id id)
    {
        duration const down_time =
            pick(2) == 0 ? milliseconds{1} : milliseconds{100 + pick(2900)};
        fleet_.restart(id, down_time);
        if (down_time > entry_timeout)
        {
            fleet_.schedule(entry_timeout,
                            [this, id]
                            {
                                auto& owner = *owners_.back();
                                owner.unlist(id);
                            });
        }
        duration const news_delay = milliseconds{2 + pick(300)};
        fleet_.schedule(down_time + news_delay,
                        [this, id]
                        {
                            owners_.back()->list(id);
                        });
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
        duration const work = milliseconds{60 + pick(1440)};
        auto job = make_leased_job(
            jobs_.size() + 1, static_cast<std::uint16_t>(1 + pick(3)), work);
        job.objective = milliseconds{8000};
        job.time_limit = milliseconds{9000};
        jobs_.push_back(job);
        owners_.back()->submit(job, work);
    }

    late_order_trial faults_;
    std::mt19937_64 random_;
    std::uint64_t late_percent_;
    executor_fleet fleet_{executor_count};
    std::map<executor_id, time_point> cut_until_;
    std::vector<std::unique_ptr<fleet_owner>> owners_;
    std::vector<leased_job> jobs_;
};

std::string failed_seeds(late_order_trial const& trial, std::uint64_t last_seed,
                         std::size_t late_order_violations::*count)
{
    std::string failed;
    for (std::uint64_t seed = 1; seed <= last_seed; ++seed)
    {
        if (trial.run(seed).*count != 0)
        {
            failed += std::to_string(seed) + " ";
        }
    }
    return failed;
}

} // namespace

late_order_violations late_order_trial::run(std::uint64_t seed) const
{
    return trial_run{*this, seed}.run();
}

std::string
late_order_trial::seeds_with_duplicate_runs(std::uint64_t last_seed) const
{
    return failed_seeds(*this, last_seed,
                        &late_order_violations::duplicate_runs);
}

std::string
late_order_trial::seeds_with_starts_after_end(std::uint64_t last_seed) const
{
    return failed_seeds(*this, last_seed,
                        &late_order_violations::starts_after_end);
}

} // namespace goldcrestgate::tests
