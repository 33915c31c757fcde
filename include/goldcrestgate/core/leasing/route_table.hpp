#pragma once

#include "goldcrestgate/core/leasing/leased_job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// @brief A route: where callers submit jobs and how the jobs are served.
struct job_route
{
    std::string name;
    /// The host that callers name, without a port.
    std::string host;
    /// The path up to the job's id.
    std::string path_prefix;
    std::string service;
    std::uint8_t priority = 0;
    std::uint16_t max_attempts = 1;
    /// A job is on time within its longest chain times this factor ...
    double stretch = 1.0;
    /// ... and this time more.
    duration target_latency{};
    /// Longest time of a request.
    duration timeout{};
};

/// @brief The routes of one configuration version.
struct route_table
{
    std::uint64_t version = 0;
    std::vector<job_route> routes;

    /// @brief Finds the route with the longest prefix that a path begins with.
    /// @param host may have a port, which is ignored
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] job_route const* find(std::string_view host,
                                        std::string_view path) const;
};

/// @brief Sets the times and limits that a route gives to its jobs.
/// @param caller_wait the time the caller says it waits, if it says so
/// @par Thread safety
/// Safe to call from any thread.
void apply_route(job_route const& route, std::optional<duration> caller_wait,
                 leased_job& job);

} // namespace goldcrestgate::core
