#pragma once

#include "goldcrestgate/app/detail/settings_table.hpp"
#include "goldcrestgate/app/log_level.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/result.hpp"
#include "goldcrestgate/core/settings/fault.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::app
{

/// @brief The settings of one process, read from its own file.
///
/// The members of a default-constructed object are zero; the defaults are in
/// the schema, see @ref default_instance_settings.
struct instance_settings
{
    // identity and location
    core::instance_id id;
    core::domain_id failure_domain;
    std::string rack;
    /// Memory of the process; 0 means what the machine and its limits allow.
    std::uint64_t memory_mb = 0;

    // addresses, `IP:port`
    std::string callers_address;
    std::string peers_address;
    std::string platform_address;

    // callers
    std::uint64_t body_limit_bytes = 0;
    std::uint32_t caller_connection_limit = 0;
    std::uint64_t open_request_budget_bytes = 0;
    core::duration request_read_timeout{};
    core::duration default_wait{};
    core::duration maximum_wait{};

    // submissions
    core::duration id_lifetime{};
    core::duration answer_retention{};
    core::duration copy_wait{};
    std::uint32_t copy_peers = 0;
    core::duration stop_limit{};

    // membership
    core::duration peer_connect_timeout{};

    // backend servers
    std::uint32_t connections_for_each_server = 0;
    core::duration server_connect_timeout{};

    // platform
    core::duration platform_timeout{};
    core::duration instance_list_interval{};
    core::duration log_wait{};
    core::duration snapshot_interval{};
    std::uint32_t snapshot_record_limit = 0;

    // logs
    app::log_level log_level = log_level::info;
    double decision_sample_ratio = 0;
    std::uint32_t log_queue_limit_lines = 0;
};

using instance_settings_check = settings_check<instance_settings>;

/// @brief Returns the settings of a file without any optional key.
///
/// The required keys (id, failure domain and addresses) are empty.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] instance_settings default_instance_settings();

/// @brief Checks the text of a settings file and reports all faults at once.
/// @param text JSON with comments, in UTF-8
/// @param file the file name to report in faults
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] instance_settings_check
check_instance_settings(std::string_view text, std::string_view file);

/// @brief Reads and checks a settings file.
/// @return the outcome of the check, or an error of code `file_unreadable`
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] core::result<instance_settings_check>
read_instance_settings(std::string const& file);

/// @brief Formats the schema of the settings file as Markdown, for
/// `--describe-settings` and docs/settings.md.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string describe_instance_settings();

} // namespace goldcrestgate::app
