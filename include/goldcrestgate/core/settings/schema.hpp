#pragma once

#include "goldcrestgate/core/settings/document.hpp"
#include "goldcrestgate/core/settings/fault.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief A key whose value is `true` or `false`.
struct boolean_rule
{
    std::optional<bool> default_value;
};

/// @brief A key whose value is an integer in a range.
struct integer_rule
{
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::optional<std::int64_t> default_value;
};

/// @brief A key whose value is a number in a range.
struct number_rule
{
    double minimum = 0;
    double maximum = 0;
    std::optional<double> default_value;
};

/// The format of a string value.
enum class text_form : std::uint8_t
{
    /// 1 to 64 letters, digits, dots, hyphens and underscores.
    label,
    /// `IP:port`; an IPv6 address is written in brackets.
    address,
    /// One of the words in @ref text_rule::choices.
    choice,
    /// Labels joined by commas; at least one.
    labels,
    /// Addresses joined by commas; may be empty.
    addresses
};

/// @brief A key whose value is a string of a given format.
struct text_rule
{
    text_form form = text_form::label;
    std::optional<std::string_view> default_value;
    /// Words separated by `|`; only for @ref text_form::choice.
    std::string_view choices;
};

/// What a key accepts; a key without a default value is required or inherited.
using value_rule =
    std::variant<boolean_rule, integer_rule, number_rule, text_rule>;

/// @brief One key of a settings schema.
struct key_schema
{
    /// The path below the object that the schema describes, with dots.
    std::string_view key;
    value_rule rule;
    /// One sentence for the documentation.
    std::string_view doc;
};

/// @brief Describes what a rule accepts, for example `an integer from 1 to 8`.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string describe_range(value_rule const& rule);

/// @brief Returns the default value of a rule, or null if it has none.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] nlohmann::json default_of(value_rule const& rule);

/// @brief Checks one value.
/// @return the code of the fault, or nothing for an accepted value
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<error_code>
check_value(value_rule const& rule, nlohmann::json const& value);

/// @brief Finds a key in a schema.
/// @return the entry, or null for an unknown key
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] key_schema const* find_key(std::span<key_schema const> schema,
                                         std::string_view key);

/// @brief Creates the fault for a value at a path of a document.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] settings_fault
make_fault(error_code code, settings_document const& document,
           std::string_view file, std::string_view path,
           nlohmann::json const& value, std::string expected);

/// @brief Prints a schema as a Markdown table.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string describe_schema(std::span<key_schema const> schema);

} // namespace goldcrestgate::core
