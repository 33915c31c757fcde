// Changes of the copy set, and the start of new chains.

#include "goldcrestgate/core/recovery/copy_chain.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

using key_list = std::vector<instance_key>;

// A peer whose stream was removed is tried again after this multiple of
// copy_wait.
constexpr int retry_delay_in_copy_waits = 2;

bool contains(std::span<instance_key const> keys, instance_key const& key)
{
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

bool share_a_member(std::span<instance_key const> left,
                    std::span<instance_key const> right)
{
    return std::any_of(left.begin(), left.end(),
                       [right](instance_key const& key)
                       {
                           return contains(right, key);
                       });
}

void add_missing(key_list& keys, std::span<instance_key const> others)
{
    for (auto const& key : others)
    {
        if (!contains(keys, key))
        {
            keys.push_back(key);
        }
    }
}

} // namespace

void copy_chain::drop_timed_out_streams(time_point now)
{
    key_list timed_out;
    for (auto const& [peer, stream] : streams_)
    {
        if (stream.in_flight && now - stream.in_flight->sent_at >= copy_wait_)
        {
            timed_out.push_back(peer);
        }
    }
    for (auto const& peer : timed_out)
    {
        remove_stream(peer, now);
    }
}

void copy_chain::remove_stream(instance_key const& peer, time_point now)
{
    if (streams_.erase(peer) != 0)
    {
        retry_times_[peer] = now + retry_delay_in_copy_waits * copy_wait_;
    }
}

void copy_chain::replace_lost_members(time_point /*now*/)
{
    auto const is_streamed = [this](instance_key const& peer)
    {
        return streams_.contains(peer);
    };
    auto const needed = required_acknowledgers();
    if (std::all_of(needed.begin(), needed.end(), is_streamed))
    {
        return;
    }
    auto survivors = known_members();
    std::erase_if(survivors,
                  [&is_streamed](instance_key const& peer)
                  {
                      return !is_streamed(peer);
                  });
    if (!survivors.empty() && overlaps_known_sets(survivors))
    {
        propose(std::move(survivors));
        return;
    }
    open_chain(no_copy_has_sealed());
}

void copy_chain::open_chain(bool keeps_jobs)
{
    ++chain_;
    last_epoch_ = copy_epoch{};
    active_ = {};
    proposed_.clear();
    streams_.clear();
    sequences_.clear();
    if (keeps_jobs)
    {
        ++statistics_.chains_moved;
        return;
    }
    ++statistics_.chains_lost;
    chain_lost lost;
    for (auto const& [submission, records] : jobs_)
    {
        lost.submissions.push_back(submission);
    }
    std::sort(lost.submissions.begin(), lost.submissions.end());
    jobs_.clear();
    unreleased_.clear();
    if (!lost.submissions.empty())
    {
        outcomes_.emplace_back(std::move(lost));
    }
}

void copy_chain::attach_learners(time_point now)
{
    for (auto const& peer : target_set(now))
    {
        auto const [position, is_new] = streams_.try_emplace(peer);
        if (!is_new)
        {
            continue;
        }
        auto& stream = position->second;
        stream.catch_up_end = position_;
        stream.last_ack = now;
        for (auto const& [submission, records] : jobs_)
        {
            for (auto const& record : records)
            {
                stream.queue.push_back({0, record});
            }
        }
    }
}

void copy_chain::propose_target_set(time_point now)
{
    if (!proposed_.empty())
    {
        return;
    }
    auto target = target_set(now);
    if (active_.members.empty())
    {
        // The first set consists of the members that have caught up, so that
        // starts need not wait for another one that may not respond.
        std::erase_if(target,
                      [this](instance_key const& peer)
                      {
                          return !is_caught_up(peer);
                      });
    }
    bool const all_ready = std::all_of(target.begin(), target.end(),
                                       [this](instance_key const& peer)
                                       {
                                           return is_caught_up(peer);
                                       });
    bool const is_same =
        std::is_permutation(target.begin(), target.end(),
                            active_.members.begin(), active_.members.end());
    if (!all_ready || is_same)
    {
        return;
    }
    if (!target.empty() && !overlaps_known_sets(target))
    {
        target.resize(1);
        add_missing(target, active_.members);
    }
    propose(std::move(target));
}

