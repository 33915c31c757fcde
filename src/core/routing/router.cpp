#include "goldcrestgate/core/routing/router.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrestgate::core
{

// servers

std::optional<server_index> router::find(server_id server) const
{
    auto const found = index_by_id_.find(server);
    return found == index_by_id_.end() ? std::nullopt
                                       : std::optional{found->second};
}

void router::add_server(server_id server, std::uint32_t slots)
{
    auto index = find(server);
    if (!index)
    {
        if (free_indices_.empty())
        {
            free_indices_.push_back(
                static_cast<server_index>(server_ids_.size()));
            server_ids_.emplace_back();
            usable_.push_back(false);
            published_speed_.push_back(0.0F);
        }
        index = free_indices_.back();
        free_indices_.pop_back();
        index_by_id_[server] = *index;
        server_ids_[*index] = server;
        published_speed_[*index] = 0.0F;
        time_model_.reset_server(*index);
        outcomes_.reset_server(*index);
        ++server_set_version_;
    }
    ledger_.add(*index, server, slots);
    refresh(*index);
}

void router::remove_server(server_id server)
{
    auto const index = find(server);
    if (!index)
    {
        return;
    }
    ledger_.remove(*index);
    outcomes_.reset_server(*index);
    refresh(*index);
    index_by_id_.erase(server);
    free_indices_.push_back(*index);
    ++server_set_version_;
}

void router::set_leaving(server_id server, bool leaving)
{
    auto const index = find(server);
    if (index)
    {
        ledger_.set_leaving(*index, leaving);
        refresh(*index);
    }
}

void router::set_view(std::uint32_t rank, std::uint32_t count)
{
    rank_ = rank;
    exchange_.set_view(rank, count);
    ledger_.set_view(rank, count);
    refresh_all();
}

void router::set_demands(std::span<std::uint32_t const> open_tasks)
{
    ledger_.set_demands(open_tasks);
    refresh_all();
}

void router::set_borrowing(bool allowed)
{
    ledger_.set_borrowing(allowed);
    refresh_all();
}

void router::set_settings(settings_ptr settings)
{
    settings_ = std::move(settings);
}

// exchange of slots

void router::transfer_slots(std::uint32_t count,
                            std::vector<slot_transfer>& out)
{
    server_ranking const& ranking = updated_ranking(last_service_);
    std::uint32_t rank = 0;
    while (count > 0)
    {
        auto const found = ranking.order.next_usable(rank);
        if (!found)
        {
            return;
        }
        rank = *found + 1;
        server_index const server = ranking.order.at(*found);
        std::uint32_t const transferred = ledger_.transfer_out(server, count);
        if (transferred > 0)
        {
            count -= transferred;
            out.push_back({server_ids_[server], transferred});
            refresh(server);
        }
    }
}

void router::exchange_slots(std::uint32_t waiting, time_point now,
                            std::vector<slot_update>& out)
{
    slot_need const own{waiting, ledger_.held()};
    auto const& transferred = exchange_.divide(own, ledger_.free());
    bool const announces = exchange_.should_announce(own, now);
    for (std::uint32_t rank = 0; rank < transferred.size(); ++rank)
    {
        slot_update update{rank, std::nullopt, {}};
        transfer_slots(transferred[rank], update.transfers);
        if (rank == rank_ || (!announces && update.transfers.empty()))
        {
            continue;
        }
        if (announces)
        {
            update.need = own;
        }
        out.push_back(std::move(update));
    }
}

void router::receive_slots(slot_update const& update)
{
    if (update.need)
    {
        exchange_.record_need(update.rank, *update.need);
    }
    for (slot_transfer const& transfer : update.transfers)
    {
        if (auto const index = find(transfer.server))
        {
            ledger_.transfer_in(*index, transfer.count);
            refresh(*index);
        }
    }
}

std::uint32_t router::expected_slots(std::uint32_t waiting) const
{
    return exchange_.expected_slots(total_slots(), waiting);
}

std::uint32_t router::held_slots() const
{
    return ledger_.held();
}

std::uint32_t router::free_slots() const
{
    return ledger_.free();
}

// observers

std::size_t router::live_servers() const
{
    return static_cast<std::size_t>(
        std::count_if(index_by_id_.begin(), index_by_id_.end(),
                      [&](auto const& entry)
                      {
                          return ledger_.live(entry.second);
                      }));
}

std::uint32_t router::total_slots() const
{
    std::uint32_t total = 0;
    for (auto const& [server, index] : index_by_id_)
    {
        total += ledger_.live(index) ? ledger_.slots(index) : 0;
    }
    return total;
}

duration router::expected_run_time(service_id service, duration declared) const
{
    return time_model_.expected_on_mean_server(service, declared);
}

std::optional<time_point> router::next_backoff_end() const
{
    return ledger_.next_backoff_end();
}

std::uint64_t router::steps() const
{
    return steps_;
}

} // namespace goldcrestgate::core
