#pragma once

#include "goldcrestgate/app/cli/command_line.hpp"
#include "goldcrestgate/app/cli/exit_code.hpp"
#include "goldcrestgate/app/cli/transport.hpp"
#include "goldcrestgate/core/result.hpp"
#include "goldcrestgate/core/time.hpp"

#include <functional>
#include <iosfwd>
#include <string>

namespace goldcrestgate::app::cli
{

/// @brief The external dependencies of the commands, so that tests can replace
/// them.
struct runner_context
{
    cli::transport transport;
    /// Reads a whole file; `-` is standard input.
    std::function<core::result<std::string>(std::string const&)> read_file;
    /// Blocks for the given time between two requests.
    std::function<void(core::duration)> sleep;
    std::function<core::time_point()> now;
    /// Returns a new id for a publication.
    std::function<std::string()> make_publication_id;
    std::ostream& out;
    std::ostream& error;
    /// Whether progress is shown on @ref error.
    bool shows_progress = false;
};

/// @brief Runs a command.
/// @pre the context's functions are set
/// @return the exit code; errors are printed to the context's error stream
/// @par Thread safety
/// Not safe for contexts that share streams.
[[nodiscard]] exit_code run(invocation const& call, runner_context& context);

/// @brief Returns the exit code for a refused request.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] exit_code exit_code_for(operator_response const& response);

/// @brief Returns the exit code for a request that got no valid answer.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] exit_code exit_code_for(core::error const& failure);

} // namespace goldcrestgate::app::cli
