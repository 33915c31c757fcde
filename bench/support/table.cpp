#include "support/table.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace goldcrestgate::bench
{

namespace
{

template <typename... Values>
std::string format_text(char const* format, Values... values)
{
    std::array<char, 400> line{};
    int const length =
        std::snprintf(line.data(), line.size(), format, values...);
    return {line.data(), static_cast<std::size_t>(length)};
}

double ratio_or_zero(double value, double base)
{
    return base > 0.0 ? value / base : 0.0;
}

nlohmann::json to_json(summary const& values)
{
    return {{"mean", values.mean},
            {"p50", values.p50},
            {"p99", values.p99},
            {"p999", values.p999}};
}

nlohmann::json to_json(statistics_row const& row)
{
    auto const& values = row.values;
    return {{"policy", row.policy},
            {"task_response_ms", to_json(values.task_response)},
            {"job_response_ms", to_json(values.job_response)},
            {"task_over_reference", to_json(values.task_to_reference)},
            {"job_over_reference", to_json(values.job_to_reference)},
            {"task_over_work", to_json(values.task_to_work)},
            {"messages",
             {{"useful", values.messages.useful},
              {"refused", values.messages.refused},
              {"retried", values.messages.retried},
              {"late", values.messages.late},
              {"cancelled", values.messages.cancelled},
              {"wasted_share", values.messages.wasted_share()}}},
            {"jobs",
             {{"measured", values.jobs_measured},
              {"done", values.jobs_done},
              {"refused", values.jobs_refused},
              {"failed", values.jobs_failed}}},
            {"goodput", values.goodput},
            {"team_response", {values.team_lowest, values.team_highest}}};
}

std::string format_row(statistics_row const& row,
                       policy_statistics const& reference)
{
    auto const& values = row.values;
    auto const& messages = values.messages;
    return format_text(
        "%-19s %7.1f %7.0f %5.3f %5.3f %5.2f %5.2f %7.0f %5.3f %5.3f %5.2f "
        "%5.2f "
        "%6.2f%% %6lu %5lu %5lu %5lu %5lu %5lu %5.3f %4.2f %4.2f %6lu %6lu\n",
        row.policy.c_str(), values.task_response.mean, values.task_response.p99,
        ratio_or_zero(values.task_response.mean, reference.task_response.mean),
        ratio_or_zero(values.task_response.p99, reference.task_response.p99),
        values.task_to_reference.mean, values.task_to_reference.p99,
        values.job_response.mean,
        ratio_or_zero(values.job_response.mean, reference.job_response.mean),
        ratio_or_zero(values.job_response.p99, reference.job_response.p99),
        values.job_to_reference.mean, values.job_to_reference.p99,
        100.0 * messages.wasted_share(), messages.refused, messages.retried,
        messages.late, messages.cancelled, values.jobs_refused,
        values.jobs_failed, values.goodput, values.team_lowest,
        values.team_highest, messages.slots, messages.needs);
}

} // namespace

std::string format_table(scenario const& parameters,
                         std::vector<statistics_row> const& rows)
{
    std::string text =
        format_text("\n%s (seed %lu, load %.2f)\n", parameters.name.c_str(),
                    parameters.seed, parameters.load);
    text += format_text(
        "%-19s %7s %7s %5s %5s %5s %5s %7s %5s %5s %5s %5s %7s %6s %5s "
        "%5s %5s %5s %5s %5s %4s %4s %6s %6s\n",
        "policy", "task_ms", "p99_ms", "/mean", "/p99", "pair", "pr99",
        "job_ms", "/mean", "/p99", "pair", "pr99", "wasted", "refus", "retry",
        "late", "canc", "jrefu", "jfail", "goodp", "tmin", "tmax", "slots",
        "needs");
    for (auto const& row : rows)
    {
        text += format_row(row, rows.front().values);
    }
    return text;
}

std::string format_json(scenario const& parameters,
                        std::vector<statistics_row> const& rows)
{
    nlohmann::json document = {{"scenario", parameters.name},
                               {"seed", parameters.seed},
                               {"load", parameters.load}};
    for (auto const& row : rows)
    {
        document["policies"].push_back(to_json(row));
    }
    return document.dump() + "\n";
}

} // namespace goldcrestgate::bench
