#include "goldcrestgate/core/leasing/owner_probe.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

/// Number of executors that are polled. At a tenth of the usual load several of
/// them get a new run between two polls.
constexpr std::size_t sample_size = 16;

/// Time for which an observed order or refusal counts as recent; polls are sent
/// every 100 ms.
constexpr duration observation_validity = std::chrono::milliseconds{500};

} // namespace

std::vector<executor_id> owner_probe::choose(
    std::span<std::pair<executor_id, std::string_view> const> candidates)
{
    std::map<std::string_view, std::size_t> chosen_in_rack;
    std::vector<std::pair<std::size_t, executor_id>> order;
    order.reserve(candidates.size());
    for (auto const& [id, rack] : candidates)
    {
        order.emplace_back(chosen_in_rack[rack]++, id);
    }
    std::ranges::sort(order);
    std::vector<executor_id> sample;
    for (auto const& [position, id] : order)
    {
        if (sample.size() == sample_size)
        {
            break;
        }
        sample.push_back(id);
    }
    return sample;
}

void owner_probe::answered(poll_answer const& answer, time_point now)
{
    if (answer.outcome == order_outcome::fenced)
    {
        refused_at_ = now;
    }
    if (answer.outcome != order_outcome::accepted)
    {
        return;
    }
    std::set<task_run> runs;
    for (auto const& entry : answer.running)
    {
        runs.insert(entry.run);
    }
    for (auto const& entry : answer.finished)
    {
        runs.insert(entry.run);
    }
    auto const [known, is_first] = listed_.try_emplace(answer.executor, runs);
    if (is_first)
    {
        return;
    }
    if (!std::ranges::includes(known->second, runs))
    {
        order_seen_at_ = now;
    }
    known->second = std::move(runs);
}

bool owner_probe::owner_lives(time_point now) const
{
    return order_seen_at_ && now - *order_seen_at_ < observation_validity;
}

bool owner_probe::token_refused(time_point now) const
{
    return refused_at_ && now - *refused_at_ < observation_validity;
}

} // namespace goldcrestgate::core
