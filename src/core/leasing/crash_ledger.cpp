#include "goldcrestgate/core/leasing/crash_ledger.hpp"

#include <algorithm>
#include <iterator>

namespace goldcrestgate::core
{

namespace
{

/// The crashes of an ended job are kept for a caller that submits it again.
constexpr duration crash_retention = std::chrono::seconds{60};

/// Time for which the crashes of an ended job are reported; heartbeats of an
/// owner are at most 1 s apart.
constexpr duration report_time = std::chrono::seconds{3};

/// Number of crashes that identify a task which had the only run on one of the
/// executors, and number that identifies any task.
constexpr std::uint32_t isolated_crash_limit = 2;
constexpr std::uint32_t crash_limit = 3;

/// First time without starts of a task that would be identified if the
/// suspected crashes were confirmed. A crashed executor is back sooner as a
/// rule, which confirms or refutes the suspicion.
constexpr duration suspicion_delay = std::chrono::seconds{8};

/// First time without starts after the second crash that many executors share.
constexpr duration shared_crash_delay = std::chrono::milliseconds{250};

constexpr std::uint32_t max_doublings = 6;

/// Number of suspected crashes after which a task waits until they are settled.
constexpr std::uint32_t suspicion_limit = 5;

bool identifies_task(crash_count const& count)
{
    return count.crashes >= crash_limit ||
           (count.crashes >= isolated_crash_limit && count.alone > 0);
}

crash_count count_states(std::span<crash_observation const> observations,
                         std::span<crash_state const> states)
{
    crash_count count;
    for (auto const& observation : observations)
    {
        if (std::ranges::find(states, observation.state) != states.end())
        {
            ++count.crashes;
            count.alone += observation.alone ? 1 : 0;
        }
    }
    return count;
}

crash_count count_confirmed(std::span<crash_observation const> observations)
{
    constexpr crash_state states[] = {crash_state::confirmed};
    return count_states(observations, states);
}

crash_count count_suspected(std::span<crash_observation const> observations)
{
    constexpr crash_state states[] = {crash_state::suspected,
                                      crash_state::confirmed};
    return count_states(observations, states);
}

crash_count count_shared(std::span<crash_observation const> observations)
{
    constexpr crash_state states[] = {crash_state::shared};
    return count_states(observations, states);
}

/// Makes room for a crash in a given state: refuted and shared crashes do not
/// identify a task.
bool drop_one(std::vector<crash_observation>& observations, crash_state added)
{
    for (auto const state : {crash_state::refuted, crash_state::shared})
    {
        auto const found =
            std::ranges::find(observations, state, &crash_observation::state);
        if (found != observations.end() && added != state)
        {
            observations.erase(found);
            return true;
        }
    }
    return false;
}

duration doubled(duration first, std::uint32_t doublings)
{
    return first * (1U << std::min(doublings, max_doublings));
}

} // namespace

bool crash_ledger::merge(entry& known, crash_observation const& observation,
                         time_point now)
{
    auto const found = std::ranges::find(known.observations, observation.id,
                                         &crash_observation::id);
    if (found == known.observations.end())
    {
        if (known.observations.size() == max_observed_crashes &&
            !drop_one(known.observations, observation.state))
        {
            return false;
        }
        known.observations.push_back(observation);
        known.changed_at = now;
        return true;
    }
    auto const before = *found;
    found->state = std::max(found->state, observation.state);
    // Another run that one owner does not know of makes the task less suspect.
    found->alone = found->alone && observation.alone;
    if (*found == before)
    {
        return false;
    }
    known.changed_at = now;
    return true;
}

bool crash_ledger::record(leased_task const& task,
                          crash_observation const& observation, time_point now)
{
    return merge(entries_[task], observation, now);
}

void crash_ledger::adopt(std::span<task_crashes const> reported, time_point now)
{
    for (auto const& [task, observations] : reported)
    {
        if (forgotten_.contains(task))
        {
            continue;
        }
        for (auto const& observation : observations)
        {
            merge(entries_[task], observation, now);
        }
    }
}

std::span<crash_observation const>
crash_ledger::observations_of(leased_task const& task) const
{
    auto const found = entries_.find(task);
    return found == entries_.end() ? std::span<crash_observation const>{}
                                   : found->second.observations;
}

bool crash_ledger::contains(leased_task const& task, std::uint64_t id) const
{
    auto const observations = observations_of(task);
    return std::ranges::find(observations, id, &crash_observation::id) !=
           observations.end();
}

void crash_ledger::forget(leased_task const& task, time_point now)
{
    if (entries_.erase(task) > 0)
    {
        forgotten_[task] = now;
    }
}

void crash_ledger::expire(time_point now,
                          std::function<bool(client_job_id)> const& is_open)
{
    std::erase_if(entries_,
                  [&](auto const& item)
                  {
                      return now - item.second.changed_at > crash_retention &&
                             !is_open(item.first.job);
                  });
    std::erase_if(forgotten_,
                  [now](auto const& item)
                  {
                      return now - item.second > 2 * report_time;
                  });
}

bool crash_ledger::is_suspect(leased_task const& task) const
{
    return suspected(task).crashes > 0;
}

bool crash_ledger::is_withheld(entry const& known, time_point now)
{
    auto const count = count_suspected(known.observations);
    if (identifies_task(count))
    {
        if (count.crashes >= suspicion_limit)
        {
            return true;
        }
        auto const doublings = count.crashes - isolated_crash_limit;
        return now < known.changed_at + doubled(suspicion_delay, doublings);
    }
    auto const shared = count_shared(known.observations).crashes;
    return shared >= 2 &&
           now < known.changed_at + doubled(shared_crash_delay, shared - 2);
}

bool crash_ledger::is_withheld(leased_task const& task, time_point now) const
{
    auto const found = entries_.find(task);
    return found != entries_.end() && is_withheld(found->second, now);
}

std::vector<leased_task> crash_ledger::tasks_with(
    client_job_id job, std::function<bool(entry const&)> const& condition) const
{
    std::vector<leased_task> tasks;
    for (auto item = entries_.lower_bound({job, 0, 0});
         item != entries_.end() && item->first.job == job; ++item)
    {
        if (condition(item->second))
        {
            tasks.push_back(item->first);
        }
    }
    return tasks;
}

std::vector<leased_task> crash_ledger::withheld_tasks(client_job_id job,
                                                      time_point now) const
{
    return tasks_with(job,
                      [now](entry const& known)
                      {
                          return is_withheld(known, now);
                      });
}

bool crash_ledger::is_crash_looping(leased_task const& task) const
{
    return identifies_task(confirmed(task));
}

crash_count crash_ledger::confirmed(leased_task const& task) const
{
    return count_confirmed(observations_of(task));
}

crash_count crash_ledger::suspected(leased_task const& task) const
{
    return count_suspected(observations_of(task));
}

std::optional<time_point>
crash_ledger::changed_at(leased_task const& task) const
{
    auto const found = entries_.find(task);
    return found == entries_.end() ? std::nullopt
                                   : std::optional{found->second.changed_at};
}

std::vector<leased_task>
crash_ledger::crash_looping_tasks(client_job_id job) const
{
    return tasks_with(job,
                      [](entry const& known)
                      {
                          return identifies_task(
                              count_confirmed(known.observations));
                      });
}

std::vector<task_crashes>
crash_ledger::report(time_point now,
                     std::function<bool(client_job_id)> const& is_open) const
{
    std::vector<task_crashes> reported;
    std::vector<task_crashes> unsuspicious;
    for (auto const& [task, known] : entries_)
    {
        if (now - known.changed_at > report_time && !is_open(task.job))
        {
            continue;
        }
        bool const is_suspect = count_suspected(known.observations).crashes > 0;
        auto& target = is_suspect ? reported : unsuspicious;
        if (target.size() < max_reported_crashes)
        {
            target.push_back({task, known.observations});
        }
    }
    auto const left =
        std::min(unsuspicious.size(), max_reported_crashes - reported.size());
    std::move(unsuspicious.begin(),
              unsuspicious.begin() + static_cast<std::ptrdiff_t>(left),
              std::back_inserter(reported));
    return reported;
}

} // namespace goldcrestgate::core
