#include "support/policies.hpp"
#include "support/reference.hpp"
#include "support/results.hpp"
#include "support/simulation.hpp"
#include "support/table.hpp"
#include "support/workload.hpp"

#include <cxxopts.hpp>

#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate::bench;

std::vector<statistics_row> run_all(scenario const& parameters,
                                    bool only_goldcrestgate)
{
    auto const work = make_workload(parameters);
    auto const reference = run_best_reference(work);
    std::vector<statistics_row> rows;
    rows.push_back(
        {"reference", compute_statistics(work, reference, reference)});
    auto const fastest = run_reference(work, reference_kind::fastest_free);
    rows.push_back(
        {"reference-fastest", compute_statistics(work, fastest, reference)});
    auto const smallest = run_reference(work, reference_kind::smallest_job);
    rows.push_back(
        {"reference-smallest", compute_statistics(work, smallest, reference)});
    for (auto const& name : policy_names())
    {
        if (only_goldcrestgate && name != "goldcrestgate")
        {
            continue;
        }
        auto const result = simulation{work, make_policies(work, name)}.run();
        rows.push_back({name, compute_statistics(work, result, reference)});
    }
    return rows;
}

} // namespace

// Prints the policy figures of docs/design.md, section 14, measured in virtual
// time.
int main(int argc, char** argv)
{
    cxxopts::Options options{"policy",
                             "Measures dispatching policies in virtual time"};
    options.add_options()("scenario", "name of a scenario, or all",
                          cxxopts::value<std::string>()->default_value("all"))(
        "seed", "seed of the workload",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "instances", "number of entry instances",
        cxxopts::value<std::uint32_t>()->default_value("7"))(
        "seconds", "length of a run in virtual seconds",
        cxxopts::value<int>()->default_value("40"))(
        "own", "run only the policy goldcrestgate and the references")(
        "json", "print JSON")("help", "print this text");
    auto const arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0)
    {
        std::cout << options.help();
        return 0;
    }
    auto const requested = arguments["scenario"].as<std::string>();
    bool is_known = false;
    for (auto parameters : all_scenarios())
    {
        if (requested != "all" && requested != parameters.name)
        {
            continue;
        }
        is_known = true;
        parameters.instances = arguments["instances"].as<std::uint32_t>();
        parameters.seed = arguments["seed"].as<std::uint64_t>();
        parameters.length =
            std::chrono::seconds{arguments["seconds"].as<int>()};
        parameters.warm_up = parameters.length / 5;
        auto const rows = run_all(parameters, arguments.count("own") > 0);
        std::cout << (arguments.count("json") > 0
                          ? format_json(parameters, rows)
                          : format_table(parameters, rows));
    }
    return is_known ? 0 : 2;
}
