#include "goldcrestgate/core/admission/request_budget.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

/// Time before the rate of a body is measured, and of each measurement. Shorter
/// ones would take the retransmission of a lost packet for a slow sender.
constexpr duration rate_window = std::chrono::seconds{2};

/// Longest time between two calls of `expire` in which the process could
/// receive what had been sent.
constexpr duration max_expiry_gap = std::chrono::seconds{1};

/// Age from which an unread response counts against its connection when a new
/// one needs its place; the kernel takes a response at once if there is room.
constexpr duration unread_response_age = std::chrono::seconds{1};

std::size_t least_bytes(std::size_t rate, duration time)
{
    return static_cast<std::size_t>(std::chrono::duration<double>(time) /
                                    std::chrono::seconds{1} *
                                    static_cast<double>(rate));
}

} // namespace

std::string_view to_string(removal_reason reason)
{
    switch (reason)
    {
    case removal_reason::budget_exhausted:
        return "budget_exhausted";
    case removal_reason::connection_limit:
        return "connection_limit";
    case removal_reason::headers_too_large:
        return "headers_too_large";
    case removal_reason::headers_late:
        return "headers_late";
    case removal_reason::body_slow:
        return "body_slow";
    case removal_reason::request_late:
        return "request_late";
    case removal_reason::response_unread:
        return "response_unread";
    case removal_reason::idle:
        return "idle";
    }
    return "unknown";
}

request_budget::request_budget(request_limits limits)
    : limits_(limits)
{
}

request_budget::handle request_budget::open(std::uint64_t id, time_point now)
{
    return idle_.insert(idle_.end(), {id, phase::idle, now, 0, now, 0});
}

void request_budget::close(handle closed)
{
    set_bytes(closed, 0);
    list_of(closed->phase).erase(closed);
}

void request_budget::receive(handle changed, std::size_t bytes,
                             bool head_complete, time_point now)
{
    bool const is_incomplete =
        changed->phase == phase::head || changed->phase == phase::body;
    set_bytes(changed, bytes);
    if (bytes == 0 && changed->phase != phase::idle)
    {
        changed->since = now;
        move_to(changed, phase::idle);
    }
    else if (bytes > 0 && !is_incomplete)
    {
        changed->since = now;
        changed->window_start = now;
        changed->window_bytes = bytes;
        move_to(changed, phase::head);
    }
    if (head_complete && changed->phase == phase::head)
    {
        changed->phase = phase::body;
    }
}

void request_budget::complete(handle changed, std::size_t bytes)
{
    set_bytes(changed, bytes);
    if (changed->phase != phase::complete)
    {
        move_to(changed, phase::complete);
    }
}

void request_budget::answer(handle changed, time_point now)
{
    if (changed->phase != phase::answered)
    {
        changed->since = now;
        move_to(changed, phase::answered);
    }
}

bool request_budget::rejects(handle completed) const
{
    return completed->bytes > limits_.small_request_bytes &&
           complete_bytes_ > limits_.budget_bytes;
}

void request_budget::excess(std::vector<connection_removal>& out) const
{
    auto remaining = open_bytes_;
    for (auto const& oldest : incomplete_)
    {
        if (remaining <= limits_.budget_bytes)
        {
            return;
        }
        out.push_back({oldest.id, removal_reason::budget_exhausted});
        remaining -= oldest.bytes;
    }
}

std::optional<connection_removal>
request_budget::longest_waiting(time_point now) const
{
    connection const* longest = nullptr;
    for (auto const* list : {&idle_, &incomplete_})
    {
        if (!list->empty() &&
            (longest == nullptr || list->front().since < longest->since))
        {
            longest = &list->front();
        }
    }
    if (longest == nullptr && !answered_.empty() &&
        now - answered_.front().since >= unread_response_age)
    {
        longest = &answered_.front();
    }
    if (longest == nullptr)
    {
        return std::nullopt;
    }
    return connection_removal{longest->id,
                              longest->phase == phase::answered
                                  ? removal_reason::response_unread
                                  : removal_reason::connection_limit};
}

void request_budget::expire(time_point now,
                            std::vector<connection_removal>& out)
{
    auto const previous = last_expiry_.value_or(now);
    last_expiry_ = now;
    if (now - previous > max_expiry_gap)
    {
        restart_times(now);
        return;
    }
    auto const expire_list =
        [&](connection_list const& list, duration limit, removal_reason reason)
    {
        for (auto const& open : list)
        {
            if (now - open.since < limit)
            {
                return;
            }
            out.push_back({open.id, reason});
        }
    };
    expire_list(idle_, limits_.idle_timeout, removal_reason::idle);
    expire_list(answered_, limits_.response_timeout,
                removal_reason::response_unread);
    for (auto& open : incomplete_)
    {
        if (auto const reason = check_incomplete(open, now))
        {
            out.push_back({open.id, *reason});
        }
    }
}

std::optional<removal_reason>
request_budget::check_incomplete(connection& checked, time_point now) const
{
    auto const age = now - checked.since;
    if (age >= limits_.request_timeout)
    {
        return removal_reason::request_late;
    }
    if (checked.phase == phase::head)
    {
        if (checked.bytes > limits_.head_limit_bytes)
        {
            return removal_reason::headers_too_large;
        }
        return age >= limits_.head_timeout
                   ? std::optional{removal_reason::headers_late}
                   : std::nullopt;
    }
    auto const measured = now - checked.window_start;
    if (measured < rate_window)
    {
        return std::nullopt;
    }
    bool const has_window = checked.window_start != checked.since;
    auto const received =
        checked.bytes - std::min(checked.bytes, checked.window_bytes);
    if (has_window &&
        received < least_bytes(limits_.least_body_rate_bytes_per_s, measured))
    {
        return removal_reason::body_slow;
    }
    checked.window_start = now;
    checked.window_bytes = checked.bytes;
    return std::nullopt;
}

void request_budget::restart_times(time_point now)
{
    for (auto* const list : {&idle_, &incomplete_, &answered_})
    {
        for (auto& open : *list)
        {
            open.since = now;
            open.window_start = now;
            open.window_bytes = open.bytes;
        }
    }
}

request_budget::connection_list& request_budget::list_of(phase of)
{
    switch (of)
    {
    case phase::idle:
        return idle_;
    case phase::head:
    case phase::body:
        return incomplete_;
    case phase::complete:
        return complete_;
    case phase::answered:
        return answered_;
    }
    return idle_;
}

void request_budget::move_to(handle moved, phase to)
{
    auto& target = list_of(to);
    target.splice(target.end(), list_of(moved->phase), moved);
    auto const counts = [](phase of)
    {
        return of == phase::complete || of == phase::answered;
    };
    complete_bytes_ -= counts(moved->phase) ? moved->bytes : 0;
    complete_bytes_ += counts(to) ? moved->bytes : 0;
    moved->phase = to;
}

void request_budget::set_bytes(handle changed, std::size_t bytes)
{
    open_bytes_ = open_bytes_ - changed->bytes + bytes;
    if (changed->phase == phase::complete || changed->phase == phase::answered)
    {
        complete_bytes_ = complete_bytes_ - changed->bytes + bytes;
    }
    changed->bytes = bytes;
}

} // namespace goldcrestgate::core
