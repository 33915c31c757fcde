#pragma once

#include "goldcrestgate/core/result.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::app::cli
{

/// The commands of `goldcrestgate`.
enum class command : std::uint8_t
{
    settings_get,
    settings_set,
    settings_unset,
    settings_diff,
    settings_publish,
    settings_watch,
    settings_status,
    settings_keys,
    services,
    teams,
    instances,
    servers,
    jobs_list,
    jobs_show,
    jobs_cancel,
    drain,
    explain,
    submit,
    errors
};

/// @brief Name, arguments and help of a command.
struct command_spec
{
    command id{};
    /// One or two words.
    std::string_view name;
    std::string_view arguments;
    std::size_t minimum_arguments = 0;
    std::size_t maximum_arguments = 0;
    std::string_view summary;
};

/// @brief Returns all commands.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::span<command_spec const> commands();

/// The format in which answers are printed.
enum class output_format : std::uint8_t
{
    text,
    json
};

/// @brief A parsed command line.
struct invocation
{
    command id{};
    std::vector<std::string> arguments;
    std::string address;
    output_format output = output_format::text;
    core::duration timeout{};
    std::string author;
    bool effective = false;
    /// `errors` prints a Markdown table.
    bool markdown = false;
    /// Number of changes after which `settings watch` ends; 0 for no limit.
    std::uint32_t count = 0;
    /// Set for `--help` and `--version`: the text to print instead of running
    /// the command.
    std::optional<std::string> help;
};

/// @brief Defaults of the command line from the environment of the process.
struct cli_environment
{
    /// `GOLDCRESTGATE_ADDRESS`; used without `--address`.
    std::string address;
    /// The user's name; used without `--author`.
    std::string user;
};

/// @brief Parses a command line without the program's name.
/// @return the invocation, or an error of code `usage` that names the fault
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] core::result<invocation>
parse_command_line(std::vector<std::string> const& words,
                   cli_environment const& environment);

/// @brief Returns the overview that `goldcrestgate --help` prints.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string general_help();

} // namespace goldcrestgate::app::cli
