#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrestgate::io
{

/// The name of a header in lower case, and its value.
using http_header = std::pair<std::string, std::string>;

/// @brief A request as passed to a handler.
///
/// The views are valid only until the handler returns.
struct http_request
{
    std::string_view method;
    /// The path without the query.
    std::string_view path;
    /// The text after `?`; empty if there is none.
    std::string_view query;
    std::string_view body;
    std::vector<std::pair<std::string_view, std::string_view>> headers;

    /// @brief Finds a header by its lower-case name.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] std::optional<std::string_view>
    header(std::string_view name) const;

    /// @brief Finds a query parameter; its value is not percent-decoded.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] std::optional<std::string_view>
    parameter(std::string_view name) const;

    /// @brief Finds a query parameter that is a decimal number.
    /// @return the number, or nothing if the parameter is absent or not a
    /// decimal number
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] std::optional<std::uint64_t>
    number(std::string_view name) const;
};

/// @brief A response to send.
struct http_response
{
    std::uint16_t status = 200;
    std::string body{};
    std::string content_type = "application/json";
    std::vector<http_header> headers{};
};

/// @brief Parses a text that consists of one decimal number.
/// @return the number, or nothing for any other text or on overflow
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace goldcrestgate::io
