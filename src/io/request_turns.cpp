#include "goldcrestgate/io/detail/request_turns.hpp"

#include <utility>

namespace goldcrestgate::io::detail
{

request_turns::request_turns(event_loop& loop, turn_limits limits)
    : loop_(loop)
    , limits_(limits)
    , end_iteration_(std::make_shared<handler>(
          [this]
          {
              end_iteration();
          }))
    , handle_waiting_(std::make_shared<handler>(
          [this]
          {
              handle_waiting();
          }))
{
    loop_.at_iteration_end(end_iteration_);
}

bool request_turns::is_small(std::size_t bytes) const
{
    return bytes <= limits_.small_request_bytes;
}

bool request_turns::has_room_for(std::size_t bytes) const
{
    return handled_requests_ == 0 || (handled_requests_ < limits_.requests &&
                                      handled_bytes_ + bytes <= limits_.bytes);
}

void request_turns::take(std::size_t bytes, handler handle)
{
    bool const is_first = small_.empty() && (is_small(bytes) || large_.empty());
    if (is_first && has_room_for(bytes))
    {
        handle_now(bytes, handle);
        return;
    }
    (is_small(bytes) ? small_ : large_).push_back({bytes, std::move(handle)});
}

void request_turns::handle_now(std::size_t bytes, handler const& handle)
{
    ++handled_requests_;
    handled_bytes_ += bytes;
    handle();
}

void request_turns::handle_first(std::deque<waiting_request>& queue)
{
    auto const first = std::move(queue.front());
    queue.pop_front();
    handle_now(first.bytes, first.handle);
}

void request_turns::handle_waiting()
{
    while (!small_.empty() && has_room_for(small_.front().bytes))
    {
        handle_first(small_);
    }
    // Small requests alone could use up each iteration.
    if (!large_.empty())
    {
        handle_first(large_);
    }
}

void request_turns::end_iteration()
{
    handled_requests_ = 0;
    handled_bytes_ = 0;
    if (waiting() == 0)
    {
        return;
    }
    // Posted functions run after the sockets of an iteration and before its
    // timers.
    loop_.post(
        [weak = std::weak_ptr{handle_waiting_}]
        {
            if (auto const handle = weak.lock())
            {
                (*handle)();
            }
        });
}

} // namespace goldcrestgate::io::detail
