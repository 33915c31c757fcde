#include "goldcrestgate/core/leasing/detail/run_time_margins.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"
#include "goldcrestgate/core/leasing/detail/waiting_work.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace goldcrestgate::core::detail
{

namespace
{

/// Time for which the shares are kept after the last shortage; bursts of a
/// route last for seconds, with short gaps.
constexpr duration shares_retention = std::chrono::seconds{1};

/// Minimum time between two `job_deferred` lines of a service.
constexpr duration deferral_log_interval = std::chrono::seconds{1};

/// @brief Compares the waiting tasks of a service with its unused capacity.
class capacity_balance
{
public:
    void add_waiting(job_record const& job)
    {
        for (std::size_t i = 0; i < job.groups.size(); ++i)
        {
            auto const count = job.groups[i].waiting;
            if (count == 0)
            {
                continue;
            }
            auto const& amounts = job.job.groups[i].each_task;
            needed_ += std::uint64_t{count} * amounts.cpu_millicores;
            smallest_.cpu_millicores =
                std::min(smallest_.cpu_millicores, amounts.cpu_millicores);
            smallest_.memory_mb =
                std::min(smallest_.memory_mb, amounts.memory_mb);
            smallest_.accelerators =
                std::min(smallest_.accelerators, amounts.accelerators);
        }
    }

    /// Adds unused capacity, if it has room for a waiting task.
    /// @pre all waiting jobs are added
    void add_unused(resource_amounts const& unused)
    {
        unused_ += smallest_.fits_into(unused) ? unused.cpu_millicores : 0;
    }

    [[nodiscard]] bool is_short() const
    {
        return needed_ > unused_;
    }

private:
    static constexpr auto most = std::numeric_limits<std::uint32_t>::max();

    std::uint64_t needed_ = 0;
    std::uint64_t unused_ = 0;
    resource_amounts smallest_{most, most, most};
};

fair_job make_fair_job(job_record const& job, serving_position position)
{
    return {job.job.route, job.job.origin_domain, job.job.priority,
            waiting_work(job), position};
}

/// Where executors differ in speed, a job that only fast ones can finish
/// competes in the highest class: jobs of that class can use the other
/// executors, and the work of this one would be lost.
void raise_bound_jobs(std::vector<fair_job>& jobs, slowdown_range range)
{
    if (jobs.empty() || range.fastest * different_speed_factor >= range.slowest)
    {
        return;
    }
    auto const highest = std::ranges::min(jobs, {}, &fair_job::priority);
    for (auto& job : jobs)
    {
        if (job.position.urgency == serving_class::needs_fast_executor)
        {
            job.priority = highest.priority;
        }
    }
}

/// Returns the part of the capacity that the flow of a job can expect: what the
/// running tasks of other flows of the same or a higher class leave, and at
/// least an equal share.
double expected_part(scheduler_state const& state, fair_job const& own,
                     std::string_view service, time_point now)
{
    using flow = std::tuple<std::uint8_t, std::string_view, domain_id>;
    flow const own_flow{own.priority, own.route, own.origin_domain};
    std::set<flow> flows{own_flow};
    double total = 0.0;
    double others = 0.0;
    for (auto const& [id, executor] : state.executors)
    {
        if (!state.serves(executor, service, now))
        {
            continue;
        }
        for (auto const& run : executor.runs)
        {
            total += run.amounts.cpu_millicores;
            auto const found = state.jobs.find(run.run.task.job);
            if (found == state.jobs.end())
            {
                continue;
            }
            auto const& job = found->second.job;
            flow const other{job.priority, job.route, job.origin_domain};
            if (other != own_flow && job.priority <= own.priority)
            {
                others += run.amounts.cpu_millicores;
                flows.insert(other);
            }
        }
    }
    double const left = total > 0.0 ? 1.0 - others / total : 1.0;
    return std::max(left, 1.0 / static_cast<double>(flows.size()));
}

} // namespace

void scheduler_state::order_by_share(
    std::vector<std::pair<serving_position, job_record*>>& order,
    std::map<std::string_view, executor_pool>& pools,
    scheduler_context& context)
{
    if (!limits.fair_shares)
    {
        return;
    }
    std::map<std::string_view, std::vector<std::size_t>> by_service;
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        by_service[order[i].second->job.service].push_back(i);
    }
    for (auto const& [service, places] : by_service)
    {
        auto& pool = pools.at(service);
        capacity_balance balance;
        for (auto const place : places)
        {
            balance.add_waiting(*order[place].second);
        }
        for (auto const* const executor : pool.with_capacity)
        {
            balance.add_unused(executor->free_capacity());
        }
        if (!balance.is_short())
        {
            continue;
        }
        auto& share =
            shares
                .try_emplace(std::string{service},
                             service_shares{
                                 fair_order{limits.class_weight_ratio}, {}, {}})
                .first->second;
        share.contended_at = context.now;
        std::vector<fair_job> waiting;
        std::vector<std::pair<serving_position, job_record*>> sorted;
        waiting.reserve(places.size());
        for (auto const place : places)
        {
            waiting.push_back(
                make_fair_job(*order[place].second, order[place].first));
            sorted.push_back(order[place]);
        }
        raise_bound_jobs(waiting, pool.speeds);
        auto const served = share.order.order(waiting);
        for (std::size_t i = 0; i < served.size(); ++i)
        {
            auto const& job = order[places[i]] = sorted[served[i]];
            pool.flows.emplace(job.second, waiting[served[i]]);
        }
        if (served.front() != 0 &&
            context.now >= share.logged_at + deferral_log_interval)
        {
            share.logged_at = context.now;
            auto const& deferred = *sorted.front().second;
            auto const& first = waiting[served.front()];
            scheduler_log_event log_event{.event = "job_deferred",
                                          .job = deferred.job.id};
            log_event.reason = first.priority < waiting.front().priority
                                   ? "higher_class"
                                   : "share_used";
            log_event.slack = deferred.due - context.now;
            log_event.count = served.size();
            context.out.emplace_back(log_event);
        }
    }
    std::erase_if(shares,
                  [&context](auto const& entry)
                  {
                      return entry.second.contended_at + shares_retention <
                             context.now;
                  });
}

