#pragma once

#include "goldcrestgate/core/error.hpp"

#include <span>
#include <string>
#include <string_view>

namespace goldcrestgate::app
{

/// @brief The meaning of an error for an operator or caller, and the remedy.
struct error_advice
{
    core::error_code code{};
    std::string_view meaning;
    std::string_view action;
};

/// @brief Returns the advice on all errors, grouped by area.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::span<error_advice const> error_guide();

/// @brief Finds the advice on an error by its name.
/// @return the advice, or null for a name that is not in the guide
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] error_advice const* find_advice(std::string_view name);

/// @brief Formats the guide as a Markdown table for docs/OPERATIONS.md.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string describe_error_guide();

} // namespace goldcrestgate::app
