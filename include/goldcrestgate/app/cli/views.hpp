#pragma once

#include "goldcrestgate/core/settings/settings_tree.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::app::cli
{

// The functions below format the response bodies of docs/operator-api.md for a
// terminal. They accept any JSON value: a missing or unexpected member results
// in an empty cell.

/// @brief Formats the body of `GET /v1/admin/services`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string view_services(nlohmann::json const& body);

/// @brief Formats the body of `GET /v1/admin/teams`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string view_teams(nlohmann::json const& body);

/// @brief Formats the body of `GET /v1/admin/instances`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string view_instances(nlohmann::json const& body);

/// @brief Formats the body of `GET /v1/admin/servers`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string view_servers(nlohmann::json const& body);

/// @brief Formats the body of `GET /v1/admin/jobs`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string view_jobs(nlohmann::json const& body);

/// @brief Formats a job's answer.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string view_job(nlohmann::json const& body);

/// @brief Formats the body of `GET /v1/admin/explain/{id}/{task}`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string view_decisions(nlohmann::json const& body);

/// @brief Formats the body of `GET /v1/admin/settings/status`, one line for
/// each failure domain.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string view_settings_status(nlohmann::json const& body);

/// @brief Formats the settings at and below a path, one line for each value.
/// @return the lines, or nothing if the path has no value
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<std::string>
view_settings(core::settings_tree const& tree, std::string_view path);

/// @brief Formats effective values, after inheritance, with the paths that set
/// them.
/// @param path `services.NAME...`, `teams.NAME` or `urgency`
/// @return the lines, or nothing if there is no such service or team
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<std::string>
view_effective(core::settings_tree const& tree, std::string_view path);

/// @brief Formats changes, one line for each path, with the previous value.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string view_changes(core::settings_tree const& from,
                                       core::settings_changes const& changes);

/// @brief Converts changes to JSON with the members `set` and `unset`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] nlohmann::json
changes_to_json(core::settings_changes const& changes);

/// @brief Formats the error of a refused request, with the advice on it.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string view_error(nlohmann::json const& body);

} // namespace goldcrestgate::app::cli
