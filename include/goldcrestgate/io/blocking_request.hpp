#pragma once

#include "goldcrestgate/io/http_client.hpp"

namespace goldcrestgate::io
{

/// @brief Sends one request and blocks until it ends, for command-line
/// programs.
/// @return the response, or the error of the call
/// @par Thread safety
/// Blocks the calling thread; safe to call from any thread that does not run
/// an @ref event_loop of its own.
[[nodiscard]] core::result<http_result>
blocking_request(socket_address const& address, http_call call);

} // namespace goldcrestgate::io
