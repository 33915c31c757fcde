#include "goldcrestgate/app/cli/command_line.hpp"

#include "goldcrestgate/app/version.hpp"

#include <cxxopts.hpp>

#include <algorithm>
#include <array>
#include <chrono>

namespace goldcrestgate::app::cli
{

namespace
{

constexpr std::size_t argument_limit = 2048;
constexpr std::string_view default_timeout_ms = "10000";

constexpr std::array specs = std::to_array<command_spec>({
    {command::settings_get, "settings get", "[PATH]", 0, 1,
     "Prints the published settings at PATH, or all. With --effective, PATH "
     "is services.NAME..., teams.NAME or urgency, and each value is printed "
     "after inheritance with the path that sets it."},
    {command::settings_set, "settings set", "PATH VALUE [PATH VALUE]...", 2,
     argument_limit,
     "Publishes values. VALUE is JSON; anything else is taken as a string. "
     "`settings set services.desk {}` creates a service."},
    {command::settings_unset, "settings unset", "PATH...", 1, argument_limit,
     "Removes values or branches, so that inherited values apply again."},
    {command::settings_diff, "settings diff", "FILE", 1, 1,
     "Compares FILE, a complete tree, with the settings in force and prints "
     "the differences. Exits with 1 if there are any."},
    {command::settings_publish, "settings publish", "FILE", 1, 1,
     "Publishes the differences between FILE, a complete tree, and the "
     "settings in force."},
    {command::settings_watch, "settings watch", "", 0, 0,
     "Prints each change that comes into force, until interrupted or after "
     "--count changes."},
    {command::settings_status, "settings status", "", 0, 0,
     "Prints the version in force in each failure domain."},
    {command::settings_keys, "settings keys", "", 0, 0,
     "Prints all keys of the published settings with their ranges."},
    {command::services, "services", "", 0, 0,
     "Lists the services with their effective settings."},
    {command::teams, "teams", "", 0, 0,
     "Lists the teams with their effective settings."},
    {command::instances, "instances", "", 0, 0,
     "Lists the entry instances that are known to the contacted instance."},
    {command::servers, "servers", "", 0, 0,
     "Lists the backend servers in the failure domain of the contacted "
     "instance."},
    {command::jobs_list, "jobs list", "", 0, 0,
     "Lists submissions that the contacted instance owns."},
    {command::jobs_show, "jobs show", "ID", 1, 1,
     "Prints the state of a job and the fate of each task."},
    {command::jobs_cancel, "jobs cancel", "ID", 1, 1,
     "Cancels a job and prints its answer."},
    {command::drain, "drain", "", 0, 0,
     "Starts the graceful shutdown of the contacted instance."},
    {command::explain, "explain", "ID TASK", 2, 2,
     "Prints the decisions about a task; TASK is its index from 0."},
    {command::submit, "submit", "[FILE]", 0, 1,
     "Submits the job in FILE, or on standard input, and waits for its "
     "answer."},
    {command::errors, "errors", "[NAME]", 0, 1,
     "Prints what an error, or each error, means and what to do."},
});

cxxopts::Options make_options()
{
    cxxopts::Options options("goldcrestgate");
    options.add_options()("address", "", cxxopts::value<std::string>())(
        "output", "", cxxopts::value<std::string>()->default_value("text"))(
        "timeout-ms", "",
        cxxopts::value<std::uint32_t>()->default_value(std::string{
            default_timeout_ms}))("author", "", cxxopts::value<std::string>())(
        "effective", "")("markdown", "")(
        "count", "", cxxopts::value<std::uint32_t>()->default_value("0"))(
        "help", "")("version", "");
    return options;
}

// The help of cxxopts has one text for all commands, so the option texts are
// written here.
constexpr std::string_view option_help =
    "Options:\n"
    "  --address IP:PORT   entry instance to contact (default: the "
    "environment\n"
    "                      variable GOLDCRESTGATE_ADDRESS)\n"
    "  --output text|json  output format (default: text)\n"
    "  --timeout-ms N      time limit of one request, 1 to 3600000\n"
    "                      (default: 10000)\n"
    "  --author NAME       author of a publication (default: $USER)\n"
    "  --effective         settings get: print values after inheritance\n"
    "  --count N           settings watch: end after N changes\n"
    "  --markdown          errors: print a table for the documentation\n"
    "  --help              print the help of a command\n"
    "  --version           print the version\n"
    "  --                  end of options; only arguments follow\n";

constexpr std::string_view exit_code_help =
    "Exit codes:\n"
    "  0  success\n"
    "  1  the job failed or was cancelled, or settings diff found differences\n"
    "  2  the command line or an input file is invalid\n"
    "  3  the instance refused the request\n"
    "  4  the settings changed after they were read\n"
    "  5  the instance or the log service is not available\n"
    "  6  it is unknown whether the request took effect\n";

std::string usage_line(command_spec const& spec)
{
    std::string line = "goldcrestgate ";
    line += spec.name;
    if (!spec.arguments.empty())
    {
        line += ' ';
        line += spec.arguments;
    }
    return line;
}

std::string command_help(command_spec const& spec)
{
    std::string text = "Usage: " + usage_line(spec) + " [OPTION]...\n\n";
    text += spec.summary;
    text += "\n\n";
    text += option_help;
    text += '\n';
    text += exit_code_help;
    return text;
}

auto usage_error(std::string const& message)
{
    return core::fail(
        {core::error_code::usage, "read the command line", {}, message});
}

command_spec const* find_command(std::vector<std::string> const& words)
{
    for (auto const& spec : specs)
    {
        bool const single = !words.empty() && words[0] == spec.name;
        bool const pair =
            words.size() > 1 && words[0] + ' ' + words[1] == spec.name;
        if (single || pair)
        {
            return &spec;
        }
    }
    return nullptr;
}

std::size_t word_count(std::string_view name)
{
    return name.find(' ') == std::string_view::npos ? 1 : 2;
}

std::string option_or(cxxopts::ParseResult const& parsed,
                      std::string const& name, std::string const& fallback)
{
    return parsed.count(name) == 0 ? fallback : parsed[name].as<std::string>();
}

bool needs_instance(command id)
{
    return id != command::settings_keys && id != command::errors;
}

core::result<invocation> check_invocation(command_spec const& spec,
                                          invocation call)
{
    auto const count = call.arguments.size();
    bool const complete_pairs =
        spec.id != command::settings_set || count % 2 == 0;
    if (count < spec.minimum_arguments || count > spec.maximum_arguments ||
        !complete_pairs)
    {
        return usage_error("wrong number of arguments; usage: " +
                           usage_line(spec));
    }
    if (call.address.empty() && needs_instance(spec.id))
    {
        return usage_error("no entry instance is given; use --address IP:PORT "
                           "or set GOLDCRESTGATE_ADDRESS");
    }
    return call;
}

core::result<output_format> read_format(std::string const& word)
{
    if (word == "text")
    {
        return output_format::text;
    }
    if (word == "json")
    {
        return output_format::json;
    }
    return usage_error("--output is text or json, not " + word);
}

core::result<core::duration> read_timeout(std::uint32_t milliseconds)
{
    constexpr std::uint32_t maximum_ms = 3'600'000;
    if (milliseconds < 1 || milliseconds > maximum_ms)
    {
        return usage_error("--timeout-ms is a number from 1 to 3600000");
    }
    return std::chrono::milliseconds{milliseconds};
}

core::result<invocation> read_invocation(cxxopts::ParseResult const& parsed,
                                         cli_environment const& environment)
{
    // cxxopts splits positional values at commas, which JSON values contain;
    // unmatched words stay whole.
    auto const& words = parsed.unmatched();
    auto const* const spec = find_command(words);
    invocation call;
    if (parsed.count("version") > 0)
    {
        call.help = std::string{app::version} + '\n';
        return call;
    }
    if (parsed.count("help") > 0)
    {
        call.help = spec == nullptr ? general_help() : command_help(*spec);
        return call;
    }
    if (spec == nullptr)
    {
        return usage_error(words.empty() ? "no command is given; see --help"
                                         : "there is no command " +
                                               words.front() + "; see --help");
    }
    call.id = spec->id;
    auto const name_words = static_cast<std::ptrdiff_t>(word_count(spec->name));
    call.arguments.assign(words.begin() + name_words, words.end());
    call.address = option_or(parsed, "address", environment.address);
    call.author = option_or(parsed, "author", environment.user);
    BOOST_LEAF_ASSIGN(call.output,
                      read_format(parsed["output"].as<std::string>()));
    BOOST_LEAF_ASSIGN(call.timeout,
                      read_timeout(parsed["timeout-ms"].as<std::uint32_t>()));
    call.effective = parsed.count("effective") > 0;
    call.markdown = parsed.count("markdown") > 0;
    call.count = parsed["count"].as<std::uint32_t>();
    return check_invocation(*spec, std::move(call));
}

} // namespace

std::span<command_spec const> commands()
{
    return specs;
}

core::result<invocation>
parse_command_line(std::vector<std::string> const& words,
                   cli_environment const& environment)
{
    std::vector<char const*> arguments = {"goldcrestgate"};
    for (auto const& word : words)
    {
        arguments.push_back(word.c_str());
    }
    try
    {
        auto options = make_options();
        auto const parsed =
            options.parse(static_cast<int>(arguments.size()), arguments.data());
        return read_invocation(parsed, environment);
    }
    catch (cxxopts::exceptions::exception const& failure)
    {
        return usage_error(std::string{failure.what()} + "; see --help");
    }
}

std::string general_help()
{
    std::string text = "Usage: goldcrestgate COMMAND [ARGUMENT]... "
                       "[OPTION]...\n\nCommands:\n";
    for (auto const& spec : specs)
    {
        text += "  " + usage_line(spec) + '\n';
    }
    text += '\n';
    text += option_help;
    text += '\n';
    text += exit_code_help;
    return text;
}

} // namespace goldcrestgate::app::cli
