#pragma once

#include "goldcrestgate/app/log.hpp"
#include "goldcrestgate/core/admission/request_budget.hpp"
#include "goldcrestgate/io/event_loop.hpp"
#include "goldcrestgate/io/http_server.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace goldcrestgate::app
{

/// Counts by @ref core::removal_reason.
using removal_counts = std::array<std::uint64_t, core::removal_reasons.size()>;

/// @brief Appends the counts as a metric.
/// @par Thread safety
/// Safe to call from any thread.
void append_removals(std::string& out, removal_counts const& counts);

/// @brief Counts closed connections and rejected requests of callers and logs
/// them: at most one line a second for each reason, so that a flood of clients
/// does not fill the log queue.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class request_removals
{
public:
    /// @pre the references outlive this object
    request_removals(io::event_loop& loop, io::http_server& server,
                     logger& log);

    [[nodiscard]] removal_counts const& totals() const
    {
        return totals_;
    }

private:
    void count(core::removal_reason reason);
    void write_lines();

    io::http_server& server_;
    logger& log_;
    removal_counts totals_{};
    removal_counts logged_{};
    io::timer log_timer_;
};

} // namespace goldcrestgate::app
