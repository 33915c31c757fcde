#include "goldcrestgate/app/entry/entry_limits.hpp"

#include "goldcrestgate/app/server_limits.hpp"

#include <algorithm>
#include <cstdint>

namespace goldcrestgate::app
{

namespace
{

/// Limits of the memory for incomplete frames of all peers, which is an eighth
/// of that of the process.
constexpr std::uint64_t frame_memory_divisor = 8;
constexpr std::uint64_t min_frame_memory_bytes = 2 * peer_write_limit_bytes;
constexpr std::uint64_t max_frame_memory_bytes = 32 * peer_write_limit_bytes;

} // namespace

std::size_t partial_frame_limit(entry_settings const& settings,
                                process_resources const& resources)
{
    return std::clamp(memory_bytes(settings.memory_mb, resources) /
                          frame_memory_divisor,
                      min_frame_memory_bytes, max_frame_memory_bytes);
}

std::size_t job_memory_limit(entry_settings const& settings,
                             process_resources const& resources)
{
    return job_memory_limit(settings.job_memory_bytes,
                            memory_bytes(settings.memory_mb, resources));
}

io::http_server_options
caller_server_options(entry_settings const& settings,
                      process_resources const& resources)
{
    core::request_limits times;
    times.request_timeout = settings.request_timeout;
    times.response_timeout = settings.request_timeout;
    times.least_body_rate_bytes_per_s = settings.least_body_rate_bytes_per_s;
    return caller_server_options(
        caller_server_settings{
            .memory_mb = settings.memory_mb,
            .body_limit_bytes = settings.body_limit_bytes,
            .connection_limit = settings.caller_connection_limit,
            .open_request_budget_bytes = settings.open_request_budget_bytes,
            .times = times},
        resources);
}

} // namespace goldcrestgate::app
