#include "goldcrestgate/core/routing/slot_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace goldcrestgate::core
{

namespace
{

// Free slots that an instance without waiting tasks keeps for its next tasks.
constexpr std::uint32_t reserved_slots = 2;

// Slots are transferred between two instances with waiting tasks only above
// this ratio of their waiting tasks per slot; without it, slots would go back
// and forth.
constexpr double min_contended_ratio = 1.3;

// Minimum time between announcements. The shorter one is for a need that begins
// or ends, as it decides about idle slots; the longer one is for a need that
// changes by a factor of 1.5.
constexpr duration transition_interval = std::chrono::milliseconds{2};
constexpr duration change_interval = std::chrono::milliseconds{20};
constexpr double announced_change_ratio = 1.5;

bool is_starved(slot_need need)
{
    return need.held == 0 && need.waiting > 0;
}

double tasks_per_slot(slot_need need)
{
    return is_starved(need)
               ? std::numeric_limits<double>::infinity()
               : static_cast<double>(need.waiting) / (need.held + 1.0);
}

bool differs(std::uint32_t left, std::uint32_t right)
{
    auto const [low, high] = std::minmax(left, right);
    return high + 1.0 > announced_change_ratio * (low + 1.0);
}

} // namespace

void slot_exchange::set_view(std::uint32_t rank, std::uint32_t count)
{
    rank_ = rank;
    needs_.assign(std::max(count, 1U), {});
    announced_at_.reset();
}

void slot_exchange::record_need(std::uint32_t rank, slot_need need)
{
    if (rank < needs_.size())
    {
        needs_[rank] = need;
    }
}

std::vector<std::uint32_t> const& slot_exchange::divide(slot_need own,
                                                        std::uint32_t free)
{
    granted_.assign(needs_.size(), 0);
    if (own.waiting == 0)
    {
        std::uint32_t const remaining = free - grant_to_starved(free);
        divide_surplus(remaining > reserved_slots ? remaining - reserved_slots
                                                  : 0);
    }
    else
    {
        divide_contended(own, free);
    }
    return granted_;
}

void slot_exchange::grant(std::uint32_t rank, std::uint32_t count)
{
    granted_[rank] += count;
    needs_[rank].waiting -= count;
    needs_[rank].held += count;
}

// The reserved slots must not keep another instance from running anything, as
// they would where a failure domain has few slots.
std::uint32_t slot_exchange::grant_to_starved(std::uint32_t free)
{
    std::uint32_t granted = 0;
    for (std::uint32_t rank = 0; rank < needs_.size() && granted < free; ++rank)
    {
        if (rank != rank_ && is_starved(needs_[rank]))
        {
            grant(rank, 1);
            ++granted;
        }
    }
    return granted;
}

void slot_exchange::divide_surplus(std::uint32_t free)
{
    double total = 0.0;
    for (std::uint32_t rank = 0; rank < needs_.size(); ++rank)
    {
        total += rank == rank_ ? 0.0 : needs_[rank].waiting;
    }
    double const fraction = total > 0.0 ? std::min(1.0, free / total) : 0.0;
    std::uint32_t remaining = free;
    for (std::uint32_t rank = 0; rank < needs_.size() && remaining > 0; ++rank)
    {
        if (rank != rank_ && needs_[rank].waiting > 0)
        {
            auto const wanted = static_cast<std::uint32_t>(
                std::ceil(fraction * needs_[rank].waiting));
            std::uint32_t const count = std::min(remaining, wanted);
            grant(rank, count);
            remaining -= count;
        }
    }
}

void slot_exchange::divide_contended(slot_need own, std::uint32_t free)
{
    for (; free > 0; --free)
    {
        std::uint32_t neediest = rank_;
        double highest = min_contended_ratio * tasks_per_slot(own);
        for (std::uint32_t rank = 0; rank < needs_.size(); ++rank)
        {
            if (rank != rank_ && tasks_per_slot(needs_[rank]) > highest)
            {
                neediest = rank;
                highest = tasks_per_slot(needs_[rank]);
            }
        }
        bool const is_last_slot = own.held <= 1;
        if (neediest == rank_ ||
            (is_last_slot && !is_starved(needs_[neediest])))
        {
            return;
        }
        grant(neediest, 1);
        --own.held;
    }
}

std::uint32_t slot_exchange::expected_slots(std::uint32_t slots,
                                            std::uint32_t waiting) const
{
    double all = waiting;
    for (std::uint32_t rank = 0; rank < needs_.size(); ++rank)
    {
        all += rank == rank_ ? 0.0 : needs_[rank].waiting;
    }
    return all > 0.0 ? static_cast<std::uint32_t>(slots * (waiting / all))
                     : slots;
}

bool slot_exchange::should_announce(slot_need own, time_point now)
{
    bool const began_or_ended = (own.waiting == 0) != (announced_.waiting == 0);
    bool const changed =
        own.waiting > 0 && (differs(own.waiting, announced_.waiting) ||
                            differs(own.held, announced_.held));
    auto const interval =
        began_or_ended ? transition_interval : change_interval;
    if ((!began_or_ended && !changed) ||
        (announced_at_ && now < *announced_at_ + interval))
    {
        return false;
    }
    announced_ = own;
    announced_at_ = now;
    return true;
}

} // namespace goldcrestgate::core
