#pragma once

#include "goldcrestgate/app/request_removals.hpp"
#include "goldcrestgate/core/leasing/job_gateway.hpp"
#include "goldcrestgate/core/leasing/job_scheduler.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestgate::app
{

/// @brief Values that the instance collects when its metrics are requested.
struct entry_stats
{
    bool ready = false;
    bool owner = false;
    std::uint64_t configuration_version = 0;
    /// Time since the version was the newest one in the store; empty if it was
    /// never confirmed.
    std::optional<core::duration> configuration_age;
    std::size_t caller_connections = 0;
    /// Bytes of caller requests that are not answered.
    std::size_t open_request_bytes = 0;
    removal_counts request_removals{};
    std::size_t peer_connections = 0;
    std::size_t open_jobs = 0;
    /// Memory of the open jobs, and of the jobs as an owner.
    std::size_t open_job_bytes = 0;
    std::size_t owned_job_bytes = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t log_lines_dropped = 0;
};

/// @brief Collects the metrics of an entry instance and renders them in the
/// Prometheus text format.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class entry_metrics
{
public:
    entry_metrics();
    ~entry_metrics();
    entry_metrics(entry_metrics const&) = delete;
    entry_metrics& operator=(entry_metrics const&) = delete;

    /// @brief Counts the answer to a job and records its response time.
    void count_answer(core::answer_job const& answer, std::uint16_t status);

    /// @brief Counts a request that was refused before it became a job.
    void count_refused_request(std::uint16_t status);

    /// @brief Counts a scheduling decision by its event and reason.
    void count_decision(core::scheduler_log_event const& log_event);

    /// @brief Counts an offer to an owner by the reason of its choice, as a
    /// decision with the event `job_offered`.
    void count_offer(core::send_offer const& offer);

    /// @brief Counts an order to an executor by its outcome.
    void count_order_outcome(std::string_view order,
                             core::order_outcome outcome);

    /// @brief Returns all metrics as text.
    [[nodiscard]] std::string render(core::scheduler_load const& load,
                                     entry_stats const& instance_stats) const;

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace goldcrestgate::app
