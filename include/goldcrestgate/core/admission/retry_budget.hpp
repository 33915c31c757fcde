#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/settings/policies.hpp"
#include "goldcrestgate/core/time.hpp"

#include <vector>

namespace goldcrestgate::core
{

namespace detail
{

/// @brief Tokens that first starts pay in and additional starts take out.
class token_bucket
{
public:
    /// @param minimum_rate tokens per second that arrive without any start
    /// @param capacity the most tokens that are kept
    token_bucket(double minimum_rate, double capacity);

    /// @brief Adds tokens for a first start.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void deposit(double tokens);

    /// @brief Adds the tokens that time has brought since the last call.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void refill(time_point now);

    /// @brief Returns whether a whole token is there.
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
    time_point refilled_;
};

} // namespace detail

/// @brief Limits retries and second copies to a share of the first starts.
///
/// A retry needs a token of its service and one of the instance. A small
/// refill by time lets a service with little traffic retry at all.
class retry_budget
{
public:
    retry_budget();

    /// @brief Notes the first start of a task.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void record_first_start(service_id service, service_policy const& policy);

    /// @brief Takes a token for a retry.
    /// @return whether the retry is allowed
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool try_take_retry(service_id service, time_point now);

    /// @brief Returns whether a second copy is allowed now.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool has_hedge(service_id service) const;

    /// @brief Takes a token for a second copy.
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
