#pragma once

#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/core/job_request.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace goldcrestgate::core
{

/// Maximum number of tasks of one job.
inline constexpr std::size_t job_task_limit = 1800;

/// Maximum deadline and run time in a submission.
inline constexpr duration job_time_limit = std::chrono::hours{24};

/// @brief Returns the 64-bit FNV-1a hash of a body as received.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::uint64_t hash_body(std::string_view body);

/// @brief Parses and validates the body of a submission.
///
/// Unknown and repeated keys, values of another type, and times that are not
/// whole milliseconds from 1 to @ref job_time_limit are rejected. Whether the
/// service and the team exist is not checked.
/// @param body untrusted JSON text
/// @return the job, with a copy of the body; or an error of code
/// `malformed_json`, `invalid_utf8`, `invalid_field` or `too_many_tasks`
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::variant<job_request, error>
parse_job_body(std::string_view body);

} // namespace goldcrestgate::core
