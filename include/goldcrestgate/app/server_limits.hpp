#pragma once

#include "goldcrestgate/app/process_resources.hpp"
#include "goldcrestgate/core/admission/request_budget.hpp"
#include "goldcrestgate/io/http_server.hpp"

#include <cstdint>

namespace goldcrestgate::app
{

/// @brief Settings of the server for callers.
struct caller_server_settings
{
    /// Memory of the process; 0 means what @ref read_resources returns.
    std::uint64_t memory_mb = 0;
    std::uint64_t body_limit_bytes = 0;
    std::uint64_t connection_limit = 0;
    /// Memory for open requests; 0 means that callers within the limits need at
    /// most, but no more than a quarter of the memory.
    std::uint64_t open_request_budget_bytes = 0;
    /// The times and the rate; the budget is replaced.
    core::request_limits times{};
};

/// @brief Returns the memory of the process in bytes.
/// @param memory_mb the setting; 0 means that of the resources
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::uint64_t memory_bytes(std::uint64_t memory_mb,
                                         process_resources const& resources);

/// @brief Returns the memory for the jobs of callers, and for those of an
/// owner.
/// @param setting the setting in bytes; 0 means a part of the memory
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::size_t job_memory_limit(std::uint64_t setting,
                                           std::uint64_t memory_bytes);

/// @brief Returns the limits of the server for callers.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] io::http_server_options
caller_server_options(caller_server_settings const& settings,
                      process_resources const& resources);

/// @brief Returns the limits of a server that only the platform and operators
/// read from. It accepts no bodies to speak of.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] io::http_server_options
monitoring_server_options(std::uint32_t connection_limit);

} // namespace goldcrestgate::app
