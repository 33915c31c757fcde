#pragma once

#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/recovery/fate.hpp"
#include "goldcrestgate/core/submission/job.hpp"
#include "goldcrestgate/core/task.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace goldcrestgate::core
{

/// @brief The HTTP status and the JSON body of an answer to a caller.
struct caller_answer
{
    std::uint16_t status = 0;
    std::string body;
};

/// @brief Appends a text as a quoted and escaped JSON string.
/// @pre @a text is UTF-8
/// @par Thread safety
/// Safe to call from any thread.
void append_json_string(std::string& out, std::string_view text);

/// @brief Returns whether a text is well-formed UTF-8.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] bool is_utf8(std::string_view text);

/// @brief Formats the answer to a request for new ids.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] caller_answer format_ids(std::span<submission_id const> ids);

/// @brief Formats the answer for a job that has not ended.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] caller_answer format_running();

/// @brief Formats the final answer of a job, with all results if it is `done`
/// and with the fates only otherwise.
/// @pre the job is final
/// @par Thread safety
/// Safe for concurrent readers of @a ended.
[[nodiscard]] caller_answer format_final(job const& ended);

/// @brief Formats the fate of a job whose owner is lost, as derived from a
/// copy.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] caller_answer format_fate(job_fate const& fate);

/// @brief Formats an error with the fate of the request.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] caller_answer
format_error(error_code code, std::string_view message, task_fate fate);

/// @brief Formats the error of an instance that has no settings yet.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] caller_answer format_no_settings();

/// @brief Returns the HTTP status that belongs to an error.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::uint16_t http_status(error_code code);

} // namespace goldcrestgate::core
