#pragma once

#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/membership/membership.hpp"
#include "goldcrestgate/core/settings/publication_check.hpp"
#include "goldcrestgate/core/settings/settings_log.hpp"
#include "goldcrestgate/core/settings/settings_record.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Status and JSON body for an operator; see docs/operator-api.md.
struct operator_answer
{
    std::uint16_t status = 0;
    std::string body;
};

/// @brief The settings version and the state of an instance, as known to the
/// answering instance.
struct instance_status
{
    instance_id id;
    domain_id domain;
    /// Empty until the first heartbeat.
    std::optional<settings_version> version;
    instance_state state = instance_state::live;
    bool leaving = false;
    bool self = false;
};

/// @brief Returns the state of an instance as operators see it: `live`,
/// `suspect`, `leaving` or `gone`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string_view state_name(instance_state state, bool leaving);

/// @brief Returns the status of this instance and of its peers.
/// @param self the status of this instance, which comes first in the result
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<instance_status>
list_instance_statuses(instance_status const& self,
                       std::span<instance_view const> peers);

/// @brief Answers `GET /v1/admin/settings`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] operator_answer answer_settings(settings_log const& log);

/// @brief Answers `GET /v1/admin/settings/status`.
/// @param log_reachable whether the last request to the log succeeded
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] operator_answer
answer_settings_status(settings_log const& log, bool log_reachable,
                       std::span<instance_status const> statuses);

/// @brief Answers `POST /v1/admin/settings` when no append is needed: there are
/// no settings yet, the body is refused, the outcome is already known or a
/// conflict is certain.
/// @return the answer, or nothing when the publication must be appended to the
/// log
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<operator_answer>
answer_before_append(settings_log const& log, publication_check const& check);

/// @brief Answers `POST /v1/admin/settings` after the append, once the log has
/// been applied past the record.
/// @pre `log.version()` is above the offset of the record
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] operator_answer
answer_after_append(settings_log const& log,
                    settings_publication const& publication);

/// @brief Answers `POST /v1/admin/settings` when the response of the log was
/// lost or the record was not read back in time.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] operator_answer
answer_append_unknown(settings_publication const& publication);

/// @brief Answers with an error in the format of the caller API.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] operator_answer answer_error(std::uint16_t status,
                                           error const& failure);

} // namespace goldcrestgate::core
