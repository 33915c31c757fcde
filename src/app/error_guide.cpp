#include "goldcrestgate/app/error_guide.hpp"

#include <algorithm>
#include <array>

namespace goldcrestgate::app
{

namespace
{

using core::error_code;

constexpr std::array guide = std::to_array<error_advice>({
    {error_code::malformed_json, "The body is not JSON.",
     "Correct the body; the message gives the position."},
    {error_code::body_too_large, "The body exceeds callers.body_limit_bytes.",
     "Split the job, or raise the limit in the instance file."},
    {error_code::invalid_field,
     "A field is missing, has the wrong type or is out of range.",
     "Correct the field that the message names."},
    {error_code::too_many_tasks, "The job has more than 1,800 tasks.",
     "Split the job."},
    {error_code::invalid_utf8, "A text is not UTF-8.",
     "Encode the text as UTF-8; encode binary data as base64."},
    {error_code::unknown_service, "No published service has this path.",
     "Compare with `goldcrestgate services`; publish the service first."},
    {error_code::unknown_team, "No published team has this name.",
     "Compare with `goldcrestgate teams`; publish the team first."},
    {error_code::invalid_submission_id,
     "The text is not an id issued by this system.",
     "Request ids with `POST /v1/ids`."},
    {error_code::request_timeout, "The caller sent its request too slowly.",
     "Check the caller's network; see callers.request_read_timeout_ms."},
    {error_code::not_found, "There is nothing at this path.",
     "Check the path, the id and the task index."},
    {error_code::malformed_request,
     "The request is not valid HTTP for the caller API.",
     "Correct the method, path or headers that the message names."},
    {error_code::submission_conflict,
     "The id was used before with a different body.",
     "Use a new id for a new job; resubmit with the identical body."},
    {error_code::submission_expired,
     "The id's lifetime or the answer's retention has ended.",
     "Submit under a new id if the work may run again."},
    {error_code::submission_unknown,
     "No reachable instance has a record of "
     "the id.",
     "Treat the fate as unknown; the work will not start later."},
    {error_code::task_failed, "A task ran and failed on its server.",
     "Look at the task's result and at the server's own log."},
    {error_code::task_fate_unknown,
     "A server may have received the start, but no answer arrived.",
     "Find out from the service itself whether the work was done."},
    {error_code::cancelled, "The job was cancelled by request.",
     "No action is needed; to run the job after all, submit it under a new "
     "id."},
    {error_code::deadline_exceeded,
     "The deadline passed before all tasks had ended.",
     "Check the load; allow more time or submit the job as urgent."},
    {error_code::deadline_unreachable,
     "The deadline cannot be met at the present load; nothing ran.",
     "Submit later, allow more time, or add servers."},
    {error_code::overloaded,
     "Work ahead of the job would keep it waiting too long; nothing ran.",
     "Submit later, add servers, or raise max_queue_wait_ms of the service."},
    {error_code::quota_exceeded, "The team has used its quota; nothing ran.",
     "Submit later, or raise teams.NAME.max_running_tasks."},
    {error_code::instance_stopping,
     "The instance is shutting down and accepts no new work.",
     "Submit through another instance; load balancers follow /readyz."},
    {error_code::retry_budget_exhausted,
     "Attempts failed and the retry budget of the service is used up.",
     "Find the failing servers with `goldcrestgate servers`."},
    {error_code::no_server, "No live server is known in this failure domain.",
     "Check the instance list and the servers."},
    {error_code::cannot_run,
     "Several servers refused the task permanently; nothing ran.",
     "Check whether the task's needs exceed every server."},
    {error_code::peer_unreachable, "A peer does not answer.",
     "Check the peer and the network; other peers take over its role."},
    {error_code::peer_version_mismatch, "A peer uses another protocol version.",
     "Finish the upgrade of all entry instances."},
    {error_code::malformed_frame, "A peer sent bytes that are not a frame.",
     "Check that only entry instances use the peers' address."},
    {error_code::frame_too_large, "A frame between instances exceeds 16 MiB.",
     "Reduce the payloads or results of single tasks."},
    {error_code::owner_unreachable,
     "The instance that owns the submission cannot be reached.",
     "Query the job again when the failure domain is reachable; resubmitting "
     "is safe."},
    {error_code::owner_lost,
     "The owner is gone; the answer is based on the copies of its records.",
     "Tasks with the fate unknown may have run; not_run ones may be submitted "
     "under a new id."},
    {error_code::copy_unavailable,
     "No peer confirmed the record of a start in time; the task did not run.",
     "Submit again under a new id; check the peers of the failure domain."},
    {error_code::incarnation_sealed,
     "Peers declared this instance lost while it was paused.",
     "No action is needed, as the instance continues with new ids; look for "
     "the cause of the pause."},
    {error_code::settings_syntax,
     "A settings document is not JSON with comments, or is too large.",
     "Correct the line that the message names."},
    {error_code::settings_unknown_key, "A settings key does not exist.",
     "Compare with docs/settings.md."},
    {error_code::settings_duplicate_key,
     "A settings key or path is given twice.", "Remove one of the two."},
    {error_code::settings_out_of_range,
     "A settings value is outside its range.",
     "Use a value in the range that the message gives."},
    {error_code::settings_conflict,
     "A path of the publication changed after the version it is based on.",
     "Look at the change with `goldcrestgate settings get`, then publish "
     "anew."},
    {error_code::settings_wrong_type, "A settings value has the wrong type.",
     "Use the type that the message gives."},
    {error_code::settings_missing_key,
     "A required settings key is missing, or the instance has no settings "
     "yet.",
     "Add the key, or contact an instance that is ready."},
    {error_code::log_unavailable, "The platform's log service does not answer.",
     "Settings in force stay in force; publish again when the log service is "
     "available."},
    {error_code::log_rate_exceeded,
     "The log service refuses further appends for now.",
     "Publish again after a few seconds."},
    {error_code::log_records_expired,
     "The log no longer holds records that the instance needs.",
     "No action is needed if a snapshot or a peer provides the settings; "
     "otherwise check that one instance is ready."},
    {error_code::instance_list_unavailable,
     "The platform's instance list does not answer.",
     "The last list stays in use; check the platform."},
    {error_code::connect_failed, "The remote side refused the connection.",
     "Check the address and whether the process runs."},
    {error_code::connection_lost,
     "The connection ended before the answer arrived.",
     "Try again; requests with an id are safe to repeat."},
    {error_code::io_timeout, "No answer arrived in time.",
     "Try again; see --timeout-ms and the load of the remote side."},
    {error_code::malformed_response, "The answer has an unexpected form.",
     "Check that the address is that of an entry instance of the same "
     "version."},
    {error_code::file_unreadable, "A file cannot be read.",
     "Check the name and the permissions."},
    {error_code::address_in_use,
     "Another process listens on the configured address.",
     "Stop it or change the address in the instance file."},
    {error_code::usage, "The command line is invalid.",
     "Run the command with --help."},
});

} // namespace

std::span<error_advice const> error_guide()
{
    return guide;
}

error_advice const* find_advice(std::string_view name)
{
    auto const found =
        std::find_if(guide.begin(), guide.end(),
                     [name](error_advice const& advice)
                     {
                         return core::error_name(advice.code) == name;
                     });
    return found == guide.end() ? nullptr : &*found;
}

std::string describe_error_guide()
{
    std::string text = "| number | name | meaning | what to do |\n"
                       "| --- | --- | --- | --- |\n";
    for (auto const& advice : guide)
    {
        text += "| " + std::to_string(static_cast<unsigned>(advice.code));
        text += " | `";
        text += core::error_name(advice.code);
        text += "` | ";
        text += advice.meaning;
        text += " | ";
        text += advice.action;
        text += " |\n";
    }
    return text;
}

} // namespace goldcrestgate::app
