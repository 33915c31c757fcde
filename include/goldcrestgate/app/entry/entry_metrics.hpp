#pragma once

#include "goldcrestgate/core/leasing/job_gateway.hpp"
#include "goldcrestgate/core/leasing/job_scheduler.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace goldcrestgate::app
{

/// @brief Figures that only the instance knows.
struct entry_figures
{
    bool ready = false;
    bool owner = false;
    std::uint64_t configuration_version = 0;
    std::size_t caller_connections = 0;
    std::size_t peer_connections = 0;
    std::size_t open_jobs = 0;
    std::uint64_t store_calls = 0;
    std::uint64_t log_lines_dropped = 0;
};

/// @brief Collects counts and times of an entry instance and writes them as
/// Prometheus text.
///
/// @par Thread safety
/// Not safe; all members are for the thread of the loop.
class entry_metrics
{
public:
    entry_metrics();
    ~entry_metrics();
    entry_metrics(entry_metrics const&) = delete;
    entry_metrics& operator=(entry_metrics const&) = delete;

    /// @brief Counts the answer to a caller.
    void answered(core::answer_job const& answer, std::uint16_t status);

    /// @brief Counts a request that was refused before it became a job.
    void refused(std::uint16_t status);

    /// @brief Counts a decision of the scheduler by its event and reason.
    void decided(core::scheduler_log_event const& note);

    /// @brief Counts an order by its answer.
    void order_answered(std::string_view order, core::order_outcome outcome);

    /// @brief Writes all metrics.
    [[nodiscard]] std::string render(core::scheduler_load const& load,
                                     entry_figures const& figures) const;

private:
    struct state;

    std::unique_ptr<state> state_;
};

} // namespace goldcrestgate::app
