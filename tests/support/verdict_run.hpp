#pragma once

#include "support/fleet_owner.hpp"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace goldcrestgate::tests
{

/// @brief Random jobs, owners and faults; checks each job that ends as failed.
class verdict_run
{
public:
    /// @brief Plays random seeds; none may fail a job without cause.
    static void check_seeds(bool with_crashes)
    {
        std::string wrong;
        for (std::uint64_t seed = 1; seed <= seed_limit(60); ++seed)
        {
            wrong += run_seed(seed, with_crashes);
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, wrong);
    }

private:
    static constexpr std::uint32_t executors = 5;

    /// Crashes that give a job up, if one of them was under its task alone.
    static constexpr std::size_t crash_limit = 2;

    /// Number of seeds; FAILED_VERDICTS_SEEDS replaces the usual one.
    static std::uint64_t seed_limit(std::uint64_t usual)
    {
        auto const* const text = std::getenv("FAILED_VERDICTS_SEEDS");
        return text == nullptr ? usual : std::stoull(text);
    }

    /// Returns whether a task of the job gave cause for its failure.
    static bool has_cause(executor_fleet const& fleet,
                          core::leased_job const& job)
    {
        for (std::uint16_t i = 0; i < job.groups.front().task_count; ++i)
        {
            core::leased_task const task{job.id, 0, i};
            if (fleet.failed_ends(task) >= job.max_attempts ||
                fleet.crashes(task) >= crash_limit)
            {
                return true;
            }
        }
        return false;
    }

    static std::string run_seed(std::uint64_t seed, bool with_crashes)
    {
        std::mt19937_64 random{seed};
        auto const pick = [&random](std::uint64_t below)
        {
            return random() % below;
        };
        executor_fleet fleet{executors};
        std::vector<std::unique_ptr<fleet_owner>> owners;
        std::map<core::client_job_id, core::leased_job> open;
        std::map<core::client_job_id, core::leased_job> all;
        std::string wrong;
        fleet.on_restarted = [&owners](core::executor_id id)
        {
            owners.back()->list(id);
        };
        auto const check = [&](core::report_verdict const& report)
        {
            auto const& verdict = report.verdict;
            open.erase(verdict.job);
            if (verdict.outcome == core::job_outcome::failed &&
                !has_cause(fleet, all.at(verdict.job)))
            {
                wrong += "seed " + std::to_string(seed) + " job " +
                         std::to_string(verdict.job.value()) + "; ";
            }
        };
        std::uint64_t next_id = 1;
        std::uint64_t token = 0;
        for (int step = 0; step < 150; ++step)
        {
            if (owners.empty() || pick(15) == 0)
            {
                if (!owners.empty() && pick(3) == 0)
                {
                    owners.back()->pause(std::chrono::milliseconds{pick(900)});
                }
                else if (!owners.empty())
                {
                    owners.back()->kill();
                }
                fleet.run_for(std::chrono::milliseconds{pick(500)});
                owners.push_back(std::make_unique<fleet_owner>(fleet));
                owners.back()->verdict_receiver = check;
                owners.back()->list_all();
                owners.back()->take_over(++token, pick(2) == 0);
                for (auto const& [id, job] : open)
                {
                    owners.back()->offer(job, true);
                }
                if (owners.size() > 1)
                {
                    owners.back()->adopt_crashes(**std::next(owners.rbegin()));
                }
            }
            auto& owner = *owners.back();
            core::executor_id const chosen{
                static_cast<std::uint32_t>(1 + pick(executors))};
            auto& behaviour = fleet.behaviour(chosen);
            bool const is_crashed = with_crashes && behaviour.unreachable;
            if (!is_crashed)
            {
                behaviour = {};
                switch (pick(9))
                {
                case 0:
                    behaviour.hangs = true;
                    break;
                case 1:
                    behaviour.unreachable = !with_crashes;
                    break;
                case 2:
                    behaviour.start_delay =
                        std::chrono::milliseconds{200 + pick(2800)};
                    break;
                case 3:
                case 4:
                    behaviour.fails_tasks = true;
                    break;
                case 5:
                    behaviour.poll_delay =
                        std::chrono::milliseconds{200 + pick(2800)};
                    break;
                case 6:
                    behaviour.poll_answer_delay =
                        std::chrono::milliseconds{pick(200)};
                    break;
                default:
                    break;
                }
            }
            if (with_crashes && pick(6) == 0)
            {
                fleet.restart_time =
                    std::chrono::milliseconds{100 + pick(2000)};
                fleet.crash(chosen);
            }
            fleet.drop_every_nth_order = pick(4) == 0 ? 7 : 0;
            auto const work = std::chrono::milliseconds{30 + pick(600)};
            auto job = make_leased_job(
                next_id++, static_cast<std::uint16_t>(1 + pick(3)), work);
            job.max_attempts = static_cast<std::uint16_t>(1 + pick(3));
            job.objective = std::chrono::seconds{5};
            job.time_limit = std::chrono::seconds{8};
            all[job.id] = job;
            open[job.id] = job;
            owner.submit(job, work);
            if (pick(4) == 0 && !open.empty())
            {
                auto const again = std::next(
                    open.begin(), static_cast<long>(pick(open.size())));
                owner.offer(core::leased_job{again->second}, pick(2) == 0,
                            core::instance_id{2});
            }
            fleet.run_for(std::chrono::milliseconds{20 + pick(300)});
        }
        fleet.run_for(std::chrono::seconds{12});
        return wrong;
    }
};

} // namespace goldcrestgate::tests
