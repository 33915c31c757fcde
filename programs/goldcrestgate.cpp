#include "goldcrestgate/app/cli/command_line.hpp"
#include "goldcrestgate/app/cli/runner.hpp"
#include "goldcrestgate/app/cli/system_context.hpp"

#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using app::cli::exit_code;

core::result<exit_code> run(std::vector<std::string> const& arguments)
{
    BOOST_LEAF_AUTO(command, app::cli::parse_command_line(
                                 arguments, app::cli::read_environment()));
    auto context = app::cli::make_system_context(command.address);
    return app::cli::run(command, context);
}

exit_code report(core::error const& failure)
{
    std::cerr << core::to_string(failure) << '\n';
    return exit_code::usage;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::vector<std::string> const arguments(argv + 1, argv + argc);
    auto const code = boost::leaf::try_handle_all(
        [&arguments]
        {
            return run(arguments);
        },
        [](core::error const& failure)
        {
            return report(failure);
        },
        []
        {
            return exit_code::unavailable;
        });
    return static_cast<int>(code);
}
