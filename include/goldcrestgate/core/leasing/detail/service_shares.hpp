#pragma once

#include "goldcrestgate/core/leasing/fair_order.hpp"
#include "goldcrestgate/core/time.hpp"

namespace goldcrestgate::core::detail
{

/// @brief Shares of a service whose waiting work exceeds its unused capacity.
struct service_shares
{
    fair_order order;
    /// Last time at which the waiting work exceeded the unused capacity.
    time_point contended_at{};
    /// Last time at which the event `job_deferred` was logged.
    time_point logged_at{};
};

} // namespace goldcrestgate::core::detail
