#include "support/table.hpp"

#include <stdexcept>

namespace goldcrestgate::bench
{

namespace
{

scenario make_scenario(std::string name, double load, double burst,
                       fault_kind fault)
{
    scenario result;
    result.name = std::move(name);
    result.load = load;
    result.burst = burst;
    result.fault = fault;
    return result;
}

baseline_kind to_baseline(std::string_view name)
{
    if (name == "random")
    {
        return baseline_kind::random;
    }
    if (name == "round-robin")
    {
        return baseline_kind::round_robin;
    }
    return name == "least-open" ? baseline_kind::least_open
                                : baseline_kind::two_choices;
}

sharing_kind to_sharing(std::string_view name)
{
    if (name == "own-anywhere")
    {
        return sharing_kind::anywhere;
    }
    if (name == "own-divided")
    {
        return sharing_kind::divided;
    }
    if (name == "own-borrowed")
    {
        return sharing_kind::borrowed;
    }
    if (name == "own-demand")
    {
        return sharing_kind::by_demand;
    }
    return name == "own-executors" ? sharing_kind::owned
                                   : sharing_kind::exchanged;
}

} // namespace

std::vector<scenario> all_scenarios()
{
    return {
        make_scenario("load50", 0.5, 1.0, fault_kind::none),
        make_scenario("load80", 0.8, 1.0, fault_kind::none),
        make_scenario("load95", 0.95, 1.0, fault_kind::none),
        make_scenario("bursts", 0.6, 3.0, fault_kind::none),
        make_scenario("overload", 1.5, 1.0, fault_kind::none),
        make_scenario("failing", 0.7, 1.0, fault_kind::executors_failing),
        make_scenario("slow", 0.7, 1.0, fault_kind::executors_slow),
        make_scenario("cancels", 0.8, 1.0, fault_kind::mass_cancellation),
        make_scenario("lost", 0.8, 1.0, fault_kind::instance_lost),
        make_scenario("impossible", 0.8, 1.0, fault_kind::impossible_jobs),
    };
}

scenario find_scenario(std::string_view name)
{
    for (auto& known : all_scenarios())
    {
        if (known.name == name)
        {
            return known;
        }
    }
    throw std::invalid_argument{"unknown scenario"};
}

std::vector<std::string> policy_names()
{
    return {"random",        "round-robin",  "least-open",   "two-choices",
            "own-anywhere",  "own-divided",  "own-borrowed", "own-demand",
            "own-executors", "goldcrestgate"};
}

std::vector<entry_policy> make_policies(workload const& work,
                                        std::string_view name)
{
    bool const is_baseline = name == "random" || name == "round-robin" ||
                             name == "least-open" || name == "two-choices";
    std::vector<entry_policy> policies;
    for (std::uint32_t i = 0; i < work.parameters.instances; ++i)
    {
        if (is_baseline)
        {
            policies.emplace_back(baseline_policy{work, i, to_baseline(name)});
        }
        else
        {
            policies.emplace_back(
                dispatching_policy{work, i, to_sharing(name)});
        }
    }
    return policies;
}

} // namespace goldcrestgate::bench
