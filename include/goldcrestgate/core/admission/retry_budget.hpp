#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/settings/policies.hpp"
#include "goldcrestgate/core/time.hpp"

#include <vector>

namespace goldcrestgate::core
{

namespace detail
{

/// @brief A token bucket that first starts fill and additional starts drain.
class token_bucket
{
public:
    /// @param minimum_rate tokens per second that are added without any start
    /// @param capacity maximum number of tokens
    token_bucket(double minimum_rate, double capacity);

    /// @brief Adds tokens for a first start.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void deposit(double tokens);

    /// @brief Adds the tokens for the time since the last call.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void refill(time_point now);

    /// @brief Returns whether a whole token is available.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool has_token() const;

    /// @brief Takes one token.
    /// @pre @ref has_token
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void take();

private:
    double minimum_rate_;
    double capacity_;
    double tokens_;
    time_point last_refill_;
};

} // namespace detail

/// @brief Limits retries and hedged attempts to a share of the first starts.
///
/// A retry needs a token of its service and one of the instance. A small refill
/// rate over time allows a service with little traffic to retry, too.
class retry_budget
{
public:
    retry_budget();

    /// @brief Records the first start of a task.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void record_first_start(service_id service, service_policy const& policy);

    /// @brief Takes a token for a retry if one is available.
    /// @return whether the retry is allowed
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool try_take_retry(service_id service, time_point now);

    /// @brief Returns whether a hedged attempt is allowed now.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool has_hedge(service_id service) const;

    /// @brief Takes a token for a hedged attempt.
    /// @pre @ref has_hedge
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void take_hedge(service_id service);

private:
    struct service_buckets
    {
        service_buckets();

        detail::token_bucket retries;
        detail::token_bucket hedges;
    };

    service_buckets& buckets(service_id service);

    std::vector<service_buckets> services_;
    detail::token_bucket instance_;
};

} // namespace goldcrestgate::core
