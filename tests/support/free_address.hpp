#pragma once

#include "goldcrestgate/io/address.hpp"

namespace goldcrestgate::tests
{

/// @brief Returns a loopback address with a port that was free at the time of
/// the call.
[[nodiscard]] io::socket_address free_address();

} // namespace goldcrestgate::tests
