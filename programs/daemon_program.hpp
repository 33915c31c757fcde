#pragma once

#include "goldcrestgate/app/crash_report.hpp"
#include "goldcrestgate/app/log.hpp"
#include "goldcrestgate/app/memory_release.hpp"
#include "goldcrestgate/app/version.hpp"
#include "goldcrestgate/core/result.hpp"
#include "goldcrestgate/io/event_loop.hpp"
#include "goldcrestgate/io/signal_watch.hpp"

#include <cxxopts.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

namespace goldcrestgate::programs
{

inline constexpr int exit_graceful = 0;
inline constexpr int exit_failure = 1;
inline constexpr int exit_usage = 2;
inline constexpr int exit_forced = 3;

/// Environment variable with the path of the settings file, used if the option
/// is absent.
inline constexpr char const* settings_variable = "GOLDCRESTGATE_SETTINGS";

/// @brief Implements the command line, settings and lifecycle of a daemon.
/// @tparam Daemon has the types `settings` and `instance` and the static
/// members `name`, `title`, `read_settings`, `describe_settings`,
/// `handle_signals` and `run`
///
/// @par Thread safety
/// Not safe; a process uses the class only once.
template <typename Daemon>
class daemon_program
{
public:
    /// @brief Runs the command given by the command line.
    /// @return the exit code of the process
    /// @par Thread safety
    /// Not safe.
    [[nodiscard]] static int main(int argc, char** argv)
    {
        auto options = make_options();
        try
        {
            return run_command(options.parse(argc, argv), options);
        }
        catch (cxxopts::exceptions::exception const& failure)
        {
            std::cerr << failure.what() << '\n';
            return exit_usage;
        }
    }

private:
    using settings_type = typename Daemon::settings;

    static cxxopts::Options make_options()
    {
        cxxopts::Options options{Daemon::name, Daemon::title};
        auto add = options.add_options();
        add("settings",
            "settings file (JSON with comments); default: the file that "
            "GOLDCRESTGATE_SETTINGS names",
            cxxopts::value<std::string>());
        add("check", "check the settings file and exit");
        add("describe-settings", "print all keys of the settings file");
        add("version", "print the version");
        add("help", "print this help");
        return options;
    }

    /// Returns the settings, or nothing if they are invalid; prints all faults.
    static std::optional<settings_type> read_settings(std::string const& file)
    {
        return boost::leaf::try_handle_all(
            [&]() -> core::result<std::optional<settings_type>>
            {
                BOOST_LEAF_AUTO(check, Daemon::read_settings(file));
                for (auto const& fault : check.faults)
                {
                    std::cerr << core::to_string(fault) << '\n';
                }
                return check.faults.empty() ? std::optional{check.settings}
                                            : std::nullopt;
            },
            [](core::error const& failure) -> std::optional<settings_type>
            {
                std::cerr << core::to_string(failure) << '\n';
                return std::nullopt;
            },
            []() -> std::optional<settings_type>
            {
                return std::nullopt;
            });
    }

    static int run(settings_type const& settings)
    {
        std::signal(SIGPIPE, SIG_IGN);
        app::install_crash_report();
        app::map_large_buffers();
        Daemon::handle_signals();
        io::event_loop loop;
        typename Daemon::instance* running_daemon = nullptr;
        // Created before the logger, so that the signals are blocked in the
        // thread of the logger too.
        io::signal_watch const signals{loop,
                                       {SIGTERM, SIGINT},
                                       [&running_daemon](int)
                                       {
                                           running_daemon->stop();
                                       }};
        app::logger log{settings.log_level, settings.log_queue_limit_lines};
        loop.on_fault(
            [&log](std::exception const& fault)
            {
                log.write(
                    app::log_line{app::log_level::error, "internal_fault"}.text(
                        "message", fault.what()));
            });
        typename Daemon::instance daemon{loop, settings, log};
        running_daemon = &daemon;
        return boost::leaf::try_handle_all(
            [&]() -> core::result<int>
            {
                return Daemon::run(daemon, log);
            },
            [&](core::error const& failure)
            {
                log.write(app::log_line{app::log_level::error, "start_failed"}
                              .failure(failure));
                return exit_failure;
            },
            [&](std::exception const& failure)
            {
                log.write(
                    app::log_line{app::log_level::error, "internal_fault"}.text(
                        "message", failure.what()));
                return exit_failure;
            },
            []
            {
                return exit_failure;
            });
    }

    static int run_command(cxxopts::ParseResult const& arguments,
                           cxxopts::Options const& options)
    {
        if (arguments.count("help") > 0)
        {
            std::cout << options.help();
            return exit_graceful;
        }
        if (arguments.count("version") > 0)
        {
            std::cout << app::version << '\n';
            return exit_graceful;
        }
        if (arguments.count("describe-settings") > 0)
        {
            std::cout << Daemon::describe_settings();
            return exit_graceful;
        }
        char const* const environment_file = std::getenv(settings_variable);
        if (arguments.count("settings") == 0 && environment_file == nullptr)
        {
            std::cerr << options.help();
            return exit_usage;
        }
        auto const settings =
            read_settings(arguments.count("settings") > 0
                              ? arguments["settings"].as<std::string>()
                              : std::string{environment_file});
        if (!settings)
        {
            return exit_usage;
        }
        return arguments.count("check") > 0 ? exit_graceful : run(*settings);
    }
};

} // namespace goldcrestgate::programs
