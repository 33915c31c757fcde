#include "support/fleet_owner.hpp"

#include "goldcrestgate/core/detail/overloaded.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <utility>

namespace goldcrestgate::tests
{

using namespace core;
using std::chrono::milliseconds;

fleet_owner::fleet_owner(executor_fleet& fleet, scheduler_limits const& limits)
    : scheduler(limits)
    , fleet_(fleet)
{
    tick();
}

void fleet_owner::start(std::uint64_t token)
{
    list_all();
    take_over(token, true);
    fleet_.run_for(milliseconds{150});
    CPPUNIT_ASSERT(scheduler.owns());
}

void fleet_owner::submit(leased_job const& job, duration work)
{
    fleet_.set_work(job.id, work);
    offer(job);
}

leased_job fleet_owner::submit(std::uint64_t id, std::uint16_t tasks,
                               duration work)
{
    auto job = make_leased_job(id, tasks, work);
    submit(job, work);
    return job;
}

void fleet_owner::pause(duration time)
{
    paused_until_ = std::max(paused_until_, fleet_.now() + time);
}

bool fleet_owner::paused() const
{
    return fleet_.now() < paused_until_;
}

void fleet_owner::when_resumed(std::function<void()> work)
{
    if (!paused())
    {
        work();
        return;
    }
    fleet_.schedule(paused_until_ - fleet_.now(),
                    [this, work = std::move(work)]
                    {
                        when_resumed(work);
                    });
}

void fleet_owner::tick()
{
    if (killed_)
    {
        return;
    }
    if (paused())
    {
        when_resumed(
            [this]
            {
                tick();
            });
        return;
    }
    std::vector<scheduler_action> out;
    scheduler.tick(fleet_.now(), out);
    apply(out);
    fleet_.schedule(milliseconds{10},
                    [this]
                    {
                        tick();
                    });
}

void fleet_owner::list(executor_id id)
{
    list(id, fleet_.description(id));
}

void fleet_owner::list(executor_id id, executor_description const& description)
{
    when_resumed(
        [this, id, description]
        {
            std::vector<scheduler_action> out;
            scheduler.list(id, description, fleet_.now(), out);
            apply(out);
        });
}

void fleet_owner::unlist(executor_id id)
{
    when_resumed(
        [this, id]
        {
            scheduler.unlist(id, fleet_.now());
        });
}

void fleet_owner::list_all()
{
    for (auto const id : fleet_.ids())
    {
        list(id);
    }
}

fencing_token fleet_owner::token_of(std::uint64_t claim)
{
    constexpr std::uint64_t claim_step = std::uint64_t{1} << 30;
    return fencing_token{claim * claim_step};
}

void fleet_owner::take_over(std::uint64_t token, bool roster_known)
{
    std::vector<scheduler_action> out;
    scheduler.take_over(token_of(token), roster_known, fleet_.now(), out);
    apply(out);
}

void fleet_owner::offer(leased_job const& job, bool resumed, instance_id origin,
                        duration elapsed)
{
    std::vector<scheduler_action> out;
    scheduler.offer(origin, {job, elapsed, resumed}, fleet_.now(), out);
    apply(out);
}

void fleet_owner::adopt_crashes(fleet_owner const& other)
{
    adopt_crashes(other.scheduler.crash_report(fleet_.now()));
}

void fleet_owner::adopt_crashes(std::span<task_crashes const> reported)
{
    std::vector<scheduler_action> out;
    scheduler.adopt_crashes(reported, fleet_.now(), out);
    apply(out);
}

void fleet_owner::list_restarted()
{
    fleet_.on_restarted = [this](executor_id id)
    {
        list(id);
    };
}

void fleet_owner::apply(std::vector<scheduler_action> const& actions)
{
    auto const answered = [this](auto member)
    {
        return [this, member](auto const& answer)
        {
            when_resumed(
                [this, member, answer]
                {
                    if (killed_)
                    {
                        return;
                    }
                    std::vector<scheduler_action> out;
                    (scheduler.*member)(answer, fleet_.now(), out);
                    apply(out);
                });
        };
    };
    for (auto const& action : actions)
    {
        std::visit(
            detail::overloaded{
                [&](start_run const& order)
                {
                    start_orders.push_back(order);
                    fleet_.order(order,
                                 answered(&job_scheduler::start_answered));
                },
                [&](stop_run const& order)
                {
                    fleet_.order(order,
                                 answered(&job_scheduler::stop_answered));
                },
                [&](poll_executor const& order)
                {
                    fleet_.order(order,
                                 answered(&job_scheduler::poll_answered));
                },
                [&](report_verdict const& report)
                {
                    verdicts[report.verdict.job] = report.verdict;
                    ended_at[report.verdict.job] = fleet_.now();
                    if (verdict_receiver)
                    {
                        verdict_receiver(report);
                    }
                },
                [](scheduler_log_event const&)
                {
                    // The tests check effects, not log events.
                }},
            action);
    }
}

void check_rejections(executor_fleet const& fleet, fleet_owner const& owner)
{
    for (auto const& [id, verdict] : owner.verdicts)
    {
        if (verdict.outcome == job_outcome::rejected)
        {
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.starts(id));
        }
    }
}

leased_job make_leased_job(std::uint64_t id, std::uint16_t tasks,
                           duration estimate)
{
    leased_job job;
    job.id = client_job_id{id};
    job.service = "desk";
    job.payload = "payload";
    job.groups.emplace_back();
    job.groups.front().task_count = tasks;
    job.groups.front().each_task = {27'000, 64, 0};
    job.groups.front().estimate = estimate;
    job.max_attempts = 2;
    job.objective = detail::scale_duration(estimate, 1.6) + milliseconds{60};
    job.time_limit = milliseconds{1500};
    return job;
}

leased_job make_patient_job(std::uint64_t id, duration estimate,
                            duration time_limit)
{
    auto job = make_leased_job(id, 1, estimate);
    job.objective = time_limit - milliseconds{500};
    job.time_limit = time_limit;
    return job;
}

} // namespace goldcrestgate::tests
