#pragma once

#include "goldcrestgate/app/entry/entry_settings.hpp"
#include "goldcrestgate/app/process_resources.hpp"
#include "goldcrestgate/io/http_server.hpp"

#include <cstddef>

namespace goldcrestgate::app
{

/// Largest send queue of a peer in bytes, enough for several large
/// configurations. A small instance has 120 MB of memory and 40 peers.
inline constexpr std::size_t peer_write_limit_bytes =
    std::size_t{2} * 1024 * 1024;

/// @brief Returns the memory in bytes for incomplete frames of all peers.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::size_t
partial_frame_limit(entry_settings const& settings,
                    process_resources const& resources);

/// @brief Returns the memory in bytes for the jobs of callers, and for those of
/// an owner.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::size_t job_memory_limit(entry_settings const& settings,
                                           process_resources const& resources);

/// @brief Returns the limits of the server for callers.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] io::http_server_options
caller_server_options(entry_settings const& settings,
                      process_resources const& resources);

} // namespace goldcrestgate::app
