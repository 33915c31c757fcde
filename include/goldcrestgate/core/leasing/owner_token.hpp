#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/leasing/executor.hpp"

#include <cstdint>

namespace goldcrestgate::core
{

namespace detail
{

/// Number of low bits of a token that hold bits of the instance's id, below the
/// term, so that two instances never use the same token.
inline constexpr unsigned token_instance_bits = 10;

} // namespace detail

/// Renewals of a token before the next claim of another instance; a claim
/// exceeds each term that is known by this number.
inline constexpr std::uint64_t max_token_renewals = 1'000;

/// @brief Returns the token of an owner for its orders to executors.
/// @param term term of the ownership, or of the last renewal of its token
/// @pre the term has at most 54 bits
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] constexpr fencing_token make_owner_token(std::uint64_t term,
                                                       instance_id instance)
{
    constexpr std::uint64_t mask = (1U << detail::token_instance_bits) - 1;
    return fencing_token{(term << detail::token_instance_bits) |
                         (instance.value() & mask)};
}

/// @brief Returns the term in an owner's token.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] constexpr std::uint64_t token_term(fencing_token token)
{
    return token.value() >> detail::token_instance_bits;
}

/// @brief Returns the lowest higher token of the same owner.
/// @pre the term of the token is below 2^54 - 1
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] constexpr fencing_token renewed_token(fencing_token token)
{
    return fencing_token{token.value() +
                         (std::uint64_t{1} << detail::token_instance_bits)};
}

} // namespace goldcrestgate::core
