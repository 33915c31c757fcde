#pragma once

#include "goldcrestgate/core/settings/fault.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// Maximum size of a settings text (2 MiB). Larger texts are refused, so that
/// a settings text always fits into one frame between instances.
inline constexpr std::size_t settings_text_limit_bytes = 2'097'152;

/// Maximum nesting depth of objects and arrays; deeper texts are refused.
inline constexpr std::size_t settings_depth_limit = 32;

/// @brief A parsed JSON text with the line of each key.
struct settings_document
{
    nlohmann::json value;
    /// Line numbers, starting at 1, by dotted path; an array element is
    /// `path[index]`.
    std::map<std::string, unsigned, std::less<>> lines;
    /// Syntax errors and duplicate keys; other checks need a schema.
    std::vector<settings_fault> faults;

    /// @brief Returns the line of a path, or 0 for a path not in the text.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] unsigned line_of(std::string_view path) const;
};

/// @brief Parses JSON with comments and keeps the line of each key.
/// @param text the JSON text, in UTF-8
/// @param file the file name that faults report
/// @return the document; its value is null after a syntax error, and the
/// first value is kept when a key is given twice
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] settings_document parse_document(std::string_view text,
                                               std::string_view file);

/// @brief Joins two parts of a path with a dot.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string join_path(std::string_view parent,
                                    std::string_view child);

/// @brief Formats a value as JSON text for a message, shortened when it is
/// long.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string excerpt(nlohmann::json const& value);

} // namespace goldcrestgate::core
