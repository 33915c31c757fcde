#include "goldcrestgate/app/request_removals.hpp"

namespace goldcrestgate::app
{

namespace
{

constexpr core::duration log_interval = std::chrono::seconds{1};

} // namespace

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
