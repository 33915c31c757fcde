#include "goldcrestgate/io/event_loop.hpp"

#include <h2o.h>

#include <algorithm>
#include <chrono>

namespace goldcrestgate::io
{

namespace
{

/// Longest wait of an idle loop; bounds the delay caused by a lost wake-up.
constexpr core::duration max_idle_wait = std::chrono::seconds{1};

} // namespace

event_loop::event_loop()
    : loop_(h2o_evloop_create())
{
}

// h2o cannot free a loop together with its closed sockets, so the memory of the
// loop stays allocated until the process exits.
event_loop::~event_loop() = default;

core::time_point event_loop::now() const
{
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return core::time_point{std::chrono::duration_cast<core::duration>(since)};
}

st_h2o_evloop_t* event_loop::native() const
{
    return loop_;
}

void event_loop::run()
{
    stopped_ = false;
    while (!stopped_)
    {
        run_once(max_idle_wait);
    }
}

void event_loop::run_once(core::duration max_wait)
{
    // Writes made outside of h2o's callbacks leave notifications that the next
    // h2o_evloop_run delivers, so it must not wait if any function ran here.
    bool const ran = run_due();
    auto const wait = ran ? core::duration{0} : wait_limit(max_wait);
    auto const wait_ms = std::chrono::ceil<std::chrono::milliseconds>(wait);
    h2o_evloop_run(loop_, static_cast<std::int32_t>(wait_ms.count()));
}

void event_loop::stop()
{
    stopped_ = true;
}

void event_loop::post(std::function<void()> work)
{
    posted_.push_back(std::move(work));
}

core::duration event_loop::wait_limit(core::duration max_wait) const
{
    if (!posted_.empty())
    {
        return core::duration{0};
    }
    if (timers_.empty())
    {
        return max_wait;
    }
    auto const remaining = timers_.begin()->first - now();
    return std::clamp(remaining, core::duration{0}, max_wait);
}

bool event_loop::run_due()
{
    bool ran = false;
    auto const posted = std::exchange(posted_, {});
    for (auto const& work : posted)
    {
        work();
        ran = true;
    }
    auto const current_time = now();
    while (!timers_.empty() && timers_.begin()->first <= current_time)
    {
        timer* const due_timer = timers_.begin()->second;
        timers_.erase(timers_.begin());
        due_timer->running_ = false;
        // Copied because the function may destroy the timer.
        auto const callback = due_timer->on_expiry_;
        callback();
        ran = true;
    }
    return ran;
}

timer::timer(event_loop& loop, std::function<void()> on_expiry)
    : loop_(loop)
    , on_expiry_(std::move(on_expiry))
{
}

timer::~timer()
{
    cancel();
}

void timer::start_at(core::time_point when)
{
    cancel();
    when_ = when;
    loop_.timers_.emplace(when_, this);
    running_ = true;
}

void timer::start_after(core::duration delay)
{
    start_at(loop_.now() + delay);
}

void timer::cancel()
{
    if (running_)
    {
        loop_.timers_.erase({when_, this});
        running_ = false;
    }
}

} // namespace goldcrestgate::io
