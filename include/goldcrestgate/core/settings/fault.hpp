#pragma once

#include "goldcrestgate/core/error.hpp"

#include <string>
#include <string_view>

namespace goldcrestgate::core
{

/// @brief One reason why a settings text is refused.
struct settings_fault
{
    error_code code = error_code::settings_syntax;
    /// The source of the text: the file name as the user gave it, or a fixed
    /// name such as `publication`.
    std::string file;
    /// The line number, starting at 1; 0 when the fault refers to no line.
    unsigned line = 0;
    /// The dotted path of the key.
    std::string key;
    /// The value as JSON text, shortened when it is long.
    std::string value;
    /// What would be accepted, for example `an integer from 1 to 60`.
    std::string expected;
};

/// @brief Formats a fault in one line with file, line, key, value and range.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string to_string(settings_fault const& fault);

/// @brief Converts a fault into an error for logs and answers.
/// @param step the operation that failed, for example `read the settings`
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] error to_error(settings_fault const& fault,
                             std::string_view step);

} // namespace goldcrestgate::core
