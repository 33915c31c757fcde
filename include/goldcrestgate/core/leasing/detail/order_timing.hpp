#pragma once

#include "goldcrestgate/core/leasing/orders.hpp"

#include <chrono>

namespace goldcrestgate::core::detail
{

/// Answer timeout of a start or stop order. An answer takes a few milliseconds,
/// and a CPU quota can stall either side for up to 100 ms.
inline constexpr duration order_answer_timeout = std::chrono::milliseconds{160};

/// Delay between attempts to stop a run.
inline constexpr duration stop_retry_delay = std::chrono::milliseconds{60};

} // namespace goldcrestgate::core::detail
