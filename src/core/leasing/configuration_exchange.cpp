#include "goldcrestgate/core/leasing/configuration_exchange.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// The store answers a read without a new record after 800 ms; after this time
/// without an answer, other instances are asked.
constexpr duration read_overdue = std::chrono::milliseconds{1000};

/// Time for which a new instance waits for the store.
constexpr duration first_read_wait = std::chrono::milliseconds{200};

/// Time in which an instance that the store serves reads a version that
/// another instance has already read.
constexpr duration own_read_wait = std::chrono::milliseconds{500};

/// Minimum time between two queries of an instance.
constexpr duration query_interval = std::chrono::milliseconds{100};

/// A peer that has not answered within this time is passed over.
constexpr duration status_timeout = std::chrono::milliseconds{250};

/// A document of 256 KiB takes 110 ms on the slowest links, of 19 Mbit/s, and
/// the sender may have others to send.
constexpr duration document_timeout = std::chrono::milliseconds{1500};

/// Time before a peer that did not send the document is asked for it again.
constexpr duration document_retry_delay = std::chrono::milliseconds{500};

/// Documents that an instance sends within @ref grant_period; the slowest links
/// transfer 1.2 MB in that time.
constexpr std::size_t grant_bytes = std::size_t{1024} * 1024;
constexpr duration grant_period = std::chrono::milliseconds{500};

} // namespace

configuration_exchange::configuration_exchange(instance_id self, time_point now)
    : started_at_(now)
    , turn_(self)
{
}

void configuration_exchange::applied(std::uint64_t version)
{
    version_ = version;
    if (version_ >= newest_reported_)
    {
        behind_since_.reset();
    }
}

void configuration_exchange::store_read(time_point as_of)
{
    store_read_at_ = std::max(store_read_at_.value_or(as_of), as_of);
    confirmed_at_ = std::max(confirmed_at_.value_or(as_of), as_of);
}

void configuration_exchange::heard(instance_id peer, std::uint64_t version,
                                   time_point now)
{
    auto const known = peers_.find(peer);
    if (known == peers_.end())
    {
        return;
    }
    known->second.version = version;
    newest_reported_ = std::max(newest_reported_, version);
    if (version > version_ && !behind_since_)
    {
        behind_since_ = now;
    }
}

void configuration_exchange::connected(instance_id peer)
{
    peers_.insert_or_assign(peer, peer_state{});
}

void configuration_exchange::lost(instance_id peer)
{
    peers_.erase(peer);
    if (open_ && open_->peer == peer)
    {
        open_.reset();
    }
}

std::optional<send_configuration_query>
configuration_exchange::tick(time_point now)
{
    expire_query(now);
    if (open_ || now - asked_at_ < query_interval)
    {
        return std::nullopt;
    }
    auto const overdue_at = store_read_at_ ? *store_read_at_ + read_overdue
                                           : started_at_ + first_read_wait;
    bool const is_store_overdue = now >= overdue_at;
    bool const is_late = behind_since_ && now - *behind_since_ >= own_read_wait;
    if (is_store_overdue || is_late)
    {
        auto const source = document_source(now);
        if (source != peers_.end())
        {
            return ask(source->first, true, now);
        }
    }
    auto const known_age = age(now);
    bool const is_outdated =
        !known_age || *known_age >= read_overdue || newest_reported_ > version_;
    if (is_store_overdue && is_outdated)
    {
        auto const next = next_in_turn(
            [](peer_state const&)
            {
                return true;
            });
        if (next != peers_.end())
        {
            return ask(next->first, false, now);
        }
    }
    return std::nullopt;
}

void configuration_exchange::expire_query(time_point now)
{
    if (!open_)
    {
        return;
    }
    auto const timeout =
        open_->wants_document ? document_timeout : status_timeout;
    if (now - open_->sent_at < timeout)
    {
        return;
    }
    auto const peer = peers_.find(open_->peer);
    if (peer != peers_.end())
    {
        peer->second.document_retry_at = now + document_retry_delay;
    }
    advance_turn(open_->peer);
    open_.reset();
}

configuration_exchange::peer_map::iterator
configuration_exchange::document_source(time_point now)
{
    return next_in_turn(
        [this, now](peer_state const& peer)
        {
            return peer.version > version_ && now >= peer.document_retry_at;
        });
}

template <typename Condition>
configuration_exchange::peer_map::iterator
configuration_exchange::next_in_turn(Condition const& condition)
{
    auto const first = peers_.lower_bound(turn_);
    auto const meets = [&condition](auto const& entry)
    {
        return condition(entry.second);
    };
    auto const found = std::find_if(first, peers_.end(), meets);
    if (found != peers_.end())
    {
        return found;
    }
    auto const wrapped = std::find_if(peers_.begin(), first, meets);
    return wrapped == first ? peers_.end() : wrapped;
}

void configuration_exchange::advance_turn(instance_id asked)
{
    turn_ = instance_id{asked.value() + 1};
}

send_configuration_query configuration_exchange::ask(instance_id peer,
                                                     bool wants_document,
                                                     time_point now)
{
    open_ = open_query{peer, ++last_number_, wants_document, now};
    asked_at_ = now;
    return {peer, {last_number_, version_, wants_document}};
}

bool configuration_exchange::grants_document(configuration_query const& query,
                                             std::size_t document_bytes,
                                             time_point now)
{
    if (!query.wants_document || query.version >= version_)
    {
        return false;
    }
    if (now - grants_began_at_ >= grant_period)
    {
        grants_began_at_ = now;
        granted_bytes_ = 0;
    }
    bool const fits =
        granted_bytes_ == 0 || granted_bytes_ + document_bytes <= grant_bytes;
    granted_bytes_ += fits ? document_bytes : 0;
    return fits;
}

void configuration_exchange::report_received(instance_id peer,
                                             configuration_report const& report,
                                             bool is_as_recent, time_point now)
{
    heard(peer, report.version, now);
    bool const answers_query =
        open_ && open_->peer == peer && open_->number == report.number;
    if (!answers_query)
    {
        return;
    }
    auto const known = peers_.find(peer);
    bool const is_refused = open_->wants_document && report.version > version_;
    if (is_refused && known != peers_.end())
    {
        known->second.document_retry_at = now + document_retry_delay;
    }
    bool const confirms =
        report.version == version_ && report.age && is_as_recent;
    if (confirms)
    {
        auto const as_of = open_->sent_at - *report.age;
        confirmed_at_ = std::max(confirmed_at_.value_or(as_of), as_of);
    }
    // A peer that has been read recently is asked again.
    bool const is_recent = confirms && *report.age < read_overdue;
    if (is_refused || (!is_recent && report.version <= version_))
    {
        advance_turn(peer);
    }
    open_.reset();
}

std::optional<duration> configuration_exchange::age(time_point now) const
{
    return confirmed_at_ ? std::optional{now - *confirmed_at_} : std::nullopt;
}

} // namespace goldcrestgate::core
