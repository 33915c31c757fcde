#include "support/driver/search.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>
#include <utility>

namespace goldcrestgate::test
{

namespace
{

using core::detail::injected_defects;

struct named_rule
{
    std::string_view name;
    bool injected_defects::*switched;
};

constexpr std::array rules = {
    named_rule{"resubmission_restarts",
               &injected_defects::resubmission_restarts},
    named_rule{"answers_are_partial", &injected_defects::answers_are_partial},
    named_rule{"answers_cross", &injected_defects::answers_cross},
    named_rule{"starts_before_copies", &injected_defects::starts_before_copies},
    named_rule{"releases_in_set_change",
               &injected_defects::releases_in_set_change},
    named_rule{"sets_need_no_overlap", &injected_defects::sets_need_no_overlap},
    named_rule{"moves_past_seals", &injected_defects::moves_past_seals},
    named_rule{"seals_alone", &injected_defects::seals_alone},
    named_rule{"outsiders_answer", &injected_defects::outsiders_answer},
    named_rule{"fates_are_guessed", &injected_defects::fates_are_guessed},
    named_rule{"results_are_not_copied",
               &injected_defects::results_are_not_copied},
    named_rule{"repeats_everything", &injected_defects::repeats_everything},
    named_rule{"ignores_leaving", &injected_defects::ignores_leaving},
    named_rule{"stops_at_once", &injected_defects::stops_at_once},
    named_rule{"forwards_never_time_out",
               &injected_defects::forwards_never_time_out}};

injected_defects find_rule(std::string_view name)
{
    for (auto const& one : rules)
    {
        if (one.name == name)
        {
            injected_defects broken;
            broken.*one.switched = true;
            return broken;
        }
    }
    throw std::invalid_argument{"no rule has the name " + std::string{name}};
}

} // namespace

run_outcome run_schedule(schedule const& plan, std::string_view broken_rule)
{
    world tested{plan, broken_rule.empty() ? injected_defects{}
                                           : find_rule(broken_rule)};
    tested.run();
    return {tested.violations(), tested.counts()};
}

std::vector<std::string_view> rule_names()
{
    std::vector<std::string_view> names;
    names.reserve(rules.size());
    for (auto const& one : rules)
    {
        names.push_back(one.name);
    }
    return names;
}

schedule shorten(schedule plan, std::string_view broken_rule)
{
    auto const found = run_schedule(plan, broken_rule).violations;
    if (found.empty())
    {
        return plan;
    }
    auto const still_breaks = [&](schedule const& candidate)
    {
        auto const now = run_schedule(candidate, broken_rule).violations;
        return std::any_of(now.begin(), now.end(),
                           [&](violation const& one)
                           {
                               return one.guarantee == found.front().guarantee;
                           });
    };
    for (std::size_t index = plan.steps.size(); index > 0; --index)
    {
        auto candidate = plan;
        candidate.steps.erase(candidate.steps.begin() +
                              static_cast<std::ptrdiff_t>(index) - 1);
        if (still_breaks(candidate))
        {
            plan = std::move(candidate);
        }
    }
    return plan;
}

void add(run_counts& total, run_counts const& counts)
{
    total.events += counts.events;
    total.peer_messages += counts.peer_messages;
    total.copy_messages += counts.copy_messages;
    total.starts += counts.starts;
    total.runs += counts.runs;
    total.answers += counts.answers;
    total.jobs_done += counts.jobs_done;
    total.fates_by_copies += counts.fates_by_copies;
}

} // namespace goldcrestgate::test
