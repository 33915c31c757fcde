#include "goldcrestgate/core/leasing/domain_capacity.hpp"

#include "goldcrestgate/core/detail/unit_hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace goldcrestgate::core
{

namespace
{

/// Additional wait of a job that does not fit into the free capacity.
constexpr duration shortage_wait = std::chrono::milliseconds{5};

/// Difference of the waits, beyond the margin, at which all jobs leave their
/// domain. Traffic between domains is priced: if all left at the margin, the
/// loads of unit.domain_overflow would offer 2% more jobs to other domains.
constexpr duration full_overflow_gain = std::chrono::milliseconds{20};

/// An offer that was sent within this time before a report arrived may have
/// crossed it: 2.8 ms for the round trip, and the rest for the event loops.
constexpr duration crossing_time = std::chrono::milliseconds{5};

/// Distinguish the uses of the hash of a job.
constexpr std::uint64_t leaving_seed = 0x6c65617665ULL;
constexpr std::uint64_t domain_seed = 0x646f6d61696eULL;

double work_of(leased_job const& job)
{
    double work = 0.0;
    for (auto const& group : job.groups)
    {
        work += std::chrono::duration<double>(group.estimate).count() *
                group.task_count * group.each_task.cpu_millicores;
    }
    return work;
}

std::uint64_t largest_demand(leased_job const& job)
{
    std::uint64_t largest = 0;
    for (auto const& group : job.groups)
    {
        largest = std::max<std::uint64_t>(largest,
                                          std::uint64_t{group.task_count} *
                                              group.each_task.cpu_millicores);
    }
    return largest;
}

bool contains(std::span<domain_id const> domains, domain_id domain)
{
    return std::ranges::find(domains, domain) != domains.end();
}

} // namespace

void domain_capacity::update(std::span<owner_view const> owners, time_point now)
{
    for (auto const& view : owners)
    {
        auto& record = domains_[view.domain];
        auto const reported_at = now - view.report_age;
        bool const is_successor =
            record.owner != view.instance || record.term != view.term;
        if (reported_at <= record.reported_at && !is_successor)
        {
            continue;
        }
        auto const interval = reported_at - record.reported_at;
        bool const has_trend = !is_successor && interval <= report_lifetime;
        record.trend =
            has_trend
                ? static_cast<double>(
                      (view.expected_wait - record.expected_wait).count()) /
                      static_cast<double>(interval.count())
                : 0.0;
        record.expected_wait = view.expected_wait;
        record.owner = view.instance;
        record.term = view.term;
        record.reported_at = reported_at;
        record.full = false;
        record.largest_free =
            std::max(record.largest_free, view.free_millicores);
        std::erase_if(record.offers,
                      [reported_at](sent_offer const& offer)
                      {
                          return offer.at + crossing_time < reported_at;
                      });
    }
}

void domain_capacity::offered(domain_id domain, leased_job const& job,
                              time_point now)
{
    auto& offers = domains_[domain].offers;
    std::erase_if(offers,
                  [now](sent_offer const& offer)
                  {
                      return now - offer.at > report_lifetime;
                  });
    // An offer may be repeated to a successor or over a new connection.
    ended(domain, job.id);
    offers.push_back({job.id, now, largest_demand(job), work_of(job)});
}

void domain_capacity::ended(domain_id domain, client_job_id job)
{
    auto const found = domains_.find(domain);
    if (found != domains_.end())
    {
        std::erase_if(found->second.offers,
                      [job](sent_offer const& offer)
                      {
                          return offer.job == job;
                      });
    }
}

void domain_capacity::rejected(domain_id domain, client_job_id job)
{
    ended(domain, job);
    domains_[domain].full = true;
}

domain_capacity::estimate
domain_capacity::estimate_of(owner_view const& view, leased_job const& job,
                             std::uint32_t gateways) const
{
    auto const& record = domains_.at(view.domain);
    double offered = 0.0;
    double offered_work = 0.0;
    for (auto const& offer : record.offers)
    {
        offered += static_cast<double>(offer.millicores) * gateways;
        offered_work += offer.work * gateways;
    }
    double const reported_free = record.full ? 0.0 : view.free_millicores;
    auto const demand = static_cast<double>(largest_demand(job));
    estimate result{&view, view.expected_wait,
                    std::max(reported_free - offered, 0.0)};
    double const shortage = offered + demand - reported_free;
    if (shortage <= 0.0)
    {
        return result;
    }
    // The offers for which there was no free capacity wait for it in turn.
    constexpr double longest_wait_s = 60.0;
    constexpr double microseconds = 1e6;
    double const waiting_work =
        offered_work * std::min(shortage / (offered + demand), 1.0);
    double const capacity =
        std::max({static_cast<double>(record.largest_free), demand, 1.0});
    result.wait +=
        shortage_wait +
        duration{std::llround(
            std::min(waiting_work / capacity, longest_wait_s) * microseconds)};
    return result;
}

// Nearly all offers to the own domain come from gateways that see its reports,
// so the change between two reports tells what all of them have offered.
duration domain_capacity::own_wait_of(owner_view const& view,
                                      leased_job const& job) const
{
    auto const wait =
        view.expected_wait + (view.free_millicores < largest_demand(job)
                                  ? shortage_wait
                                  : duration{});
    if (view.expected_wait == duration{})
    {
        return wait;
    }
    auto const age = std::min(view.report_age, report_lifetime);
    duration const change{std::llround(domains_.at(view.domain).trend *
                                       static_cast<double>(age.count()))};
    return std::max(wait + change, duration{});
}

bool domain_capacity::leaves(leased_job const& job, duration gain) const
{
    double const share = static_cast<double>(gain.count()) /
                         static_cast<double>(full_overflow_gain.count());
    return detail::unit_hash(leaving_seed ^ self_.value(), job.id.value()) <
           share;
}

// Weighted rendezvous hashing: the least of -log(u) / weight is at each
// candidate with a probability in proportion to its weight.
owner_view const&
domain_capacity::choose_among(std::span<estimate const> candidates,
                              leased_job const& job) const
{
    auto const shortest =
        std::ranges::min_element(candidates, {}, &estimate::wait)->wait;
    auto const demand = std::max(static_cast<double>(largest_demand(job)), 1.0);
    estimate const* best = nullptr;
    double best_score = std::numeric_limits<double>::infinity();
    for (auto const& candidate : candidates)
    {
        if (candidate.wait > shortest + overflow_margin)
        {
            continue;
        }
        auto const seed = domain_seed ^ (std::uint64_t{self_.value()} << 16U) ^
                          candidate.view->domain.value();
        double const u = detail::unit_hash(seed, job.id.value());
        double const score =
            -std::log(1.0 - u) / (candidate.free_millicores + demand);
        if (best == nullptr || score < best_score)
        {
            best = &candidate;
            best_score = score;
        }
    }
    return *best->view;
}

std::optional<owner_choice>
domain_capacity::choose(leased_job const& job,
                        std::span<owner_view const> owners,
                        std::span<domain_id const> declined, time_point now)
{
    update(owners, now);
    owner_view const* own = nullptr;
    std::vector<estimate> fresh;
    std::vector<estimate> outdated;
    for (auto const& view : owners)
    {
        if (contains(declined, view.domain))
        {
            continue;
        }
        if (view.domain == own_domain_)
        {
            own = &view;
            continue;
        }
        (view.report_age <= report_lifetime ? fresh : outdated)
            .push_back(estimate_of(view, job, gateways_));
    }
    if (own == nullptr)
    {
        auto const& candidates = fresh.empty() ? outdated : fresh;
        return candidates.empty()
                   ? std::nullopt
                   : std::optional{owner_choice{choose_among(candidates, job),
                                                "no_own_owner"}};
    }
    auto const own_wait = own_wait_of(*own, job);
    std::erase_if(fresh,
                  [own_wait](estimate const& candidate)
                  {
                      return candidate.wait + overflow_margin >= own_wait;
                  });
    if (fresh.empty())
    {
        return owner_choice{*own, "own_domain"};
    }
    auto const& chosen = choose_among(fresh, job);
    auto const found = std::ranges::find(fresh, &chosen, &estimate::view)->wait;
    auto const latest_wait = job.objective - critical_path(job.groups);
    bool const only_there_in_time =
        own_wait > latest_wait && found + overflow_margin <= latest_wait;
    bool const moves =
        only_there_in_time || leaves(job, own_wait - overflow_margin - found);
    return moves ? owner_choice{chosen, "shorter_wait"}
                 : owner_choice{*own, "own_domain"};
}

std::optional<owner_choice> domain_capacity::choose_second(
    leased_job const& job, std::span<owner_view const> owners,
    std::span<domain_id const> declined, duration elapsed, time_point now)
{
    update(owners, now);
    std::vector<estimate> candidates;
    for (auto const& view : owners)
    {
        if (contains(declined, view.domain) ||
            view.report_age > report_lifetime)
        {
            continue;
        }
        // Only the own offers certainly count, and part of the reported wait
        // may be over: a rejection by the second owner costs one message, an
        // unused capacity costs the job.
        auto const wait = std::max(
            estimate_of(view, job, 1).wait - view.report_age, duration{});
        auto const finish =
            elapsed + wait + overflow_margin + critical_path(job.groups);
        if (finish < job.objective)
        {
            candidates.push_back(estimate_of(view, job, gateways_));
        }
    }
    if (candidates.empty())
    {
        return std::nullopt;
    }
    return owner_choice{choose_among(candidates, job), "second_offer"};
}

} // namespace goldcrestgate::core
