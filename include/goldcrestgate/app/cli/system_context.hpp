#pragma once

#include "goldcrestgate/app/cli/command_line.hpp"
#include "goldcrestgate/app/cli/runner.hpp"

#include <string>

namespace goldcrestgate::app::cli
{

/// @brief Reads the defaults of the command line from the environment.
/// @par Thread safety
/// Not safe while another thread changes the environment.
[[nodiscard]] cli_environment read_environment();

/// @brief Makes a context with real files, time and HTTP, on the standard
/// streams.
/// @param address the entry instance to contact, `IP:port`; with an invalid
/// one, each request fails
/// @par Thread safety
/// Safe to call from any thread; use the context on one thread only.
[[nodiscard]] runner_context make_system_context(std::string address);

} // namespace goldcrestgate::app::cli
