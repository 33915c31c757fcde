#pragma once

#include "goldcrestgate/app/detail/settings_table.hpp"
#include "goldcrestgate/app/log_level.hpp"
#include "goldcrestgate/core/result.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestgate::app
{

/// @brief The settings of an entry instance on a platform of leased executors.
///
/// The default values are in the schema, not in the initializers of the
/// members.
struct entry_settings
{
    // identity and failure domain
    std::string name;
    std::string failure_domain;
    /// Names of all failure domains, separated by commas.
    std::string failure_domains;
    /// Processor cores of the instance; the largest instance of a failure
    /// domain is preferred as the owner of its executors.
    double cpu_share = 0;
    /// Memory of the process; 0 means what the machine and its limits allow.
    std::uint64_t memory_mb = 0;

    // addresses, `IP:port`
    std::string callers_address;
    std::string readiness_address;
    std::string peers_address;
    std::string metrics_address;
    /// Connections to each of the listeners for readiness and metrics.
    std::uint32_t monitoring_connection_limit = 0;
    std::string store_address;
    /// Time within which a published configuration has to be in force.
    core::duration configuration_age_limit{};
    /// Peer addresses to connect to at startup, separated by commas.
    std::string seed_addresses;

    // executors
    core::duration longest_lease{};
    core::duration stop_time{};
    /// Factor by which a task takes longer outside the rack of its data.
    double remote_rack_factor = 0;
    /// Largest response of an executor to an order or a poll.
    std::uint64_t response_limit_bytes = 0;
    /// Largest number of reservations of executor capacity.
    std::uint32_t reservations = 0;

    // callers
    core::duration resubmission_delay{};
    std::uint64_t body_limit_bytes = 0;
    std::uint32_t caller_connection_limit = 0;
    std::uint64_t open_request_budget_bytes = 0;
    std::uint64_t job_memory_bytes = 0;
    core::duration request_timeout{};
    std::uint32_t least_body_rate_bytes_per_s = 0;
    core::duration stop_grace{};

    // scheduling while capacity is insufficient
    /// Share of a priority class divided by that of the next lower one.
    double class_weight_ratio = 0;
    /// Whether waiting jobs are served by class and share.
    bool fair_shares = false;
    /// Whether running tasks are stopped for tasks of a higher class.
    bool preemption = false;

    // logs
    app::log_level log_level = log_level::info;
    std::uint32_t log_queue_limit_lines = 0;
};

using entry_settings_check = settings_check<entry_settings>;

/// @brief Checks the text of a settings file and reports all faults at once.
/// @param text JSON with comments, in UTF-8
/// @param file the file name to report in faults
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] entry_settings_check check_entry_settings(std::string_view text,
                                                        std::string_view file);

/// @brief Reads and checks a settings file.
/// @return the outcome of the check; an error of code `file_unreadable` if the
/// file cannot be read
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] core::result<entry_settings_check>
read_entry_settings(std::string const& file);

/// @brief Returns the schema of the settings file as Markdown.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string describe_entry_settings();

} // namespace goldcrestgate::app
