#pragma once

#include "goldcrestgate/app/request_removals.hpp"
#include "goldcrestgate/core/dispatcher.hpp"
#include "goldcrestgate/core/events.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace goldcrestgate::app
{

/// @brief Metrics of the process that the dispatcher does not count.
struct process_stats
{
    bool ready = false;
    std::size_t caller_connections = 0;
    /// Bytes of caller requests that are not answered.
    std::size_t open_request_bytes = 0;
    removal_counts request_removals{};
    std::size_t peer_connections = 0;
    std::uint64_t log_lines_dropped = 0;
    std::uint64_t settings_version = 0;
};

/// @brief Collects durations and counts and renders them in the Prometheus text
/// format.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// @brief Counts the end of an attempt.
    /// @param elapsed time from sending the task to its result
    void attempt_ended(core::duration elapsed,
                       core::attempt_ended const& attempt);

    /// @brief Counts a response to a caller.
    /// @param elapsed time from the request to the response
    void caller_answered(core::duration elapsed, std::uint16_t status);

    /// @brief Renders all metrics in the Prometheus text format.
    [[nodiscard]] std::string render(core::dispatcher_counts const& counts,
                                     process_stats const& process) const;

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace goldcrestgate::app
