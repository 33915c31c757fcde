#include "goldcrestgate/app/entry/topic_watch.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// Timeout of a read in addition to its long-poll wait. The store normally
/// answers in 4 ms; the timeout also suffices if it is a hundred times slower.
constexpr core::duration answer_timeout = std::chrono::milliseconds{700};

/// Bounds of the backoff after failed reads. They are short, as a configuration
/// has to be in force within 2 s of its publication, even right after an
/// outage.
constexpr core::duration initial_retry_delay = std::chrono::milliseconds{150};
constexpr core::duration max_retry_delay = std::chrono::milliseconds{600};

} // namespace

topic_watch::topic_watch(io::event_loop& loop, adapter::store_client& store,
                         adapter::topic topic, poll_timing timing,
                         topic_callbacks callbacks)
    : loop_(loop)
    , store_(store)
    , topic_(topic)
    , timing_(timing)
    , callbacks_(std::move(callbacks))
    , next_read_timer_(loop,
                       [this]
                       {
                           read_next();
                       })
    , retry_delay_(initial_retry_delay)
{
}

void topic_watch::resume()
{
    if (std::exchange(active_, true) || read_in_flight_)
    {
        return;
    }
    read_next();
}

void topic_watch::pause()
{
    active_ = false;
    next_read_timer_.cancel();
    next_offset_.reset();
    discard_result_ = read_in_flight_;
}

void topic_watch::refresh()
{
    if (next_read_timer_.running())
    {
        next_read_timer_.start_after({});
    }
    else
    {
        refresh_requested_ = true;
    }
}

void topic_watch::schedule_read(core::duration delay)
{
    if (active_)
    {
        next_read_timer_.start_after(delay);
    }
}

void topic_watch::read_next()
{
    read_in_flight_ = true;
    read_started_at_ = loop_.now();
    auto on_answer = [this, alive = alive_](adapter::topic_result const& result)
    {
        if (*alive)
        {
            on_result(result);
        }
    };
    if (next_offset_)
    {
        store_.read(topic_, *next_offset_, timing_.long_poll_wait,
                    timing_.long_poll_wait + answer_timeout,
                    std::move(on_answer));
    }
    else
    {
        store_.read_snapshot(topic_, answer_timeout, std::move(on_answer));
    }
}

void topic_watch::on_result(adapter::topic_result const& result)
{
    read_in_flight_ = false;
    if (auto const* const failure = std::get_if<core::error>(&result))
    {
        on_failure(*failure);
        return;
    }
    if (!std::exchange(reachable_, true))
    {
        callbacks_.on_read_recovered(
            {loop_.now() - outage_began_at_, std::exchange(failed_reads_, 0)});
    }
    retry_delay_ = initial_retry_delay;
    if (std::exchange(discard_result_, false))
    {
        schedule_read({});
        return;
    }
    if (std::holds_alternative<adapter::records_expired>(result))
    {
        next_offset_.reset();
        schedule_read({});
        return;
    }
    auto const& page = std::get<adapter::topic_page>(result);
    bool const is_snapshot = !next_offset_;
    auto const as_of = read_as_of(page, is_snapshot);
    next_offset_ = page.next_offset;
    // Scheduled before the callbacks, so that an exception does not end the
    // watch.
    schedule_read(std::exchange(refresh_requested_, false) ? core::duration{}
                                                           : timing_.delay);
    if (is_snapshot)
    {
        callbacks_.on_snapshot(page);
    }
    else if (!page.records.empty() || page.malformed_records > 0)
    {
        callbacks_.on_appended(page);
    }
    if (callbacks_.on_read)
    {
        callbacks_.on_read(as_of);
    }
}

// The store answers without a record only after the wait, which it begins when
// it receives the request.
core::time_point topic_watch::read_as_of(adapter::topic_page const& page,
                                         bool is_snapshot) const
{
    bool const has_waited =
        !is_snapshot && page.records.empty() && page.malformed_records == 0 &&
        loop_.now() - read_started_at_ >= timing_.long_poll_wait;
    return has_waited ? read_started_at_ + timing_.long_poll_wait
                      : read_started_at_;
}

void topic_watch::on_failure(core::error const& failure)
{
    discard_result_ = false;
    ++failed_reads_;
    if (std::exchange(reachable_, false))
    {
        outage_began_at_ = read_started_at_;
        callbacks_.on_read_failed(failure);
    }
    schedule_read(retry_delay_);
    retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
}

} // namespace goldcrestgate::app
