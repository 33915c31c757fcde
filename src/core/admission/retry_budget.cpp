#include "goldcrestgate/core/admission/retry_budget.hpp"

#include <algorithm>
#include <chrono>

namespace goldcrestgate::core
{

namespace
{

/// Retries per second that a service may do with almost no first starts.
constexpr double service_minimum_rate = 1.0;
/// Maximum tokens for a burst of failures in one service.
constexpr double service_capacity = 100.0;
/// Retries per second that an instance may do with almost no first starts.
constexpr double instance_minimum_rate = 2.0;
/// Maximum tokens for a burst of failures in all services together.
constexpr double instance_capacity = 500.0;
/// Maximum that a first start adds to the instance's budget, whatever ratio the
/// service's settings allow.
constexpr double instance_ratio = 0.2;

} // namespace

namespace detail
{

token_bucket::token_bucket(double minimum_rate, double capacity)
    : minimum_rate_(minimum_rate)
    , capacity_(capacity)
    , tokens_(minimum_rate)
{
}

void token_bucket::deposit(double tokens)
{
    tokens_ = std::min(capacity_, tokens_ + tokens);
}

void token_bucket::refill(time_point now)
{
    std::chrono::duration<double> const elapsed = now - last_refill_;
    last_refill_ = now;
    // The clock value of the first call is arbitrary, so at most one second is
    // credited for any gap.
    constexpr double max_gap = 1.0;
    deposit(minimum_rate_ * std::min(max_gap, elapsed.count()));
}

bool token_bucket::has_token() const
{
    return tokens_ >= 1.0;
}

void token_bucket::take()
{
    tokens_ -= 1.0;
}

} // namespace detail

retry_budget::service_buckets::service_buckets()
    : retries(service_minimum_rate, service_capacity)
    , hedges(0.0, service_capacity)
{
}

retry_budget::retry_budget()
    : instance_(instance_minimum_rate, instance_capacity)
{
}

void retry_budget::record_first_start(service_id service,
                                      service_policy const& policy)
{
    service_buckets& service_budget = buckets(service);
    service_budget.retries.deposit(policy.retry_budget_ratio);
    service_budget.hedges.deposit(policy.hedge_budget_ratio);
    instance_.deposit(std::min(instance_ratio, policy.retry_budget_ratio));
}

bool retry_budget::try_take_retry(service_id service, time_point now)
{
    service_buckets& service_budget = buckets(service);
    service_budget.retries.refill(now);
    instance_.refill(now);
    if (!service_budget.retries.has_token() || !instance_.has_token())
    {
        return false;
    }
    service_budget.retries.take();
    instance_.take();
    return true;
}

bool retry_budget::has_hedge(service_id service) const
{
    return service.value() < services_.size() &&
           services_[service.value()].hedges.has_token();
}

void retry_budget::take_hedge(service_id service)
{
    buckets(service).hedges.take();
}

retry_budget::service_buckets& retry_budget::buckets(service_id service)
{
    if (service.value() >= services_.size())
    {
        services_.resize(service.value() + 1);
    }
    return services_[service.value()];
}

} // namespace goldcrestgate::core
