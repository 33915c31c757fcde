#include "goldcrestgate/app/entry/topic_watch.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// Time for an answer beyond the wait for a record: the store answers in 4 ms
/// and is still of use when it is a hundred times slower.
constexpr core::duration answer_time = std::chrono::milliseconds{700};

/// Pauses after a failed read. A configuration has to be in force within 2 s
/// of its publication, also right after an outage.
constexpr core::duration first_retry_delay = std::chrono::milliseconds{150};
constexpr core::duration longest_retry_delay = std::chrono::milliseconds{600};

} // namespace

topic_watch::topic_watch(io::event_loop& loop, adapter::store_client& store,
                         adapter::topic topic, topic_pace pace,
                         topic_sinks sinks)
    : store_(store)
    , topic_(topic)
    , pace_(pace)
    , sinks_(std::move(sinks))
    , next_(loop,
            [this]
            {
                read_next();
            })
    , retry_delay_(first_retry_delay)
{
}

void topic_watch::start()
{
    read_next();
}

void topic_watch::set_pace(topic_pace pace)
{
    bool const faster = pace.pause < pace_.pause;
    pace_ = pace;
    if (faster && next_.running())
    {
        next_.start_after(pace_.pause);
    }
}

void topic_watch::refresh()
{
    if (next_.running())
    {
        next_.start_after({});
    }
    else
    {
        read_again_ = true;
    }
}

void topic_watch::read_next()
{
    auto handle = [this, alive = alive_](adapter::topic_result const& result)
    {
        if (*alive)
        {
            on_result(result);
        }
    };
    if (offset_)
    {
        store_.read(topic_, *offset_, pace_.wait, pace_.wait + answer_time,
                    std::move(handle));
    }
    else
    {
        store_.read_snapshot(topic_, answer_time, std::move(handle));
    }
}

void topic_watch::on_result(adapter::topic_result const& result)
{
    if (auto const* const failure = std::get_if<core::error>(&result))
    {
        on_failure(*failure);
        return;
    }
    if (!std::exchange(reachable_, true))
    {
        sinks_.regained();
    }
    retry_delay_ = first_retry_delay;
    if (std::holds_alternative<adapter::records_expired>(result))
    {
        offset_.reset();
        read_next();
        return;
    }
    auto const& page = std::get<adapter::topic_page>(result);
    bool const is_first = !offset_;
    offset_ = page.next_offset;
    if (is_first)
    {
        sinks_.newest(page);
    }
    else if (!page.records.empty() || page.malformed_records > 0)
    {
        sinks_.appended(page);
    }
    next_.start_after(std::exchange(read_again_, false) ? core::duration{}
                                                        : pace_.pause);
}

void topic_watch::on_failure(core::error const& failure)
{
    if (std::exchange(reachable_, false))
    {
        sinks_.failed(failure);
    }
    next_.start_after(retry_delay_);
    retry_delay_ = std::min(retry_delay_ * 2, longest_retry_delay);
}

} // namespace goldcrestgate::app
