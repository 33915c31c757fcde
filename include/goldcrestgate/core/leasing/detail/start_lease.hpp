#pragma once

#include "goldcrestgate/core/time.hpp"

namespace goldcrestgate::core::detail
{

/// Shortest lease of a start; a shorter one may end before it is renewed.
inline constexpr duration min_start_lease = std::chrono::milliseconds{200};

} // namespace goldcrestgate::core::detail