void scheduler_state::place_by_share(job_record& job, executor_pool const& pool,
                                     scheduler_context& context)
{
    auto const flow = pool.flows.find(&job);
    if (flow == pool.flows.end())
    {
        place_job(job, pool, context);
        return;
    }
    double const before = waiting_work(job);
    place_job(job, pool, context);
    double const started = before - waiting_work(job);
    if (started > 0.0)
    {
        shares.at(job.job.service).order.add_started(flow->second, started);
    }
}

// The jobs of other flows that arrive during the wait are served as well, so
// the work ahead is divided by the part of the capacity that the flow gets.
// Without that, a flow above its share is admitted until its jobs miss their
// objective. Late jobs of the same flow count as ahead, as without shares: one
// that has started takes the capacity that becomes free on the executors of its
// other tasks.
std::optional<double>
scheduler_state::work_ahead_by_share(job_record const& job, time_point now,
                                     slowdown_range range) const
{
    if (!limits.fair_shares)
    {
        return std::nullopt;
    }
    auto const& service = job.job.service;
    capacity_balance balance;
    std::vector<fair_job> waiting;
    for (auto const& [id, other] : jobs)
    {
        if (other.job.service == service && has_waiting(other))
        {
            balance.add_waiting(other);
            waiting.push_back(make_fair_job(
                other, serving_position_of(other, now, range.slowest)));
        }
    }
    if (waiting.empty())
    {
        return std::nullopt;
    }
    balance.add_waiting(job);
    for (auto const& [id, executor] : executors)
    {
        if (serves(executor, service, now))
        {
            balance.add_unused(executor.free_capacity());
        }
    }
    if (!balance.is_short())
    {
        return std::nullopt;
    }
    auto const own = waiting.size();
    waiting.push_back(
        make_fair_job(job, serving_position_of(job, now, range.slowest)));
    raise_bound_jobs(waiting, range);
    auto const share = shares.find(service);
    auto const order =
        share != shares.end()
            ? share->second.order.order(waiting)
            : fair_order{limits.class_weight_ratio}.order(waiting);
    double work = 0.0;
    bool is_ahead = true;
    for (auto const index : order)
    {
        auto const& other = waiting[index];
        if (index == own)
        {
            is_ahead = false;
            continue;
        }
        bool const is_late_in_flow =
            other.position.urgency >= serving_class::late_started &&
            other.priority == waiting[own].priority &&
            other.route == waiting[own].route &&
            other.origin_domain == waiting[own].origin_domain;
        work += is_ahead || is_late_in_flow ? other.work : 0.0;
    }
    return work > 0.0 ? work / expected_part(*this, waiting[own], service, now)
                      : work;
}

} // namespace goldcrestgate::core::detail
