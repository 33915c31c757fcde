#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"
#include "goldcrestgate/core/leasing/owner_token.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

namespace
{

/// Largest difference of the clocks of two instances. Terms are milliseconds of
/// the time of day, so that a token that is renewed less often than once a
/// millisecond, with this lead, stays below that of the next owner.
constexpr duration clock_difference = std::chrono::seconds{10};

std::uint64_t allowed_renewals(duration owned)
{
    using std::chrono::milliseconds;
    auto const in_ms = [](duration time)
    {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(std::max(time, duration{}))
                .count());
    };
    return std::min(in_ms(owned), std::max(max_token_renewals - 1,
                                           in_ms(owned - clock_difference)));
}

} // namespace

void scheduler_state::renew_token(std::string_view reason,
                                  executor_record const& executor,
                                  scheduler_context& context)
{
    bool const allowed =
        token_renewals < allowed_renewals(context.now - owner_since);
    if (allowed)
    {
        ++token_renewals;
        token = renewed_token(token);
        last_order_of_earlier_token = order_id{last_order};
    }
    scheduler_log_event log_event{.event = allowed ? "token_renewed"
                                                   : "token_not_renewed",
                                  .executor = executor.id};
    log_event.reason = reason;
    log_event.count = executor.unanswered_starts.size();
    context.out.emplace_back(log_event);
}

bool scheduler_state::is_superseded(order_id order, order_outcome outcome) const
{
    return outcome == order_outcome::fenced &&
           order.value() <= last_order_of_earlier_token.value();
}

} // namespace goldcrestgate::core::detail
