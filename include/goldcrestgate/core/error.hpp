#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestgate::core
{

/// @brief The stable numbers of all errors; the hundreds digit is the area.
///
/// The numbers and the names returned by @ref error_name are part of the public
/// interface: logs, answers and docs/OPERATIONS.md use them.
enum class error_code : std::uint16_t
{
    // input
    malformed_json = 101,
    body_too_large = 102,
    invalid_field = 103,
    too_many_tasks = 104,
    invalid_utf8 = 105,
    unknown_service = 106,
    unknown_team = 107,
    invalid_submission_id = 108,
    request_timeout = 109,
    not_found = 110,
    malformed_request = 111,
    // submission
    submission_conflict = 201,
    submission_expired = 202,
    submission_unknown = 203,
    task_failed = 204,
    task_fate_unknown = 205,
    cancelled = 206,
    deadline_exceeded = 207,
    // admission
    deadline_unreachable = 301,
    quota_exceeded = 302,
    instance_stopping = 303,
    retry_budget_exhausted = 304,
    overloaded = 305,
    // routing
    no_server = 401,
    cannot_run = 402,
    // membership and peers
    peer_unreachable = 501,
    peer_version_mismatch = 502,
    malformed_frame = 503,
    frame_too_large = 504,
    // recovery
    owner_unreachable = 601,
    owner_lost = 602,
    copy_unavailable = 603,
    incarnation_sealed = 604,
    // settings
    settings_syntax = 701,
    settings_unknown_key = 702,
    settings_duplicate_key = 703,
    settings_out_of_range = 704,
    settings_conflict = 705,
    settings_wrong_type = 706,
    settings_missing_key = 707,
    // platform
    log_unavailable = 801,
    log_rate_exceeded = 802,
    log_records_expired = 803,
    instance_list_unavailable = 804,
    // input/output and application
    connect_failed = 901,
    connection_lost = 902,
    io_timeout = 903,
    malformed_response = 904,
    file_unreadable = 905,
    address_in_use = 906,
    usage = 907,
};

/// @brief Returns the stable snake_case name of an error.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string_view error_name(error_code code);

/// @brief Returns the numbered id `goldcrestgate.<area>.<number>` of an error.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string error_id(error_code code);

/// @brief An error with the step and the peer at which it occurred.
struct error
{
    error_code code{};
    /// The operation that failed, for example `append to log stream settings`.
    std::string step;
    /// The address or id of the other side; empty if there is none.
    std::string peer;
    /// The cause, as a sentence without a full stop.
    std::string message;
};

/// @brief Formats an error as
/// `[goldcrestgate.<area>.<number>] <step>: <message> (peer <peer>)`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string to_string(error const& failure);

} // namespace goldcrestgate::core
