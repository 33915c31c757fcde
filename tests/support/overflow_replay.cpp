#include "support/overflow_replay.hpp"

#include <algorithm>
#include <array>

namespace goldcrestgate::tests
{

using namespace core;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t domain_count = 3;
constexpr std::size_t gateways_per_domain = 12;
constexpr duration latency = microseconds{1'400};
constexpr duration own_report_interval = milliseconds{100};
/// Time without heartbeats after which an owner counts as gone.
constexpr duration silence = milliseconds{750};

struct job_kind
{
    double per_second;
    std::uint16_t tasks;
    milliseconds estimate;
};

constexpr std::array<job_kind, 3> kinds{{{206.0, 8, milliseconds{60}},
                                         {37.5, 4, milliseconds{900}},
                                         {600.0, 2, milliseconds{200}}}};

std::size_t index_of(domain_id domain)
{
    return domain.value() - std::size_t{1};
}

} // namespace

overflow_replay::gateway_state::gateway_state(std::size_t home, instance_id id)
    : domain(home)
    , instance(id)
    , gateway(domain_id{static_cast<std::uint16_t>(home + 1)}, 0, id)
{
    gateway.set_domain_instances(gateways_per_domain);
}

overflow_replay::overflow_replay(overflow_scenario scenario)
    : scenario_(std::move(scenario))
{
    for (std::size_t domain = 0; domain < domain_count; ++domain)
    {
        owners_.push_back(
            {instance_id{static_cast<std::uint32_t>(1'000 + domain)},
             1,
             domain_millicores,
             false,
             {}});
        for (std::size_t i = 0; i < gateways_per_domain; ++i)
        {
            gateways_.push_back(std::make_unique<gateway_state>(
                domain,
                instance_id{static_cast<std::uint32_t>(gateways_.size())}));
        }
    }
}

overflow_counts overflow_replay::run(duration length)
{
    length_ = length;
    for (std::size_t domain = 0; domain < domain_count; ++domain)
    {
        for (std::size_t to = 0; to < domain_count; ++to)
        {
            report(domain, to);
        }
        schedule(milliseconds{500},
                 [this, domain]
                 {
                     arrive(domain);
                 });
    }
    tick_gateways();
    if (scenario_.owner_lost_at)
    {
        schedule(*scenario_.owner_lost_at,
                 [this]
                 {
                     lose_owner();
                 });
    }
    auto const end = start_ + length + std::chrono::seconds{3};
    while (!queue_.empty() && queue_.top().at < end)
    {
        auto const next = queue_.top();
        queue_.pop();
        now_ = next.at;
        next.work();
    }
    return counts_;
}

void overflow_replay::schedule(duration delay, std::function<void()> work)
{
    queue_.push({now_ + delay, ++last_number_, std::move(work)});
}

void overflow_replay::send(std::size_t from, std::size_t to,
                           std::function<void()> work)
{
    if (scenario_.is_cut && scenario_.is_cut(from, to, since_start()))
    {
        return;
    }
    schedule(from == to ? latency / 4 : latency, std::move(work));
}

void overflow_replay::arrive(std::size_t domain)
{
    if (since_start() >= length_)
    {
        return;
    }
    double rate = 0.0;
    double work = 0.0;
    for (auto const& kind : kinds)
    {
        rate += kind.per_second;
        work += kind.per_second * kind.tasks * task_millicores *
                std::chrono::duration<double>(kind.estimate).count();
    }
    double pick = std::uniform_real_distribution{0.0, rate}(arrivals_);
    std::size_t index = 0;
    while (index + 1 < kinds.size() && pick > kinds[index].per_second)
    {
        pick -= kinds[index++].per_second;
    }
    auto const& kind = kinds[index];
    leased_job job;
    job.id = client_job_id{++last_job_};
    job.service = "desk";
    job.groups.emplace_back();
    job.groups.front().task_count = kind.tasks;
    job.groups.front().each_task.cpu_millicores = task_millicores;
    job.groups.front().estimate = kind.estimate;
    job.objective = duration{kind.estimate} * 8 / 5 + milliseconds{60};
    job.time_limit = milliseconds{1'500};
    auto const pick_gateway = std::uniform_int_distribution<std::size_t>{
        0, gateways_per_domain - 1}(arrivals_);
    auto& gateway = *gateways_[domain * gateways_per_domain + pick_gateway];
    ++counts_.jobs;
    followed_[job.id] = {job, now_, {}, false};
    std::vector<gateway_action> out;
    gateway.gateway.submit(request_id{last_job_}, job, views(gateway), now_,
                           out);
    apply(gateway, out);
    double const load = scenario_.load(domain, since_start());
    double const mean_s = work / rate / (load * domain_millicores);
    double const pause_s =
        std::exponential_distribution{1.0 / mean_s}(arrivals_);
    schedule(duration{static_cast<std::int64_t>(pause_s * 1e6)},
             [this, domain]
             {
                 arrive(domain);
             });
}

void overflow_replay::report(std::size_t domain, std::size_t to)
{
    auto const interval = domain == to || !scenario_.report_interval
                              ? own_report_interval * (domain == to ? 1 : 2)
                              : scenario_.report_interval(domain);
    schedule(interval,
             [this, domain, to]
             {
                 report(domain, to);
             });
    auto const& owner = owners_[domain];
    if (owner.down)
    {
        return;
    }
    duration const wait{
        static_cast<std::int64_t>(1e6 * waiting_work(owner, time_point::max()) /
                                  (usable_fraction * domain_millicores))};
    owner_view const view{domain_id{static_cast<std::uint16_t>(domain + 1)},
                          owner.instance,
                          owner.term,
                          owner.free,
                          wait,
                          {}};
    send(domain, to,
         [this, domain, to, view]
         {
             for (auto const& gateway : gateways_)
             {
                 if (gateway->domain == to)
                 {
                     gateway->reports[domain] = {view, now_};
                 }
             }
         });
}

std::vector<owner_view>
overflow_replay::views(gateway_state const& gateway) const
{
    std::vector<owner_view> all;
    for (auto const& [domain, report] : gateway.reports)
    {
        if (now_ - report.second < silence)
        {
            all.push_back(report.first);
            all.back().report_age = now_ - report.second;
        }
    }
    return all;
}

void overflow_replay::tick_gateways()
{
    schedule(milliseconds{50},
             [this]
             {
                 tick_gateways();
             });
    for (std::size_t domain = 0; domain < domain_count; ++domain)
    {
        expire(domain);
    }
    for (auto const& gateway : gateways_)
    {
        std::vector<gateway_action> out;
        gateway->gateway.tick(views(*gateway), now_, out);
        apply(*gateway, out);
    }
}

void overflow_replay::apply(gateway_state& gateway,
                            std::vector<gateway_action> const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* const answer = std::get_if<answer_job>(&action))
        {
            answered(gateway, *answer);
        }
        auto const* const sent = std::get_if<send_offer>(&action);
        if (sent == nullptr)
        {
            continue;
        }
        auto const target = std::ranges::find_if(
            gateway.reports,
            [sent](auto const& entry)
            {
                return entry.second.first.instance == sent->owner;
            });
        auto const domain = target->first;
        auto& followed = followed_.at(sent->offer.job.id);
        auto const id = target->second.first.domain;
        if (!sent->offer.resumed)
        {
            counts_.faults += std::ranges::count(followed.offered_in, id) > 0;
            bool const has_left = std::ranges::any_of(
                followed.offered_in,
                [&gateway](domain_id earlier)
                {
                    return index_of(earlier) != gateway.domain;
                });
            followed.offered_in.push_back(id);
            counts_.remote_offers += domain != gateway.domain;
            counts_.jobs_that_left += domain != gateway.domain && !has_left;
            counts_.most_offers =
                std::max(counts_.most_offers, followed.offered_in.size());
        }
        send(gateway.domain, domain,
             [this, domain, from = gateway.instance, offered = sent->offer]
             {
                 offer(domain, from, offered);
             });
    }
}

void overflow_replay::answered(gateway_state const& gateway,
                               answer_job const& answer)
{
    auto& followed = followed_.at(answer.job);
    counts_.faults += followed.answered;
    followed.answered = true;
    auto const& job = followed.job;
    counts_.completed += answer.outcome == job_outcome::completed;
    counts_.on_time += answer.outcome == job_outcome::completed &&
                       answer.elapsed <= job.objective;
    counts_.abandoned += answer.outcome == job_outcome::abandoned;
    if (answer.outcome != job_outcome::rejected)
    {
        return;
    }
    ++counts_.rejected;
    auto const finish =
        now_ - followed.arrived + latency * 2 + critical_path(job.groups);
    for (std::size_t domain = 0; domain < domain_count; ++domain)
    {
        auto const& owner = owners_[domain];
        bool const is_reachable =
            !owner.down &&
            !(scenario_.is_cut &&
              scenario_.is_cut(gateway.domain, domain, since_start()));
        auto const& group = job.groups.front();
        if (is_reachable && finish < job.objective &&
            waiting_work(owner, time_point::max()) <= 0.0 &&
            owner.free >= group.task_count * group.each_task.cpu_millicores)
        {
            ++counts_.rejected_with_capacity;
            return;
        }
    }
}

} // namespace goldcrestgate::tests
