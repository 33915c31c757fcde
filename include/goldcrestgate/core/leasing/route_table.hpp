#pragma once

#include "goldcrestgate/core/leasing/leased_job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Route by host and path prefix, with the service and the limits of its
/// jobs.
struct job_route
{
    std::string name;
    /// Host in the request, without a port.
    std::string host;
    /// Path before the job's id.
    std::string path_prefix;
    std::string service;
    std::uint8_t priority = 0;
    std::uint16_t max_attempts = 1;
    /// Factor applied to the critical path's run time to get the objective.
    double stretch = 1.0;
    /// Time added to that product.
    duration target_latency{};
    /// Maximum time of a request.
    duration timeout{};
};

/// @brief The routes of one configuration version.
struct route_table
{
    std::uint64_t version = 0;
    std::vector<job_route> routes;
    /// Names of the services, also of those without a route.
    std::vector<std::string> services;

    /// @brief Returns the route of the host with the longest matching path
    /// prefix, or null.
    /// @param host may have a port, which is ignored
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] job_route const* find(std::string_view host,
                                        std::string_view path) const;

    /// @brief Returns whether the configuration names a service. Without a
    /// configuration (version 0) each service counts as named.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] bool names_service(std::string_view service) const;
};

/// @brief Sets the service, priority, attempts and time limits of a job from
/// its route.
/// @param caller_wait the caller's wait time, if given in the request
/// @par Thread safety
/// Safe to call from any thread.
void apply_route(job_route const& route, std::optional<duration> caller_wait,
                 leased_job& job);

} // namespace goldcrestgate::core
