#include "goldcrestgate/app/server_limits.hpp"

#include <algorithm>

namespace goldcrestgate::app
{

namespace
{

constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t bytes_per_mb = kibibyte * kibibyte;

/// The remaining memory holds jobs, messages, and the state of connections.
constexpr std::uint64_t budget_divisor = 4;

constexpr std::uint64_t job_memory_divisor = 8;
constexpr std::uint64_t max_default_job_memory = 256 * bytes_per_mb;

/// Headers of 16 KiB, and input that is read together with the end of a body.
constexpr std::uint64_t request_overhead_bytes = 64 * kibibyte;

/// Descriptors that the platform reserves for files.
constexpr std::uint64_t file_descriptors = 200;

constexpr std::uint64_t min_connections = 16;

/// The kernel doubles the value. The largest one is enough for 200 Mbit/s at a
/// round trip of 2 ms.
constexpr std::uint64_t min_receive_buffer_bytes = 16 * kibibyte;
constexpr std::uint64_t max_receive_buffer_bytes = 64 * kibibyte;

/// A request for readiness or metrics has no body.
constexpr std::uint64_t monitoring_body_bytes = kibibyte;

/// Of the other descriptors, three tenths are for peers, executors and
/// connections that are being closed: the smallest limit of 3,075 leaves 2,013
/// for callers and 862 for 40 peers and the executors of a failure domain.
std::uint64_t connection_limit(std::uint64_t setting,
                               std::uint64_t descriptor_limit)
{
    auto const usable =
        descriptor_limit - std::min(descriptor_limit, file_descriptors);
    return std::min(setting, std::max(usable / 10 * 7, min_connections));
}

int receive_buffer_bytes(std::uint64_t budget, std::uint64_t connections)
{
    return static_cast<int>(std::clamp(budget / connections,
                                       min_receive_buffer_bytes,
                                       max_receive_buffer_bytes));
}

} // namespace

std::uint64_t memory_bytes(std::uint64_t memory_mb,
                           process_resources const& resources)
{
    return memory_mb == 0 ? resources.memory_bytes : memory_mb * bytes_per_mb;
}

std::size_t job_memory_limit(std::uint64_t setting, std::uint64_t memory_bytes)
{
    return setting == 0 ? std::min(memory_bytes / job_memory_divisor,
                                   max_default_job_memory)
                        : setting;
}

io::http_server_options
caller_server_options(caller_server_settings const& settings,
                      process_resources const& resources)
{
    auto const connections =
        connection_limit(settings.connection_limit, resources.descriptor_limit);
    auto limits = settings.times;
    // A job of 4,000 bytes and its headers are a small request, so that all
    // connections together can have one open.
    auto const needed = connections * limits.small_request_bytes;
    auto const budget =
        settings.open_request_budget_bytes == 0
            ? std::min(needed, memory_bytes(settings.memory_mb, resources) /
                                   budget_divisor)
            : settings.open_request_budget_bytes;
    limits.budget_bytes =
        std::max(budget, settings.body_limit_bytes + request_overhead_bytes);
    return {.max_body_bytes = settings.body_limit_bytes,
            .max_connections = connections,
            .limits = limits,
            .receive_buffer_bytes =
                receive_buffer_bytes(limits.budget_bytes, connections)};
}

io::http_server_options
monitoring_server_options(std::uint32_t connection_limit)
{
    core::request_limits limits;
    limits.budget_bytes = connection_limit * limits.small_request_bytes;
    return {.max_body_bytes = monitoring_body_bytes,
            .max_connections = connection_limit,
            .limits = limits,
            .receive_buffer_bytes =
                receive_buffer_bytes(limits.budget_bytes, connection_limit)};
}

} // namespace goldcrestgate::app
