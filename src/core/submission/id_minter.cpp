#include "goldcrestgate/core/submission/id_minter.hpp"

#include <algorithm>
#include <iterator>

namespace goldcrestgate::core
{

namespace
{

/// Ids are issued from a block for the id lifetime divided by this.
constexpr int issue_time_divisor = 4;

} // namespace

id_minter::id_minter(instance_key owner, duration lifetime)
    : owner_(owner)
    , lifetime_(lifetime)
{
}

submission_id id_minter::mint(time_point now)
{
    bool const is_full =
        blocks_.empty() || next_ >= blocks_.back().first + block_size;
    if (is_full || now >= blocks_.back().closes)
    {
        drop_expired(now);
        open_block(now);
    }
    return submission_id{owner_, next_++};
}

std::optional<time_point> id_minter::expiry(std::uint64_t sequence) const
{
    if (sequence >= next_ || blocks_.empty() ||
        sequence < blocks_.front().first)
    {
        return std::nullopt;
    }
    auto const after =
        std::upper_bound(blocks_.begin(), blocks_.end(), sequence,
                         [](std::uint64_t value, block const& candidate)
                         {
                             return value < candidate.first;
                         });
    return std::prev(after)->expires;
}

bool id_minter::was_minted(std::uint64_t sequence) const
{
    return sequence < next_;
}

void id_minter::drop_expired(time_point now)
{
    while (!blocks_.empty() && blocks_.front().expires <= now)
    {
        blocks_.pop_front();
    }
}

instance_key const& id_minter::owner() const
{
    return owner_;
}

void id_minter::open_block(time_point now)
{
    time_point const closes = now + lifetime_ / issue_time_divisor;
    blocks_.push_back(block{next_, closes, closes + lifetime_});
}

} // namespace goldcrestgate::core
