#pragma once

#include "goldcrestgate/app/log.hpp"
#include "goldcrestgate/core/leasing/job_gateway.hpp"
#include "goldcrestgate/core/leasing/job_scheduler.hpp"

#include <functional>
#include <string_view>

namespace goldcrestgate::app
{

/// Returns the name of an executor, or an empty text if it is unknown.
using executor_name_lookup = std::function<std::string_view(core::executor_id)>;

/// @brief Formats an instance's id as the IPv4 address that it represents.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string format_instance(core::instance_id id);

/// @brief Returns the log line of a scheduling decision.
/// @par Thread safety
/// Safe to call from any thread, if @a name_of is.
[[nodiscard]] log_line to_log_line(core::scheduler_log_event const& log_event,
                                   executor_name_lookup const& name_of);

/// @brief Returns the log line of an executor that was listed or has changed.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] log_line
to_log_line(core::executor_description const& description);

/// @brief Returns the log line of an offer to an owner.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] log_line to_log_line(core::send_offer const& offer);

/// @brief Returns the log line of a withdrawal from an owner.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] log_line to_log_line(core::send_withdrawal const& withdrawal);

/// @brief Returns the log line of an answer to a caller.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] log_line to_log_line(core::answer_job const& answer,
                                   std::uint16_t status);

} // namespace goldcrestgate::app
