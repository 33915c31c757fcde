#include "goldcrestgate/core/settings/schema.hpp"

#include "goldcrestgate/core/detail/overloaded.hpp"
#include "goldcrestgate/core/settings/text_list.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace goldcrestgate::core
{

namespace
{

using nlohmann::json;

constexpr std::size_t label_limit_bytes = 64;
constexpr std::string_view label_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_";

// Parses a decimal number without leading zeros at the start of the text and
// removes it from the text.
std::optional<unsigned> consume_number(std::string_view& text, unsigned maximum)
{
    unsigned value = 0;
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    auto const length = static_cast<std::size_t>(end - text.data());
    if (failure != std::errc{} || value > maximum ||
        (length > 1 && text.front() == '0'))
    {
        return std::nullopt;
    }
    text.remove_prefix(length);
    return value;
}

bool is_port(std::string_view text)
{
    return consume_number(text, 65535) && text.empty();
}

// Checks only the characters; an invalid address is detected only when the
// process starts.
bool is_ipv6_address(std::string_view text)
{
    auto const end = text.find("]:");
    return text.starts_with('[') && end != std::string_view::npos && end > 2 &&
           text.substr(1, end - 1)
                   .find_first_not_of("0123456789abcdefABCDEF:.") ==
               std::string_view::npos &&
           is_port(text.substr(end + 2));
}

bool is_address(std::string_view text)
{
    if (text.starts_with('['))
    {
        return is_ipv6_address(text);
    }
    constexpr std::array<char, 4> separators = {'.', '.', '.', ':'};
    for (char const separator : separators)
    {
        if (!consume_number(text, 255) || text.empty() ||
            text.front() != separator)
        {
            return false;
        }
        text.remove_prefix(1);
    }
    return is_port(text);
}

bool is_label(std::string_view text)
{
    return !text.empty() && text.size() <= label_limit_bytes &&
           text.find_first_not_of(label_characters) == std::string_view::npos;
}

bool is_choice(std::string_view text, std::string_view choices)
{
    while (!choices.empty())
    {
        auto const end = std::min(choices.find('|'), choices.size());
        if (choices.substr(0, end) == text)
        {
            return true;
        }
        choices.remove_prefix(std::min(end + 1, choices.size()));
    }
    return false;
}

bool matches(text_rule const& rule, std::string_view text)
{
    switch (rule.form)
    {
    case text_form::label:
        return is_label(text);
    case text_form::address:
        return is_address(text);
    case text_form::choice:
        return is_choice(text, rule.choices);
    case text_form::labels:
        return std::ranges::all_of(split_list(text), is_label);
    case text_form::addresses:
        return text.empty() ||
               std::ranges::all_of(split_list(text), is_address);
    }
    return false;
}

std::string describe_text(text_rule const& rule)
{
    switch (rule.form)
    {
    case text_form::label:
        return "1 to 64 letters, digits, dots, hyphens or underscores";
    case text_form::address:
        return "an address such as 127.0.0.1:8000 or [::1]:8000";
    case text_form::choice:
        return "one of " + std::string{rule.choices};
    case text_form::labels:
        return "labels of 1 to 64 letters, digits, dots, hyphens or "
               "underscores, separated by commas";
    case text_form::addresses:
        return "addresses such as 127.0.0.1:8000, separated by commas; may be "
               "empty";
    }
    return {};
}

std::string range_text(json const& minimum, json const& maximum)
{
    return minimum.dump() + " to " + maximum.dump();
}

std::optional<error_code> check_range(bool within_range)
{
    return within_range ? std::nullopt
                        : std::optional{error_code::settings_out_of_range};
}

std::optional<error_code> check_integer(integer_rule const& rule,
                                        json const& value)
{
    if (!value.is_number_integer())
    {
        return error_code::settings_wrong_type;
    }
    if (value.is_number_unsigned() &&
        value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX))
    {
        return error_code::settings_out_of_range;
    }
    auto const number = value.get<std::int64_t>();
    return check_range(number >= rule.minimum && number <= rule.maximum);
}

std::optional<error_code> check_number(number_rule const& rule,
                                       json const& value)
{
    if (!value.is_number())
    {
        return error_code::settings_wrong_type;
    }
    auto const number = value.get<double>();
    return check_range(number >= rule.minimum && number <= rule.maximum);
}

std::optional<error_code> check_text(text_rule const& rule, json const& value)
{
    if (!value.is_string())
    {
        return error_code::settings_wrong_type;
    }
    return check_range(matches(rule, value.get_ref<std::string const&>()));
}

// Escapes vertical bars, which would end the table cell.
std::string escape_cell(std::string_view text)
{
    std::string escaped;
    for (char const character : text)
    {
        if (character == '|')
        {
            escaped += '\\';
        }
        escaped += character;
    }
    return escaped;
}

std::string default_cell(value_rule const& rule)
{
    json const default_value = default_of(rule);
    return default_value.is_null() ? "none" : '`' + default_value.dump() + '`';
}

} // namespace

std::string describe_range(value_rule const& rule)
{
    return std::visit(
        detail::overloaded{
            [](boolean_rule const&)
            {
                return std::string{"true or false"};
            },
            [](integer_rule const& integer)
            {
                return "an integer from " +
                       range_text(integer.minimum, integer.maximum);
            },
            [](number_rule const& number)
            {
                return "a number from " +
                       range_text(number.minimum, number.maximum);
            },
            [](text_rule const& text)
            {
                return describe_text(text);
            }},
        rule);
}

json default_of(value_rule const& rule)
{
    return std::visit(
        [](auto const& alternative)
        {
            return alternative.default_value ? json(*alternative.default_value)
                                             : json();
        },
        rule);
}

std::optional<error_code> check_value(value_rule const& rule, json const& value)
{
    return std::visit(
        detail::overloaded{
            [&](boolean_rule const&) -> std::optional<error_code>
            {
                return value.is_boolean()
                           ? std::nullopt
                           : std::optional{error_code::settings_wrong_type};
            },
            [&](integer_rule const& integer)
            {
                return check_integer(integer, value);
            },
            [&](number_rule const& number)
            {
                return check_number(number, value);
            },
            [&](text_rule const& text)
            {
                return check_text(text, value);
            }},
        rule);
}

key_schema const* find_key(std::span<key_schema const> schema,
                           std::string_view key)
{
    auto const found = std::find_if(schema.begin(), schema.end(),
                                    [key](key_schema const& entry)
                                    {
                                        return entry.key == key;
                                    });
    return found == schema.end() ? nullptr : &*found;
}

settings_fault make_fault(error_code code, settings_document const& document,
                          std::string_view file, std::string_view path,
                          json const& value, std::string expected)
{
    return {code,
            std::string{file},
            document.line_of(path),
            std::string{path},
            excerpt(value),
            std::move(expected)};
}

std::string describe_schema(std::span<key_schema const> schema)
{
    std::string text = "| key | accepts | default | meaning |\n"
                       "| --- | --- | --- | --- |\n";
    for (key_schema const& entry : schema)
    {
        text += "| `" + std::string{entry.key} + "` | " +
                escape_cell(describe_range(entry.rule)) + " | " +
                default_cell(entry.rule) + " | " + escape_cell(entry.doc) +
                " |\n";
    }
    return text;
}

} // namespace goldcrestgate::core
