#include "goldcrestgate/core/routing/slot_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestgate::core
{

namespace
{

// The first backoff after a refusal is a few round trips, about the interval at
// which slots of a busy server become free.
constexpr duration initial_backoff = std::chrono::milliseconds{20};
constexpr std::uint32_t max_backoff_doublings = 4;

// Multiples of this number, modulo 1, are distributed evenly.
constexpr double golden_ratio_conjugate = 0.6180339887498949;

// Added to the open tasks of each instance: one without open tasks keeps a
// small share, so that its next task finds a slot before the others learn of
// it.
constexpr double base_demand = 4.0;

} // namespace

void slot_ledger::add(server_index server, server_id id, std::uint32_t slots)
{
    if (server >= servers_.size())
    {
        servers_.resize(server + 1);
    }
    entry& added = servers_[server];
    if (!added.present)
    {
        added = {};
    }
    update_totals(added, -1);
    added.id = id;
    added.slots = slots;
    added.present = true;
    added.leaving = false;
    added.share = share_of(added);
    update_totals(added, 1);
}

void slot_ledger::remove(server_index server)
{
    update_totals(servers_[server], -1);
    servers_[server] = {};
}

void slot_ledger::set_leaving(server_index server, bool leaving)
{
    update_totals(servers_[server], -1);
    servers_[server].leaving = leaving;
    update_totals(servers_[server], 1);
}

void slot_ledger::set_view(std::uint32_t rank, std::uint32_t count)
{
    rank_ = rank;
    count_ = std::max(count, 1U);
    share_begin_ = static_cast<double>(rank_) / count_;
    share_end_ = static_cast<double>(rank_ + 1) / count_;
    update_shares();
}

void slot_ledger::set_demands(std::span<std::uint32_t const> open_tasks)
{
    if (open_tasks.size() != count_)
    {
        return;
    }
    double total = 0.0;
    for (std::uint32_t rank = 0; rank < count_; ++rank)
    {
        share_begin_ = rank == rank_ ? total : share_begin_;
        total += open_tasks[rank] + base_demand;
        share_end_ = rank == rank_ ? total : share_end_;
    }
    share_begin_ /= total;
    share_end_ /= total;
    update_shares();
}

void slot_ledger::update_shares()
{
    for (entry& server : servers_)
    {
        update_totals(server, -1);
        server.share = share_of(server);
        update_totals(server, 1);
    }
}

void slot_ledger::set_borrowing(bool allowed)
{
    borrowing_ = allowed;
}

// The shares of all ranks cover the slots of a server without overlap. The
// server's own offset assigns the slots that do not divide evenly to different
// ranks on each server.
std::uint32_t slot_ledger::share_of(entry const& server) const
{
    double const offset = std::fmod(
        static_cast<double>(server.id.value()) * golden_ratio_conjugate, 1.0);
    double const begin = std::floor(share_begin_ * server.slots + offset);
    double const end = std::floor(share_end_ * server.slots + offset);
    return static_cast<std::uint32_t>(end - begin);
}

void slot_ledger::acquire(server_index server)
{
    update_totals(servers_[server], -1);
    ++servers_[server].running;
    update_totals(servers_[server], 1);
}

void slot_ledger::release(server_index server,
                          std::optional<std::uint32_t> reported)
{
    entry& released = servers_[server];
    update_totals(released, -1);
    released.running -= released.running > 0 ? 1 : 0;
    update_totals(released, 1);
    if (reported)
    {
        released.used_by_others =
            *reported > released.running ? *reported - released.running : 0;
    }
}

void slot_ledger::reset_refusals(server_index server)
{
    servers_[server].refusals = 0;
}

// Adds a server to the totals of running attempts, held and free slots, or
// subtracts it if the sign is negative. Callers subtract a server before a
// change and add it afterwards.
void slot_ledger::update_totals(entry const& server, int sign)
{
    if (!server.present || server.leaving)
    {
        return;
    }
    std::uint32_t const unused =
        server.share > server.running ? server.share - server.running : 0;
    running_ += sign > 0 ? server.running : 0 - server.running;
    held_ += sign > 0 ? server.share : 0 - server.share;
    free_ += sign > 0 ? unused : 0 - unused;
}

std::uint32_t slot_ledger::transfer_out(server_index server,
                                        std::uint32_t wanted)
{
    entry& server_entry = servers_[server];
    std::uint32_t const unused = server_entry.share > server_entry.running
                                     ? server_entry.share - server_entry.running
                                     : 0;
    std::uint32_t const transferred = std::min(wanted, unused);
    update_totals(server_entry, -1);
    server_entry.share -= transferred;
    update_totals(server_entry, 1);
    return transferred;
}

std::uint32_t slot_ledger::transfer_in(server_index server,
                                       std::uint32_t wanted)
{
    entry& server_entry = servers_[server];
    std::uint32_t const unheld = server_entry.slots - server_entry.share;
    std::uint32_t const added = std::min(wanted, unheld);
    update_totals(server_entry, -1);
    server_entry.share += added;
    update_totals(server_entry, 1);
    return added;
}

std::uint32_t slot_ledger::held() const
{
    return held_;
}

std::uint32_t slot_ledger::running() const
{
    return running_;
}

std::uint32_t slot_ledger::free() const
{
    return free_;
}

void slot_ledger::record_refusal(server_index server, time_point now)
{
    entry& refusing = servers_[server];
    auto const wait = initial_backoff *
                      (1 << std::min(refusing.refusals, max_backoff_doublings));
    ++refusing.refusals;
    refusing.blocked = true;
    backoffs_.push({now + wait, server});
}

std::optional<server_index> slot_ledger::pop_expired_backoff(time_point now)
{
    if (backoffs_.empty() || backoffs_.top().at > now)
    {
        return std::nullopt;
    }
    server_index const server = backoffs_.top().server;
    backoffs_.pop();
    entry& due = servers_[server];
    due.blocked = false;
    if (due.running == 0 && due.share == 0 && due.used_by_others > 0)
    {
        // Without an attempt of this instance, no reply would ever update the
        // reported usage.
        --due.used_by_others;
    }
    return server;
}

std::optional<time_point> slot_ledger::next_backoff_end() const
{
    return backoffs_.empty() ? std::nullopt : std::optional{backoffs_.top().at};
}

bool slot_ledger::usable(server_index server) const
{
    entry const& candidate = servers_[server];
    if (!live(server) || candidate.blocked ||
        candidate.running >= candidate.slots)
    {
        return false;
    }
    if (candidate.running < candidate.share)
    {
        return true;
    }
    // Borrowing leaves one free slot to its holder. With fewer slots than
    // instances, a server would then serve only some of them, so an instance
    // that holds no slot may use the last one there.
    bool const has_no_slot = candidate.slots < count_ && candidate.share == 0 &&
                             candidate.running == 0;
    std::uint32_t const left_free = has_no_slot ? 0 : 1;
    return borrowing_ &&
           candidate.running + candidate.used_by_others + left_free <
               candidate.slots;
}

bool slot_ledger::live(server_index server) const
{
    return servers_[server].present && !servers_[server].leaving;
}

std::uint32_t slot_ledger::slots(server_index server) const
{
    return servers_[server].slots;
}

} // namespace goldcrestgate::core
