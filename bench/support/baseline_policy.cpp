#include "support/policies.hpp"

#include <algorithm>

namespace goldcrestgate::bench
{

namespace
{

// Time for which a baseline sends nothing to an executor that has refused a
// start. Without this backoff, a saturated system produces only refusals.
constexpr core::duration refusal_backoff = std::chrono::milliseconds{20};

} // namespace

baseline_policy::baseline_policy(workload const& work, std::uint32_t instance,
                                 baseline_kind kind)
    : work_(&work)
    , kind_(kind)
    , random_(work.parameters.seed * 1000 + instance)
    , open_attempts_(work.parameters.servers)
    , backoff_until_(work.parameters.servers)
{
}

void baseline_policy::set_view(std::uint32_t /*rank*/, std::uint32_t /*count*/)
{
}

void baseline_policy::set_demands(
    std::vector<std::uint32_t> const& /*open_tasks*/)
{
}

std::vector<core::slot_update>
baseline_policy::exchange(core::time_point /*now*/)
{
    return {};
}

void baseline_policy::receive_update(core::slot_update const& /*update*/)
{
}

bool baseline_policy::admit(std::uint32_t /*job*/, core::time_point /*now*/)
{
    return true;
}

void baseline_policy::push(task_ref task, core::time_point /*now*/)
{
    tasks_.push_back(task);
}

std::optional<start_choice> baseline_policy::next_start(core::time_point now)
{
    now_ = now;
    if (tasks_.empty())
    {
        return std::nullopt;
    }
    auto const server = choose();
    if (!server)
    {
        return std::nullopt;
    }
    start_choice const choice{tasks_.front(), *server};
    tasks_.pop_front();
    ++open_attempts_[*server];
    return choice;
}

void baseline_policy::attempt_ended(attempt_report const& report, bool retry,
                                    core::time_point now)
{
    --open_attempts_[report.server];
    if (report.outcome == core::task_outcome::refused_busy)
    {
        backoff_until_[report.server] = now + refusal_backoff;
    }
    if (retry)
    {
        tasks_.push_front(report.task);
    }
}

void baseline_policy::cancel(std::uint32_t job)
{
    std::erase_if(tasks_,
                  [&](task_ref task)
                  {
                      return task.job == job;
                  });
}

std::vector<task_ref> baseline_policy::expire(core::time_point now)
{
    std::vector<task_ref> expired;
    while (!tasks_.empty())
    {
        auto const& job = work_->jobs[tasks_.front().job];
        if (job.submitted + job.deadline > now)
        {
            break;
        }
        expired.push_back(tasks_.front());
        tasks_.pop_front();
    }
    return expired;
}

bool baseline_policy::is_usable(std::uint32_t server) const
{
    return open_attempts_[server] < work_->parameters.slots &&
           backoff_until_[server] <= now_;
}

std::uint32_t baseline_policy::choose_least_open() const
{
    std::uint32_t best = 0;
    std::uint32_t best_open = work_->parameters.slots + 1;
    for (std::uint32_t server = 0; server < open_attempts_.size(); ++server)
    {
        if (is_usable(server) && open_attempts_[server] < best_open)
        {
            best = server;
            best_open = open_attempts_[server];
        }
    }
    return best;
}

std::uint32_t baseline_policy::pick_random_usable()
{
    std::uint32_t nth = random_.below(usable_count_);
    for (std::uint32_t server = 0;; ++server)
    {
        if (is_usable(server) && nth-- == 0)
        {
            return server;
        }
    }
}

std::optional<std::uint32_t> baseline_policy::choose()
{
    usable_count_ = 0;
    for (std::uint32_t server = 0; server < open_attempts_.size(); ++server)
    {
        usable_count_ += is_usable(server) ? 1 : 0;
    }
    if (usable_count_ == 0)
    {
        return std::nullopt;
    }
    if (kind_ == baseline_kind::random)
    {
        return pick_random_usable();
    }
    if (kind_ == baseline_kind::least_open)
    {
        return choose_least_open();
    }
    if (kind_ == baseline_kind::two_choices)
    {
        std::uint32_t const first = pick_random_usable();
        std::uint32_t const second = pick_random_usable();
        return open_attempts_[second] < open_attempts_[first] ? second : first;
    }
    auto const count = static_cast<std::uint32_t>(open_attempts_.size());
    do
    {
        next_server_ = (next_server_ + 1) % count;
    } while (!is_usable(next_server_));
    return next_server_;
}

} // namespace goldcrestgate::bench
