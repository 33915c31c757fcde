#include "goldcrestgate/core/error.hpp"

#include <array>

namespace goldcrestgate::core
{

namespace
{

constexpr unsigned codes_per_area = 100;

constexpr std::array<std::string_view, 10> area_names = {
    "none",       "input",    "submission", "admission", "routing",
    "membership", "recovery", "settings",   "platform",  "io"};

std::string_view area_name(error_code code)
{
    return area_names.at(static_cast<unsigned>(code) / codes_per_area);
}

} // namespace

std::string_view error_name(error_code code)
{
    switch (code)
    {
    case error_code::malformed_json:
        return "malformed_json";
    case error_code::body_too_large:
        return "body_too_large";
    case error_code::invalid_field:
        return "invalid_field";
    case error_code::too_many_tasks:
        return "too_many_tasks";
    case error_code::invalid_utf8:
        return "invalid_utf8";
    case error_code::unknown_service:
        return "unknown_service";
    case error_code::unknown_team:
        return "unknown_team";
    case error_code::invalid_submission_id:
        return "invalid_submission_id";
    case error_code::request_timeout:
        return "request_timeout";
    case error_code::not_found:
        return "not_found";
    case error_code::malformed_request:
        return "malformed_request";
    case error_code::submission_conflict:
        return "submission_conflict";
    case error_code::submission_expired:
        return "submission_expired";
    case error_code::submission_unknown:
        return "submission_unknown";
    case error_code::task_failed:
        return "task_failed";
    case error_code::task_fate_unknown:
        return "task_fate_unknown";
    case error_code::cancelled:
        return "cancelled";
    case error_code::deadline_exceeded:
        return "deadline_exceeded";
    case error_code::deadline_unreachable:
        return "deadline_unreachable";
    case error_code::quota_exceeded:
        return "quota_exceeded";
    case error_code::instance_stopping:
        return "instance_stopping";
    case error_code::retry_budget_exhausted:
        return "retry_budget_exhausted";
    case error_code::overloaded:
        return "overloaded";
    case error_code::no_server:
        return "no_server";
    case error_code::cannot_run:
        return "cannot_run";
    case error_code::peer_unreachable:
        return "peer_unreachable";
    case error_code::peer_version_mismatch:
        return "peer_version_mismatch";
    case error_code::malformed_frame:
        return "malformed_frame";
    case error_code::frame_too_large:
        return "frame_too_large";
    case error_code::owner_unreachable:
        return "owner_unreachable";
    case error_code::owner_lost:
        return "owner_lost";
    case error_code::copy_unavailable:
        return "copy_unavailable";
    case error_code::incarnation_sealed:
        return "incarnation_sealed";
    case error_code::settings_syntax:
        return "settings_syntax";
    case error_code::settings_unknown_key:
        return "settings_unknown_key";
    case error_code::settings_duplicate_key:
        return "settings_duplicate_key";
    case error_code::settings_out_of_range:
        return "settings_out_of_range";
    case error_code::settings_conflict:
        return "settings_conflict";
    case error_code::settings_wrong_type:
        return "settings_wrong_type";
    case error_code::settings_missing_key:
        return "settings_missing_key";
    case error_code::log_unavailable:
        return "log_unavailable";
    case error_code::log_rate_exceeded:
        return "log_rate_exceeded";
    case error_code::log_records_expired:
        return "log_records_expired";
    case error_code::instance_list_unavailable:
        return "instance_list_unavailable";
    case error_code::connect_failed:
        return "connect_failed";
    case error_code::connection_lost:
        return "connection_lost";
    case error_code::io_timeout:
        return "io_timeout";
    case error_code::malformed_response:
        return "malformed_response";
    case error_code::file_unreadable:
        return "file_unreadable";
    case error_code::address_in_use:
        return "address_in_use";
    case error_code::usage:
        return "usage";
    }
    return "unnamed";
}

std::string error_id(error_code code)
{
    std::string text = "goldcrestgate.";
    text += area_name(code);
    text += '.';
    text += std::to_string(static_cast<unsigned>(code));
    return text;
}

std::string to_string(error const& failure)
{
    std::string text = "[goldcrestgate.";
    text += area_name(failure.code);
    text += '.';
    text += std::to_string(static_cast<unsigned>(failure.code));
    text += "] ";
    text += failure.step;
    text += ": ";
    text += failure.message;
    if (!failure.peer.empty())
    {
        text += " (peer ";
        text += failure.peer;
        text += ')';
    }
    return text;
}

} // namespace goldcrestgate::core
