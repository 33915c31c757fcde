#include "goldcrestgate/core/leasing/route_table.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestgate::core
{

job_route const* route_table::find(std::string_view host,
                                   std::string_view path) const
{
    host = host.substr(0, host.find(':'));
    job_route const* best = nullptr;
    for (auto const& route : routes)
    {
        bool const matches =
            route.host == host && path.starts_with(route.path_prefix);
        if (matches && (best == nullptr ||
                        route.path_prefix.size() > best->path_prefix.size()))
        {
            best = &route;
        }
    }
    return best;
}

bool route_table::names_service(std::string_view service) const
{
    return version == 0 ||
           std::ranges::find(services, service) != services.end() ||
           std::ranges::find(routes, service, &job_route::service) !=
               routes.end();
}

void apply_route(job_route const& route, std::optional<duration> caller_wait,
                 leased_job& job)
{
    job.route = route.name;
    job.service = route.service;
    job.priority = route.priority;
    job.max_attempts = std::max<std::uint16_t>(route.max_attempts, 1);
    auto const chain = critical_path(job.groups);
    job.objective = duration{std::llround(static_cast<double>(chain.count()) *
                                          std::max(route.stretch, 1.0))} +
                    route.target_latency;
    job.time_limit = route.timeout;
    if (caller_wait &&
        (*caller_wait < job.time_limit || job.time_limit <= duration{}))
    {
        job.time_limit = *caller_wait;
    }
    job.objective = std::min(job.objective, job.time_limit);
}

} // namespace goldcrestgate::core
