#include "goldcrestgate/core/routing/router.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace goldcrestgate::core
{

// servers

std::optional<server_slot> router::find(server_id server) const
{
    auto const found = slots_.find(server);
    return found == slots_.end() ? std::nullopt : std::optional{found->second};
}

void router::add_server(server_id server, std::uint32_t slots)
{
    auto slot = find(server);
    if (!slot)
    {
        if (unused_.empty())
        {
            unused_.push_back(static_cast<server_slot>(ids_.size()));
            ids_.emplace_back();
            usable_.push_back(false);
            published_.push_back(0.0F);
        }
        slot = unused_.back();
        unused_.pop_back();
        slots_[server] = *slot;
        ids_[*slot] = server;
        published_[*slot] = 0.0F;
        times_.reset_server(*slot);
        outcomes_.reset_server(*slot);
        ++members_;
    }
    ledger_.add(*slot, server, slots);
    refresh(*slot);
}

void router::remove_server(server_id server)
{
    auto const slot = find(server);
    if (!slot)
    {
        return;
    }
    ledger_.remove(*slot);
    outcomes_.reset_server(*slot);
    refresh(*slot);
    slots_.erase(server);
    unused_.push_back(*slot);
    ++members_;
}

void router::set_leaving(server_id server, bool leaving)
{
    auto const slot = find(server);
    if (slot)
    {
        ledger_.set_leaving(*slot, leaving);
        refresh(*slot);
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

void router::give_slots(std::uint32_t count, std::vector<slot_transfer>& out)
{
    service_index const& index = synced_index(last_service_);
    std::uint32_t rank = 0;
    while (count > 0)
    {
        auto const found = index.order.next_usable(rank);
        if (!found)
        {
            return;
        }
        rank = *found + 1;
        server_slot const server = index.order.at(*found);
        std::uint32_t const given = ledger_.give(server, count);
        if (given > 0)
        {
            count -= given;
            out.push_back({ids_[server], given});
            refresh(server);
        }
    }
}

void router::exchange_slots(std::uint32_t waiting, time_point now,
                            std::vector<slot_note>& out)
{
    slot_need const own{waiting, ledger_.held()};
    auto const& given = exchange_.divide(own, ledger_.free());
    bool const tells = exchange_.tell(own, now);
    for (std::uint32_t rank = 0; rank < given.size(); ++rank)
    {
        slot_note note{rank, std::nullopt, {}};
        give_slots(given[rank], note.transfers);
        if (rank == rank_ || (!tells && note.transfers.empty()))
        {
            continue;
        }
        if (tells)
        {
            note.need = own;
        }
        out.push_back(std::move(note));
    }
}

void router::receive_slots(slot_note const& note)
{
    if (note.need)
    {
        exchange_.note_need(note.rank, *note.need);
    }
    for (slot_transfer const& transfer : note.transfers)
    {
        if (auto const slot = find(transfer.server))
        {
            ledger_.receive(*slot, transfer.count);
            refresh(*slot);
        }
    }
}

std::uint32_t router::expected_slots(std::uint32_t waiting) const
{
    return exchange_.reachable(total_slots(), waiting);
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
    return static_cast<std::size_t>(std::count_if(slots_.begin(), slots_.end(),
                                                  [&](auto const& entry)
                                                  {
                                                      return ledger_.live(
                                                          entry.second);
                                                  }));
}

std::uint32_t router::total_slots() const
{
    std::uint32_t total = 0;
    for (auto const& [server, slot] : slots_)
    {
        total += ledger_.live(slot) ? ledger_.slots(slot) : 0;
    }
    return total;
}

duration router::expected_run_time(service_id service, duration declared) const
{
    return times_.expected_anywhere(service, declared);
}

std::optional<time_point> router::next_change() const
{
    return ledger_.next_due();
}

std::uint64_t router::steps() const
{
    return steps_;
}

} // namespace goldcrestgate::core
