#include "goldcrestgate/core/recovery/copy_chain.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

// Number of times that an unacknowledged batch is sent within copy_wait.
constexpr int sends_per_copy_wait = 3;

} // namespace

void copy_chain::set_candidates(std::span<instance_key const> candidates,
                                time_point /*now*/)
{
    candidates_.assign(candidates.begin(), candidates.end());
}

void copy_chain::record(copy_record entry)
{
    auto const submission = detail::submission_of(entry);
    bool const is_acceptance =
        std::holds_alternative<job_accepted_record>(entry);
    if (sealed_ || (!is_acceptance && !jobs_.contains(submission)))
    {
        return;
    }
    ++position_;
    if (auto const* start = std::get_if<task_starting_record>(&entry))
    {
        unreleased_.push_back({position_, start->task, start->attempt});
    }
    bool const is_removal = std::holds_alternative<job_forgotten_record>(entry);
    auto const shared = std::make_shared<copy_record const>(std::move(entry));
    for (auto& [peer, stream] : streams_)
    {
        stream.queue.push_back({position_, shared});
    }
    if (is_removal)
    {
        jobs_.erase(submission);
        return;
    }
    jobs_[submission].push_back(shared);
}

void copy_chain::peer_connected(instance_key const& peer, time_point now,
                                std::vector<action>& out)
{
    if (auto const retry_time = retry_times_.find(peer);
        retry_time != retry_times_.end())
    {
        retry_time->second = now;
    }
    auto const found = streams_.find(peer);
    if (found != streams_.end() && found->second.in_flight && !sealed_)
    {
        resend_batch(peer, found->second, now, out);
    }
}

void copy_chain::peer_gone(instance_key const& peer, time_point now)
{
    remove_stream(peer, now);
}

void copy_chain::peer_ended(instance_key const& peer, bool may_have_sealed,
                            time_point now)
{
    auto const [position, is_new] =
        excluded_peers_.emplace(peer, may_have_sealed);
    if (!is_new)
    {
        position->second = position->second || may_have_sealed;
    }
    remove_stream(peer, now);
}

void copy_chain::handle(instance_key const& from, copy_ack const& message,
                        time_point now)
{
    auto const found = streams_.find(from);
    if (message.owner != self_ || message.chain != chain_ ||
        found == streams_.end() || !found->second.in_flight ||
        found->second.in_flight->batch.sequence != message.sequence)
    {
        return;
    }
    auto& stream = found->second;
    stream.acknowledged_position = stream.in_flight->end_position;
    stream.acknowledged_epoch = stream.in_flight->batch.epoch;
    stream.first_batch_acknowledged = true;
    stream.last_ack = now;
    stream.in_flight.reset();
    retry_times_.erase(from);
    ++statistics_.acknowledgements;
}

void copy_chain::handle(instance_key const& from, copy_refused const& message,
                        time_point now)
{
    if (message.owner != self_ || sealed_)
    {
        return;
    }
    if (message.sealed && !is_known_member(from))
    {
        // The peer sealed a set that it is no longer a member of. The members
        // that it asked to seal know a newer set and have not sealed, so its
        // seal has no effect.
        excluded_peers_.emplace(from, true);
        remove_stream(from, now);
        return;
    }
    if (message.sealed)
    {
        sealed_ = true;
        unreleased_.clear();
        streams_.clear();
        outcomes_.emplace_back(incarnation_sealed{from});
        return;
    }
    auto const found = streams_.find(from);
    if (message.chain == chain_ && found != streams_.end() &&
        found->second.in_flight &&
        found->second.in_flight->batch.epoch == message.epoch)
    {
        remove_stream(from, now);
    }
}

void copy_chain::flush(time_point now, std::vector<action>& out)
{
    if (sealed_)
    {
        return;
    }
    extend_timeouts_after_pause(now);
    drop_timed_out_streams(now);
    replace_lost_members(now);
    attach_learners(now);
    propose_target_set(now);
    activate_acknowledged_set();
    detach_non_members(now);
    release_acknowledged_attempts();
    send_batches(now, out);
    last_flush_ = now;
}

std::vector<chain_outcome> copy_chain::take_outcomes()
{
    return std::exchange(outcomes_, {});
}

std::optional<time_point> copy_chain::next_deadline() const
{
    if (sealed_)
    {
        return std::nullopt;
    }
    std::optional<time_point> earliest;
    auto const include = [&earliest](time_point at)
    {
        earliest = earliest ? std::min(*earliest, at) : at;
    };
    for (auto const& [peer, stream] : streams_)
    {
        include(stream.in_flight ? stream.in_flight->last_sent_at +
                                       copy_wait_ / sends_per_copy_wait
                                 : stream.last_ack + refresh_interval_);
    }
    for (auto const& [peer, retry_at] : retry_times_)
    {
        if (retry_at > last_flush_)
        {
            include(retry_at);
        }
    }
    return earliest;
}

