#pragma once

#include "goldcrestgate/app/log.hpp"
#include "goldcrestgate/core/leasing/job_gateway.hpp"
#include "goldcrestgate/core/leasing/job_scheduler.hpp"

#include <functional>
#include <string_view>

namespace goldcrestgate::app
{

/// Gives the name of an executor; empty for an unknown one.
using executor_names = std::function<std::string_view(core::executor_id)>;

/// @brief Formats an instance's id, which is its IPv4 address.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string format_instance(core::instance_id id);

/// @brief Makes the log line of a scheduling decision.
/// @par Thread safety
/// Safe to call from any thread, if @a names is.
[[nodiscard]] log_line to_log_line(core::scheduler_log_event const& note,
                                   executor_names const& names);

/// @brief Makes the log line of an offer to an owner.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] log_line to_log_line(core::send_offer const& offer);

/// @brief Makes the log line of an answer to a caller.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] log_line to_log_line(core::answer_job const& answer,
                                   std::uint16_t status);

} // namespace goldcrestgate::app
