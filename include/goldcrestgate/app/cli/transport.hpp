#pragma once

#include "goldcrestgate/core/result.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace goldcrestgate::app::cli
{

/// @brief A request from the command-line tool to an entry instance.
struct operator_request
{
    std::string method = "GET";
    /// The path with the query.
    std::string path;
    std::string body;
    /// Time limit for the whole exchange.
    core::duration timeout{};
};

/// @brief The answer of an entry instance.
struct operator_response
{
    std::uint16_t status = 0;
    std::string body;
};

/// Sends a request and waits for the answer; errors name the instance.
using transport =
    std::function<core::result<operator_response>(operator_request const&)>;

} // namespace goldcrestgate::app::cli
