#pragma once

#include "goldcrestgate/io/address.hpp"

#include <string_view>

namespace goldcrestgate::app::detail
{

/// @brief Parses an address from a checked settings file.
/// @pre the settings passed their check, so that the address is well formed
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline io::socket_address checked_address(std::string_view text)
{
    return io::socket_address::parse(text).value();
}

} // namespace goldcrestgate::app::detail
