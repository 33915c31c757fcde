#include "goldcrestgate/core/leasing/fair_order.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace goldcrestgate::core
{

namespace
{

/// Jobs of a higher tier are served first: a late job gains nothing from
/// capacity that a job which can still be on time needs, and a late job that
/// has not started is worth less than the work of one that has.
enum class tier : std::uint8_t
{
    on_time,
    late_started,
    late
};

tier tier_of(serving_class urgency)
{
    switch (urgency)
    {
    case serving_class::needs_fast_executor:
    case serving_class::on_time:
        return tier::on_time;
    case serving_class::late_started:
        return tier::late_started;
    case serving_class::late:
        break;
    }
    return tier::late;
}

/// A waiting job with the virtual start time of the level that was ordered
/// last.
struct entry
{
    fair_job const* job = nullptr;
    tier urgency = tier::late;
    double start = 0.0;
    /// Place in the order of classes and positions.
    std::size_t rank = 0;
    std::size_t class_index = 0;
    std::size_t route_index = 0;
    std::size_t domain_index = 0;
};

// The rank breaks ties in favour of the earlier position, so that the result
// is defined without a stable sort.
void sort_by_start(std::vector<entry>& entries)
{
    std::ranges::sort(entries,
                      [](entry const& left, entry const& right)
                      {
                          if (left.urgency != right.urgency)
                          {
                              return left.urgency < right.urgency;
                          }
                          if (left.start != right.start)
                          {
                              return left.start < right.start;
                          }
                          return left.rank < right.rank;
                      });
}

/// Sorts by class and position, and numbers the entries in this order.
void set_ranks(std::vector<entry>& entries)
{
    auto const key = [](entry const& item)
    {
        return std::tuple{item.job->priority, item.job->position, item.job};
    };
    std::ranges::sort(entries, {}, key);
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        entries[i].rank = i;
    }
}

/// Gives each entry its virtual start time within its share, which the entries
/// before it advance.
template <typename Index, typename Cost>
void set_starts(std::vector<entry>& entries, std::vector<double>& next,
                Index index, Cost cost)
{
    for (auto& item : entries)
    {
        item.start = next[item.*index];
        next[item.*index] += item.job->work * cost(*item.job);
    }
}

/// Returns the index of a key in the order of first use.
template <typename Key>
std::size_t index_of(std::map<Key, std::size_t>& indices, Key const& key)
{
    return indices.try_emplace(key, indices.size()).first->second;
}

} // namespace

fair_order::fair_order(double class_weight_ratio)
    : class_weight_ratio_(class_weight_ratio)
{
}

double fair_order::class_cost(std::uint8_t priority) const
{
    return std::min(std::pow(class_weight_ratio_, priority),
                    1.0 / min_class_weight);
}

// The order within a share does not depend on the other shares, so the levels
// are ordered from the domains up: each pass lines up the jobs of a share by
// the virtual times of its children.
std::vector<std::size_t>
fair_order::order(std::span<fair_job const> waiting) const
{
    std::map<std::uint8_t, std::size_t> class_indices;
    std::map<std::pair<std::uint8_t, std::string_view>, std::size_t>
        route_indices;
    std::map<std::tuple<std::uint8_t, std::string_view, domain_id>, std::size_t>
        domain_indices;
    std::vector<double> class_starts;
    std::vector<double> route_starts;
    std::vector<double> domain_starts;
    auto const begin_at = [](auto const& shares, auto const& key, double now)
    {
        auto const found = shares.find(key);
        return found == shares.end() ? now
                                     : std::max(found->second.started, now);
    };
    auto const now_of = [](auto const& shares, auto const& key)
    {
        auto const found = shares.find(key);
        return found == shares.end() ? 0.0 : found->second.now;
    };
    std::vector<entry> entries;
    entries.reserve(waiting.size());
    for (auto const& job : waiting)
    {
        entry item{&job, tier_of(job.position.urgency), 0.0, 0, 0, 0, 0};
        item.class_index = index_of(class_indices, job.priority);
        item.route_index = index_of(route_indices, {job.priority, job.route});
        item.domain_index = index_of(
            domain_indices, {job.priority, job.route, job.origin_domain});
        if (item.class_index == class_starts.size())
        {
            class_starts.push_back(begin_at(classes_, job.priority, now_));
        }
        if (item.domain_index == domain_starts.size())
        {
            route_key const route{job.priority, std::string{job.route}};
            if (item.route_index == route_starts.size())
            {
                route_starts.push_back(
                    begin_at(routes_, route, now_of(classes_, job.priority)));
            }
            domain_starts.push_back(
                begin_at(domains_, domain_key{route, job.origin_domain},
                         now_of(routes_, route)));
        }
        entries.push_back(item);
    }
    auto const equal_weight = [](fair_job const&)
    {
        return 1.0;
    };
    auto const by_class = [this](fair_job const& job)
    {
        return class_cost(job.priority);
    };
    set_ranks(entries);
    sort_by_start(entries);
    set_starts(entries, domain_starts, &entry::domain_index, equal_weight);
    sort_by_start(entries);
    set_starts(entries, route_starts, &entry::route_index, equal_weight);
    sort_by_start(entries);
    set_starts(entries, class_starts, &entry::class_index, by_class);
    sort_by_start(entries);
    std::vector<std::size_t> result;
    result.reserve(entries.size());
    for (auto const& item : entries)
    {
        result.push_back(static_cast<std::size_t>(item.job - waiting.data()));
    }
    return result;
}

void fair_order::add_started(fair_job const& job, double work)
{
    auto const advance = [work](share& of, double& now, double cost)
    {
        of.started = std::max(now, of.started);
        if (work > 0.0)
        {
            now = of.started;
        }
        of.started += work * cost;
    };
    route_key const route{job.priority, std::string{job.route}};
    auto& class_share = classes_[job.priority];
    auto& route_share = routes_[route];
    auto& domain_share = domains_[{route, job.origin_domain}];
    advance(class_share, now_, class_cost(job.priority));
    advance(route_share, class_share.now, 1.0);
    advance(domain_share, route_share.now, 1.0);
}

} // namespace goldcrestgate::core
