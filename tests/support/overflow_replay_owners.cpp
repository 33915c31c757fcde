#include "support/overflow_replay.hpp"

#include "goldcrestgate/core/leasing/admission.hpp"

#include <algorithm>

namespace goldcrestgate::tests
{

using namespace core;
using std::chrono::milliseconds;

namespace
{

/// Time until a successor has taken over.
constexpr duration takeover = milliseconds{400};
double core_seconds(leased_job const& job)
{
    auto const& group = job.groups.front();
    return std::chrono::duration<double>(group.estimate).count() *
           group.task_count * group.each_task.cpu_millicores;
}

} // namespace

// The successor reads the runs from the executors; the waiting jobs come again
// from the gateways.
void overflow_replay::lose_owner()
{
    auto& owner = owners_[1];
    owner.down = true;
    std::erase_if(owner.jobs,
                  [](auto const& entry)
                  {
                      return !entry.second.started;
                  });
    schedule(takeover,
             [&owner]
             {
                 owner.down = false;
                 owner.instance = instance_id{owner.instance.value() + 100};
                 ++owner.term;
             });
}

double overflow_replay::waiting_work(owner_state const& owner,
                                     time_point due) const
{
    double work = 0.0;
    for (auto const& [id, held] : owner.jobs)
    {
        if (held.waiting > 0 && held.due <= due)
        {
            work += core_seconds(held.job) * held.waiting /
                    held.job.groups.front().task_count;
        }
    }
    return work;
}

void overflow_replay::offer(std::size_t domain, instance_id gateway,
                            job_offer const& offered)
{
    auto& owner = owners_[domain];
    if (owner.down)
    {
        return;
    }
    auto const known = owner.jobs.find(offered.job.id);
    if (known != owner.jobs.end())
    {
        known->second.sequence = offered.sequence;
        if (known->second.waiting + known->second.running == 0)
        {
            send_verdict(domain, known->second, job_outcome::completed);
        }
        return;
    }
    auto const& group = offered.job.groups.front();
    held_job held{offered.job,
                  gateway,
                  offered.sequence,
                  now_ - offered.elapsed + offered.job.objective,
                  group.task_count,
                  0,
                  false};
    admission_input input;
    input.time_to_objective = offered.job.objective - offered.elapsed;
    input.time_to_limit = offered.job.time_limit - offered.elapsed;
    input.fastest_run = group.estimate * 9 / 10;
    input.own_work = core_seconds(offered.job);
    input.work_ahead = waiting_work(owner, held.due);
    input.usable_millicores = usable_fraction * domain_millicores;
    input.can_start_now = input.work_ahead <= 0.0;
    if (!admit(input).admitted)
    {
        send_verdict(domain, held, job_outcome::rejected);
        return;
    }
    owner.jobs.emplace(offered.job.id, std::move(held));
    start_waiting(domain);
}

void overflow_replay::start_waiting(std::size_t domain)
{
    auto& owner = owners_[domain];
    std::vector<held_job*> waiting;
    for (auto& [id, held] : owner.jobs)
    {
        if (held.waiting > 0)
        {
            waiting.push_back(&held);
        }
    }
    std::ranges::sort(waiting, {}, &held_job::due);
    for (auto* const held : waiting)
    {
        auto const& group = held->job.groups.front();
        while (held->waiting > 0 && owner.free >= task_millicores)
        {
            owner.free -= task_millicores;
            --held->waiting;
            ++held->running;
            held->started = true;
            auto const share =
                std::uniform_real_distribution{0.6, 1.4}(random_);
            schedule(duration{static_cast<std::int64_t>(
                         share * static_cast<double>(group.estimate.count()))},
                     [this, domain, id = held->job.id]
                     {
                         task_ended(domain, id, task_millicores);
                     });
        }
    }
}

void overflow_replay::expire(std::size_t domain)
{
    auto& owner = owners_[domain];
    std::erase_if(owner.jobs,
                  [this, domain](auto const& entry)
                  {
                      auto const& held = entry.second;
                      auto const& group = held.job.groups.front();
                      bool const is_late =
                          !held.started &&
                          now_ + group.estimate * 9 / 10 > held.due;
                      if (is_late)
                      {
                          send_verdict(domain, held, job_outcome::rejected);
                      }
                      return is_late;
                  });
}

void overflow_replay::task_ended(std::size_t domain, client_job_id id,
                                 std::uint32_t millicores)
{
    auto& owner = owners_[domain];
    owner.free += millicores;
    auto const found = owner.jobs.find(id);
    auto& held = found->second;
    --held.running;
    if (held.waiting + held.running == 0 && !owner.down)
    {
        send_verdict(domain, held, job_outcome::completed);
        if (!scenario_.owner_lost_at)
        {
            owner.jobs.erase(found);
        }
    }
    if (!owner.down)
    {
        start_waiting(domain);
    }
}

void overflow_replay::send_verdict(std::size_t domain, held_job const& held,
                                   job_outcome outcome)
{
    auto& gateway = *gateways_[held.gateway.value()];
    job_verdict const verdict{held.job.id, outcome, std::chrono::seconds{1},
                              held.sequence};
    send(domain, gateway.domain,
         [this, &gateway, verdict, from = owners_[domain].instance]
         {
             std::vector<gateway_action> out;
             gateway.gateway.verdict(from, verdict, views(gateway), now_, out);
             apply(gateway, out);
         });
}

} // namespace goldcrestgate::tests
