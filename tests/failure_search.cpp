// Runs the schedules of a range of seeds to find violated guarantees, and
// replays traces.

#include "support/driver/schedule.hpp"
#include "support/driver/search.hpp"

#include <cxxopts.hpp>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>

namespace
{

using namespace goldcrestgate::test;

struct seed_range
{
    std::uint64_t from = 0;
    std::uint64_t count = 0;
};

seed_range parse_range(std::string const& text)
{
    auto const colon = text.find(':');
    if (colon == std::string::npos)
    {
        throw std::invalid_argument{"--seeds needs FROM:COUNT"};
    }
    try
    {
        return {std::stoull(text.substr(0, colon)),
                std::stoull(text.substr(colon + 1))};
    }
    catch (std::logic_error const&)
    {
        throw std::invalid_argument{"--seeds " + text + " is not FROM:COUNT"};
    }
}

void print(std::ostream& out, violation const& found)
{
    out << "  " << found.at.count() << " us " << found.guarantee << ": "
        << found.text << '\n';
}

int replay(std::string const& path, std::string const& defect)
{
    std::ifstream file{path};
    auto const outcome = run_schedule(read_schedule(file), defect);
    for (auto const& found : outcome.violations)
    {
        print(std::cout, found);
    }
    std::cout << path << ": " << outcome.violations.size() << " violations\n";
    return outcome.violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

void write_trace(std::string const& folder, schedule const& plan,
                 std::string const& defect)
{
    auto const path = folder + "/seed-" + std::to_string(plan.seed) + ".trace";
    std::ofstream file{path};
    write_schedule(file, shrink(plan, defect));
    std::cout << "  trace: " << path << '\n';
}

int search(seed_range const& range, std::string const& defect,
           std::string const& folder, bool stop_at_first)
{
    run_counts total;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = range.from; seed < range.from + range.count;
         ++seed)
    {
        auto const plan = make_schedule(seed);
        auto const outcome = run_schedule(plan, defect);
        add(total, outcome.counts);
        if (outcome.violations.empty())
        {
            continue;
        }
        ++failed;
        std::cout << "seed " << seed << ": " << outcome.violations.size()
                  << " violations\n";
        print(std::cout, outcome.violations.front());
        if (!folder.empty())
        {
            write_trace(folder, plan, defect);
        }
        if (stop_at_first)
        {
            break;
        }
    }
    std::cout << "seeds " << range.from << " to "
              << range.from + range.count - 1 << ": " << failed
              << " with violations; " << total.runs << " runs of tasks, "
              << total.answers << " answers, " << total.jobs_done
              << " complete job answers, " << total.fates_by_copies
              << " fates reported by copies, " << total.copy_messages
              << " copy messages\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

void print_help(cxxopts::Options const& options)
{
    std::cout << options.help() << "Defects: ";
    for (auto const name : defect_names())
    {
        std::cout << name << ' ';
    }
    std::cout << '\n';
}

int run(int argc, char** argv)
{
    cxxopts::Options options{"failure_search",
                             "Searches for schedules that violate a guarantee"};
    auto add_option = options.add_options();
    add_option("seeds", "range of seeds, FROM:COUNT",
               cxxopts::value<std::string>());
    add_option("replay", "trace file to replay", cxxopts::value<std::string>());
    add_option("break-rule", "name of a defect to inject",
               cxxopts::value<std::string>()->default_value(""));
    add_option("traces", "directory for traces of failing schedules",
               cxxopts::value<std::string>()->default_value(""));
    add_option("first", "stop at the first failing seed");
    add_option("help", "print this help text");
    auto const arguments = options.parse(argc, argv);
    if (!arguments.unmatched().empty())
    {
        throw std::invalid_argument{"unknown argument " +
                                    arguments.unmatched().front()};
    }
    if (arguments.count("help") != 0)
    {
        print_help(options);
        return EXIT_SUCCESS;
    }
    auto const defect = arguments["break-rule"].as<std::string>();
    if (arguments.count("replay") != 0)
    {
        return replay(arguments["replay"].as<std::string>(), defect);
    }
    if (arguments.count("seeds") != 0)
    {
        return search(parse_range(arguments["seeds"].as<std::string>()), defect,
                      arguments["traces"].as<std::string>(),
                      arguments.count("first") != 0);
    }
    print_help(options);
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& failure)
    {
        std::cerr << "failure_search: " << failure.what() << '\n';
        return 2;
    }
}
