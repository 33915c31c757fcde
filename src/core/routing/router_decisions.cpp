#include "goldcrestgate/core/routing/router.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestgate::core
{

namespace
{

// Weight of one started task in the moving mean of expected work.
constexpr float mean_task_work_gain = 0.05F;

// A ranking is sorted again when a server's factor has changed by more than 3%,
// but only after this many placements plus one for each server, so that sorting
// stays a small part of the cost of placement.
constexpr std::uint32_t min_placements_between_sorts = 64;
constexpr float resort_change = 0.03F;
// A change of a server's speed by more than 10% marks the rankings of all
// services as stale.
constexpr float published_change = 0.1F;

// The journal is cleared at this length; a ranking that has not applied all of
// it then reloads the state of all servers.
constexpr std::size_t journal_limit = 4096;

} // namespace

bool router::live(server_index server) const
{
    return ledger_.live(server);
}

void router::refresh(server_index server)
{
    bool const now_usable =
        ledger_.usable(server) && !outcomes_.ejected(server);
    if (usable_[server] == now_usable)
    {
        return;
    }
    usable_[server] = now_usable;
    if (journal_.size() >= journal_limit)
    {
        journal_start_ += journal_.size();
        journal_.clear();
    }
    journal_.push_back(server);
}

void router::refresh_all()
{
    for (auto const& [id, index] : index_by_id_)
    {
        refresh(index);
    }
}

void router::rebuild(server_ranking& ranking, service_id service)
{
    ranking.log_factors.resize(server_ids_.size());
    for (server_index server = 0; server < server_ids_.size(); ++server)
    {
        ranking.log_factors[server] =
            time_model_.server_log_factor(service, server);
    }
    ranking.order.rebuild(ranking.log_factors);
    accumulate_faster(ranking);
    ranking.server_set_version = server_set_version_;
    ranking.placements = 0;
    ranking.stale = false;
    reload_usable(ranking);
}

void router::accumulate_faster(server_ranking& ranking)
{
    float slots = 0.0F;
    float capacity = 0.0F;
    ranking.faster_slots.clear();
    ranking.faster_capacity.clear();
    for (std::uint32_t rank = 0; rank < ranking.order.size(); ++rank)
    {
        ranking.faster_slots.push_back(slots);
        ranking.faster_capacity.push_back(capacity);
        server_index const server = ranking.order.at(rank);
        if (ledger_.live(server) && !outcomes_.ejected(server))
        {
            auto const server_slots = static_cast<float>(ledger_.slots(server));
            slots += server_slots;
            capacity += server_slots * std::exp(-ranking.log_factors[server]);
        }
    }
    eligible_slots_ = slots;
}

void router::reload_usable(server_ranking& ranking)
{
    for (server_index server = 0; server < server_ids_.size(); ++server)
    {
        ranking.order.set(server, usable_[server]);
    }
    ranking.journal_position = journal_start_ + journal_.size();
    steps_ += server_ids_.size();
}

void router::apply_journal(server_ranking& ranking)
{
    std::uint64_t const end = journal_start_ + journal_.size();
    if (ranking.journal_position < journal_start_ ||
        end - ranking.journal_position > server_ids_.size())
    {
        reload_usable(ranking);
        return;
    }
    for (; ranking.journal_position < end; ++ranking.journal_position)
    {
        server_index const server =
            journal_[ranking.journal_position - journal_start_];
        ranking.order.set(server, usable_[server]);
        ++steps_;
    }
}

router::server_ranking& router::updated_ranking(service_id service)
{
    if (service.value() >= rankings_.size())
    {
        rankings_.resize(service.value() + 1);
    }
    server_ranking& ranking = rankings_[service.value()];
    ++ranking.placements;
    bool const may_sort =
        ranking.placements > min_placements_between_sorts + server_ids_.size();
    if (ranking.server_set_version != server_set_version_ ||
        (ranking.stale && may_sort))
    {
        rebuild(ranking, service);
    }
    else
    {
        apply_journal(ranking);
    }
    return ranking;
}

std::optional<server_index> router::next_allowed(server_ranking const& ranking,
                                                 task_demand const& demand,
                                                 std::uint32_t& rank)
{
    while (auto const found = ranking.order.next_usable(rank))
    {
        ++steps_;
        rank = *found + 1;
        server_index const server = ranking.order.at(*found);
        if (std::find(demand.excluded.begin(), demand.excluded.end(),
                      server_ids_[server]) == demand.excluded.end())
        {
            return server;
        }
    }
    return std::nullopt;
}

bool router::all_excluded(task_demand const& demand) const
{
    if (demand.excluded.empty() || demand.excluded.size() < live_servers())
    {
        return false;
    }
    return std::all_of(
        index_by_id_.begin(), index_by_id_.end(),
        [&](auto const& entry)
        {
            return !ledger_.live(entry.second) ||
                   std::find(demand.excluded.begin(), demand.excluded.end(),
                             entry.first) != demand.excluded.end();
        });
}

// The faster servers first drain the waiting work and then run the task; a free
// slow server is useful only if it would finish the task before that.
bool router::better_to_wait(server_ranking const& ranking,
                            task_demand const& demand, std::uint32_t rank) const
{
    bool const has_running = ledger_.running() > 0;
    float const capacity = ranking.faster_capacity[rank];
    if (demand.waiting_work <= duration{} || !has_running || capacity <= 0.0F)
    {
        return false;
    }
    float const held_share =
        static_cast<float>(ledger_.held()) / std::max(eligible_slots_, 1.0F);
    // A slot of a faster server becomes free when a task of mean length ends
    // there, however short the waiting task is.
    float const ahead = std::max(
        static_cast<float>(demand.waiting_work.count()), mean_task_work_);
    float const drain_time = ahead / (capacity * held_share);
    auto const own = static_cast<float>(
        time_model_
            .expected_on_mean_server(demand.service, demand.declared_run_time)
            .count());
    float const time_on_faster = own * ranking.faster_slots[rank] / capacity;
    float const time_here =
        own * std::exp(ranking.log_factors[ranking.order.at(rank)]);
    return drain_time + time_on_faster < time_here;
}

std::optional<placement> router::place_probe(task_demand const& demand,
                                             time_point now)
{
    if (!demand.repeatable || outcomes_.ejected_count() == 0)
    {
        return std::nullopt;
    }
    auto const due = outcomes_.due_probe(now);
    if (!due || !ledger_.usable(*due) ||
        std::find(demand.excluded.begin(), demand.excluded.end(),
                  server_ids_[*due]) != demand.excluded.end())
    {
        return std::nullopt;
    }
    outcomes_.mark_probe_started(*due);
    return placement{
        server_ids_[*due],
        time_model_.expected(demand.service, *due, demand.declared_run_time),
        std::nullopt, duration{}, "probe"};
}

placement_result router::place(task_demand const& demand, time_point now)
{
    while (auto const due = ledger_.pop_expired_backoff(now))
    {
        refresh(*due);
    }
    if (auto const probe = place_probe(demand, now))
    {
        return *probe;
    }
    last_service_ = demand.service;
    server_ranking& ranking = updated_ranking(demand.service);
    std::uint32_t rank = 0;
    auto const best = next_allowed(ranking, demand, rank);
    if (!best)
    {
        return all_excluded(demand) && !index_by_id_.empty()
                   ? placement_result{cannot_run{}}
                   : placement_result{no_capacity{}};
    }
    if (better_to_wait(ranking, demand, rank - 1))
    {
        return no_capacity{true};
    }
    auto const declared = demand.declared_run_time;
    placement chosen{server_ids_[*best],
                     time_model_.expected(demand.service, *best, declared),
                     std::nullopt, duration{}, "fastest_free"};
    if (auto const second = next_allowed(ranking, demand, rank))
    {
        chosen.runner_up = server_ids_[*second];
        chosen.runner_up_expected =
            time_model_.expected(demand.service, *second, declared);
    }
    return chosen;
}

void router::task_started(server_id server, service_id service,
                          duration declared_run_time, time_point /*now*/)
{
    auto const work = static_cast<float>(
        time_model_.expected_on_mean_server(service, declared_run_time)
            .count());
    mean_task_work_ += mean_task_work_gain * (work - mean_task_work_);
    if (auto const index = find(server))
    {
        ledger_.acquire(*index);
        refresh(*index);
    }
}

double router::ejection_limit(service_id service) const
{
    double const share =
        settings_ && service.value() < settings_->services.size()
            ? settings_->policy(service).ejection_max_ratio
            : service_policy{}.ejection_max_ratio;
    return share * static_cast<double>(index_by_id_.size());
}

void router::learn(server_index server, service_id service, duration declared,
                   duration work_time)
{
    time_model_.learn(service, server, declared, work_time);
    if (service.value() < rankings_.size())
    {
        server_ranking& ranking = rankings_[service.value()];
        ranking.stale |=
            server < ranking.log_factors.size() &&
            std::abs(time_model_.server_log_factor(service, server) -
                     ranking.log_factors[server]) > resort_change;
    }
    float const speed = time_model_.speed_log_factor(server);
    if (std::abs(speed - published_speed_[server]) > published_change)
    {
        published_speed_[server] = speed;
        for (server_ranking& ranking : rankings_)
        {
            ranking.stale = true;
        }
    }
}

void router::task_ended(server_id server, service_id service,
                        duration declared_run_time, task_outcome outcome,
                        std::optional<duration> work_time,
                        std::optional<std::uint32_t> open_slots, time_point now)
{
    auto const index = find(server);
    if (!index)
    {
        return;
    }
    ledger_.release(*index, open_slots);
    if (outcome == task_outcome::refused_busy)
    {
        ledger_.record_refusal(*index, now);
    }
    if (outcome == task_outcome::succeeded || outcome == task_outcome::failed)
    {
        ledger_.reset_refusals(*index);
    }
    if (outcome == task_outcome::refused_leaving)
    {
        ledger_.set_leaving(*index, true);
    }
    outcomes_.record_outcome(*index, outcome, index_by_id_.size(),
                             ejection_limit(service), now);
    if (outcome == task_outcome::succeeded && work_time &&
        work_time->count() > 0 && declared_run_time.count() > 0)
    {
        learn(*index, service, declared_run_time, *work_time);
    }
    refresh(*index);
}

} // namespace goldcrestgate::core