void copy_chain::extend_timeouts_after_pause(time_point now)
{
    // While a batch is in flight, flush is due every third of copy_wait. A
    // longer gap means that this process was paused, and acknowledgements may
    // still be unread.
    if (now - last_flush_ < copy_wait_ * 2 / sends_per_copy_wait)
    {
        return;
    }
    for (auto& [peer, stream] : streams_)
    {
        if (stream.in_flight && stream.in_flight->sent_at <= last_flush_)
        {
            stream.in_flight->sent_at = now;
        }
    }
}

void copy_chain::send_batches(time_point now, std::vector<action>& out)
{
    for (auto& [peer, stream] : streams_)
    {
        if (!stream.in_flight)
        {
            if (needs_batch(peer, stream, now))
            {
                send_batch(peer, stream, now, out);
            }
        }
        else if (now - stream.in_flight->last_sent_at >=
                 copy_wait_ / sends_per_copy_wait)
        {
            resend_batch(peer, stream, now, out);
        }
    }
}

bool copy_chain::needs_batch(instance_key const& peer,
                             detail::copy_stream const& stream,
                             time_point now) const
{
    if (!stream.queue.empty() || !stream.first_batch_sent ||
        now - stream.last_ack >= refresh_interval_)
    {
        return true;
    }
    auto const needed = required_acknowledgers();
    return stream.acknowledged_epoch < newest_set().epoch &&
           std::find(needed.begin(), needed.end(), peer) != needed.end();
}

void copy_chain::send_batch(instance_key const& peer,
                            detail::copy_stream& stream, time_point now,
                            std::vector<action>& out)
{
    detail::copy_stream::unacknowledged_batch sent;
    sent.end_position = stream.acknowledged_position;
    std::size_t bytes = 0;
    while (!stream.queue.empty() &&
           sent.batch.records.size() < max_batch_records_ &&
           bytes < max_batch_bytes_)
    {
        auto const& next = stream.queue.front();
        bytes += detail::record_bytes(*next.record);
        sent.end_position = std::max(sent.end_position, next.position);
        sent.batch.records.push_back(*next.record);
        stream.queue.pop_front();
    }
    if (stream.queue.empty())
    {
        sent.end_position = position_;
    }
    auto const& set = set_at(sent.end_position);
    sent.batch.owner = self_;
    sent.batch.chain = chain_;
    sent.batch.epoch = set.epoch;
    sent.batch.members = set.members;
    sent.batch.sequence = ++sequences_[peer];
    sent.batch.starts_catch_up = !stream.first_batch_sent;
    sent.batch.catch_up_pending = sent.end_position < stream.catch_up_end;
    sent.sent_at = now;
    sent.last_sent_at = now;
    stream.first_batch_sent = true;
    ++statistics_.batches;
    statistics_.records += sent.batch.records.size();
    out.emplace_back(send_to_peer{peer.instance, sent.batch});
    stream.in_flight = std::move(sent);
}

void copy_chain::resend_batch(instance_key const& peer,
                              detail::copy_stream& stream, time_point now,
                              std::vector<action>& out)
{
    stream.in_flight->last_sent_at = now;
    ++statistics_.batches_resent;
    out.emplace_back(send_to_peer{peer.instance, stream.in_flight->batch});
}

void copy_chain::release_acknowledged_attempts()
{
    bool const set_changes =
        !proposed_.empty() && !defects_.releases_in_set_change;
    if (set_changes || waits_for_first_set())
    {
        return;
    }
    std::uint64_t acknowledged = position_;
    for (auto const& member : active_.members)
    {
        auto const stream = streams_.find(member);
        acknowledged =
            std::min(acknowledged, stream == streams_.end()
                                       ? 0
                                       : stream->second.acknowledged_position);
    }
    while (!unreleased_.empty() && unreleased_.front().position <= acknowledged)
    {
        auto const& next = unreleased_.front();
        outcomes_.emplace_back(attempt_released{next.task, next.attempt});
        unreleased_.pop_front();
    }
}

copy_chain_builder& copy_chain_builder::self(instance_key const& key)
{
    self_ = key;
    return *this;
}

copy_chain_builder& copy_chain_builder::copies(std::size_t count)
{
    copies_ = count;
    return *this;
}

copy_chain_builder& copy_chain_builder::copy_wait(duration wait)
{
    copy_wait_ = wait;
    return *this;
}

copy_chain_builder& copy_chain_builder::refresh_interval(duration interval)
{
    refresh_interval_ = interval;
    return *this;
}

copy_chain_builder& copy_chain_builder::batch_limit(std::size_t records,
                                                    std::size_t bytes)
{
    max_batch_records_ = std::max<std::size_t>(records, 1);
    max_batch_bytes_ = std::max<std::size_t>(bytes, 1);
    return *this;
}

copy_chain_builder&
copy_chain_builder::inject_defects(detail::injected_defects const& defects)
{
    defects_ = defects;
    return *this;
}

copy_chain copy_chain_builder::build() const
{
    copy_chain chain;
    chain.self_ = self_;
    chain.defects_ = defects_;
    chain.copies_ = copies_;
    chain.copy_wait_ = copy_wait_;
    chain.refresh_interval_ = refresh_interval_;
    chain.max_batch_records_ = max_batch_records_;
    chain.max_batch_bytes_ = max_batch_bytes_;
    return chain;
}

} // namespace goldcrestgate::core
