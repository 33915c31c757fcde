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

struct named_defect
{
    std::string_view name;
    bool injected_defects::*member;
};

constexpr std::array named_defects = {
    named_defect{"resubmission_restarts",
                 &injected_defects::resubmission_restarts},
    named_defect{"answers_are_partial", &injected_defects::answers_are_partial},
    named_defect{"answers_cross", &injected_defects::answers_cross},
    named_defect{"starts_before_copies",
                 &injected_defects::starts_before_copies},
    named_defect{"releases_in_set_change",
                 &injected_defects::releases_in_set_change},
    named_defect{"sets_need_no_overlap",
                 &injected_defects::sets_need_no_overlap},
    named_defect{"moves_past_seals", &injected_defects::moves_past_seals},
    named_defect{"seals_alone", &injected_defects::seals_alone},
    named_defect{"outsiders_answer", &injected_defects::outsiders_answer},
    named_defect{"fates_are_guessed", &injected_defects::fates_are_guessed},
    named_defect{"results_are_not_copied",
                 &injected_defects::results_are_not_copied},
    named_defect{"repeats_everything", &injected_defects::repeats_everything},
    named_defect{"ignores_leaving", &injected_defects::ignores_leaving},
    named_defect{"stops_at_once", &injected_defects::stops_at_once},
    named_defect{"forwards_never_time_out",
                 &injected_defects::forwards_never_time_out}};

injected_defects find_defect(std::string_view name)
{
    for (auto const& entry : named_defects)
    {
        if (entry.name == name)
        {
            injected_defects defects;
            defects.*entry.member = true;
            return defects;
        }
    }
    throw std::invalid_argument{"unknown defect " + std::string{name}};
}

} // namespace

run_outcome run_schedule(schedule const& plan, std::string_view defect)
{
    simulation tested{plan, defect.empty() ? injected_defects{}
                                           : find_defect(defect)};
    tested.run();
    return {tested.violations(), tested.counts()};
}

std::vector<std::string_view> defect_names()
{
    std::vector<std::string_view> names;
    names.reserve(named_defects.size());
    for (auto const& entry : named_defects)
    {
        names.push_back(entry.name);
    }
    return names;
}

schedule shrink(schedule plan, std::string_view defect)
{
    auto const found = run_schedule(plan, defect).violations;
    if (found.empty())
    {
        return plan;
    }
    auto const still_breaks = [&](schedule const& candidate)
    {
        auto const now = run_schedule(candidate, defect).violations;
        return std::any_of(now.begin(), now.end(),
                           [&](violation const& entry)
                           {
                               return entry.guarantee ==
                                      found.front().guarantee;
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
