#include "goldcrestgate/app/entry/request_removals.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace goldcrestgate::app
{

namespace
{

constexpr core::duration log_interval = std::chrono::seconds{1};

constexpr std::uint64_t bytes_per_mb = std::uint64_t{1024} * 1024;

/// The remaining memory holds jobs, messages, and the state of connections.
constexpr std::uint64_t budget_divisor = 4;

/// Headers of 16 KiB, and input that is read together with the end of a body.
constexpr std::uint64_t request_overhead_bytes = std::uint64_t{64} * 1024;

/// Descriptors that the platform reserves for files.
constexpr std::uint64_t file_descriptors = 200;

constexpr std::uint64_t min_connections = 16;

/// The kernel doubles the value. The largest one is enough for 200 Mbit/s at a
/// round trip of 2 ms.
constexpr std::uint64_t min_receive_buffer_bytes = std::uint64_t{16} * 1024;
constexpr std::uint64_t max_receive_buffer_bytes = std::uint64_t{64} * 1024;

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

} // namespace

process_resources read_resources()
{
    rlimit descriptors{};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    return {static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) *
                static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)),
            descriptors.rlim_cur};
}

io::http_server_options
caller_server_options(entry_settings const& settings,
                      process_resources const& resources)
{
    auto const memory = settings.memory_mb == 0
                            ? resources.memory_bytes
                            : settings.memory_mb * bytes_per_mb;
    auto const budget = settings.open_request_budget_bytes == 0
                            ? memory / budget_divisor
                            : settings.open_request_budget_bytes;
    auto const connections = connection_limit(settings.caller_connection_limit,
                                              resources.descriptor_limit);
    core::request_limits limits;
    limits.budget_bytes =
        std::max(budget, settings.body_limit_bytes + request_overhead_bytes);
    limits.request_timeout = settings.request_timeout;
    limits.least_body_rate_bytes_per_s = settings.least_body_rate_bytes_per_s;
    return {.max_body_bytes = settings.body_limit_bytes,
            .max_connections = connections,
            .limits = limits,
            .receive_buffer_bytes = static_cast<int>(std::clamp(
                limits.budget_bytes / connections, min_receive_buffer_bytes,
                max_receive_buffer_bytes))};
}

void append_removals(std::string& out, removal_counts const& counts)
{
    out += "# TYPE goldcrestgate_request_removals_total counter\n";
    for (auto const reason : core::removal_reasons)
    {
        out += "goldcrestgate_request_removals_total{reason=\"" +
               std::string{to_string(reason)} + "\"} " +
               std::to_string(counts.at(static_cast<std::size_t>(reason))) +
               '\n';
    }
}

request_removals::request_removals(io::event_loop& loop,
                                   io::http_server& server, logger& log)
    : server_(server)
    , log_(log)
    , log_timer_(loop,
                 [this]
                 {
                     write_lines();
                 })
{
    server.on_removal(
        [this](core::removal_reason reason)
        {
            count(reason);
        });
}

void request_removals::count(core::removal_reason reason)
{
    ++totals_.at(static_cast<std::size_t>(reason));
    // The end of the idle time is no fault.
    if (reason == core::removal_reason::idle)
    {
        return;
    }
    if (!log_timer_.running())
    {
        write_lines();
    }
}

void request_removals::write_lines()
{
    bool has_written = false;
    for (auto const reason : core::removal_reasons)
    {
        auto const index = static_cast<std::size_t>(reason);
        auto const count = totals_.at(index) - logged_.at(index);
        logged_.at(index) = totals_.at(index);
        if (count == 0 || reason == core::removal_reason::idle)
        {
            continue;
        }
        has_written = true;
        log_.write(log_line{log_level::warning, "requests_removed"}
                       .text("reason", to_string(reason))
                       .number("count", static_cast<std::int64_t>(count))
                       .number("connections", static_cast<std::int64_t>(
                                                  server_.connection_count()))
                       .number("open_request_bytes",
                               static_cast<std::int64_t>(
                                   server_.open_request_bytes())));
    }
    if (has_written)
    {
        log_timer_.start_after(log_interval);
    }
}

} // namespace goldcrestgate::app