void copy_chain::propose(key_list members)
{
    last_epoch_ = copy_epoch{last_epoch_.value() + 1};
    proposed_.push_back({last_epoch_, std::move(members), position_});
    ++statistics_.set_changes;
}

void copy_chain::activate_acknowledged_set()
{
    if (proposed_.empty())
    {
        return;
    }
    auto const needed = required_acknowledgers();
    auto const epoch = proposed_.back().epoch;
    bool const acknowledged =
        std::all_of(needed.begin(), needed.end(),
                    [this, epoch](instance_key const& peer)
                    {
                        auto const found = streams_.find(peer);
                        return found != streams_.end() &&
                               found->second.first_batch_acknowledged &&
                               found->second.acknowledged_epoch >= epoch;
                    });
    if (acknowledged)
    {
        active_ = std::move(proposed_.back());
        proposed_.clear();
    }
}

void copy_chain::detach_non_members(time_point now)
{
    if (!proposed_.empty())
    {
        return;
    }
    auto const target = target_set(now);
    std::erase_if(streams_,
                  [this, &target](auto const& item)
                  {
                      return !contains(active_.members, item.first) &&
                             !contains(target, item.first);
                  });
}

copy_chain::copy_set const& copy_chain::set_at(std::uint64_t position) const
{
    // A member may receive a set only together with all records from before
    // its proposal: the attempts of these records may have been released
    // without this member.
    auto const found = std::find_if(proposed_.rbegin(), proposed_.rend(),
                                    [position](copy_set const& set)
                                    {
                                        return set.proposed_after <= position;
                                    });
    return found == proposed_.rend() ? active_ : *found;
}

copy_chain::copy_set const& copy_chain::newest_set() const
{
    return proposed_.empty() ? active_ : proposed_.back();
}

key_list copy_chain::known_members() const
{
    key_list members = active_.members;
    for (auto const& set : proposed_)
    {
        add_missing(members, set.members);
    }
    return members;
}

key_list copy_chain::required_acknowledgers() const
{
    // An empty set shares no member with the one before it. All earlier members
    // must acknowledge it instead, as they could otherwise still report fates
    // for the chain.
    auto const& newest = newest_set();
    return newest.members.empty() ? known_members() : newest.members;
}

key_list copy_chain::target_set(time_point now) const
{
    key_list usable;
    auto const is_usable = [this, now](instance_key const& peer)
    {
        auto const retry_time = retry_times_.find(peer);
        return contains(candidates_, peer) && !excluded_peers_.contains(peer) &&
               (streams_.contains(peer) || retry_time == retry_times_.end() ||
                retry_time->second <= now);
    };
    add_missing(usable, newest_set().members);
    std::erase_if(usable,
                  [this](instance_key const& peer)
                  {
                      return !streams_.contains(peer);
                  });
    add_missing(usable, candidates_);
    std::erase_if(usable,
                  [&is_usable](instance_key const& peer)
                  {
                      return !is_usable(peer);
                  });
    usable.resize(std::min(usable.size(), copies_));
    return usable;
}

bool copy_chain::is_known_member(instance_key const& peer) const
{
    return contains(known_members(), peer);
}

bool copy_chain::is_caught_up(instance_key const& peer) const
{
    auto const found = streams_.find(peer);
    return found != streams_.end() && found->second.first_batch_acknowledged &&
           found->second.acknowledged_position >= found->second.catch_up_end;
}

bool copy_chain::waits_for_first_set() const
{
    return active_.members.empty() &&
           std::any_of(streams_.begin(), streams_.end(),
                       [this](auto const& item)
                       {
                           return !retry_times_.contains(item.first);
                       });
}

bool copy_chain::overlaps_known_sets(
    std::span<instance_key const> members) const
{
    auto const overlaps = [members](copy_set const& set)
    {
        return set.members.empty() || share_a_member(members, set.members);
    };
    if (defects_.sets_need_no_overlap)
    {
        return true;
    }
    return overlaps(active_) &&
           std::all_of(proposed_.begin(), proposed_.end(), overlaps);
}

bool copy_chain::no_copy_has_sealed() const
{
    auto const members = known_members();
    return std::all_of(members.begin(), members.end(),
                       [this](instance_key const& peer)
                       {
                           auto const found = excluded_peers_.find(peer);
                           return found != excluded_peers_.end() &&
                                  (!found->second || defects_.moves_past_seals);
                       });
}

} // namespace goldcrestgate::core
