#include "goldcrestgate/io/event_loop.hpp"

#include <h2o.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

namespace goldcrestgate::io
{

namespace
{

/// Longest wait of an idle loop; bounds the delay caused by a lost wake-up.
constexpr core::duration max_idle_wait = std::chrono::seconds{1};

} // namespace

namespace detail
{

/// @brief Lets h2o call the due functions of a loop.
///
/// h2o's loop expects that its list of pending write notifications is empty
/// when it polls. Functions that write to sockets must therefore run inside of
/// @c h2o_evloop_run: otherwise h2o frees a socket that was written to and
/// closed before the poll while the list still refers to it, and fails on a
/// write event of a socket whose notification was delivered without one.
struct due_work_trigger
{
    h2o_timeout_entry_t entry{};
    h2o_timeout_t timeout{};
    std::function<void()> run;

    static void on_due(h2o_timeout_entry_t* entry)
    {
        // The entry is the first member.
        reinterpret_cast<due_work_trigger*>(entry)->run();
    }
};

} // namespace detail

event_loop::event_loop()
    : loop_(h2o_evloop_create())
    , trigger_(std::make_unique<detail::due_work_trigger>())
{
    h2o_timeout_init(loop_, &trigger_->timeout, 0);
    trigger_->entry.cb = &detail::due_work_trigger::on_due;
    trigger_->run = [this]
    {
        run_due();
    };
}

// h2o cannot free a loop together with its closed sockets, so the memory of the
// loop stays allocated until the process exits.
event_loop::~event_loop()
{
    if (h2o_timeout_is_linked(&trigger_->entry) != 0)
    {
        h2o_timeout_unlink(&trigger_->entry);
    }
    h2o_timeout_dispose(loop_, &trigger_->timeout);
}

void event_loop::on_fault(fault_sink report)
{
    report_fault_ = std::move(report);
}

void event_loop::on_stall(core::duration limit, stall_sink report)
{
    stall_limit_ = limit;
    report_stall_ = std::move(report);
}

void event_loop::check_stall()
{
    if (!report_stall_ || timers_.empty())
    {
        return;
    }
    auto const due = timers_.begin()->first;
    auto const current_time = now();
    if (current_time - std::max(due, stall_reported_at_) <= stall_limit_)
    {
        return;
    }
    stall_reported_at_ = current_time;
    run_guarded(
        [this, lateness = current_time - due]
        {
            report_stall_(lateness);
        });
}

// Socket events are handled before due timers, so each function may be the
// first one after a pause.
bool event_loop::run_guarded(std::function<void()> const& work)
{
    check_stall();
    try
    {
        work();
        return true;
    }
    catch (std::exception const& fault)
    {
        if (report_fault_)
        {
            report_fault_(fault);
        }
        return false;
    }
}

core::time_point event_loop::now() const
{
    // The standard's steady clock stops while the machine is suspended, and
    // leases of other processes go on.
    timespec since{};
    clock_gettime(CLOCK_BOOTTIME, &since);
    return core::time_point{std::chrono::seconds{since.tv_sec} +
                            std::chrono::duration_cast<core::duration>(
                                std::chrono::nanoseconds{since.tv_nsec})};
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
    previous_turn_ = std::exchange(turn_, now());
    if (has_due() && h2o_timeout_is_linked(&trigger_->entry) == 0)
    {
        h2o_timeout_link(loop_, &trigger_->timeout, &trigger_->entry);
    }
    auto const wait_ms =
        std::chrono::ceil<std::chrono::milliseconds>(wait_limit(max_wait));
    h2o_evloop_run(loop_, static_cast<std::int32_t>(wait_ms.count()));
    for (auto const& work : iteration_end_)
    {
        if (auto const alive = work.lock())
        {
            (*alive)();
        }
    }
}

void event_loop::stop()
{
    stopped_ = true;
}

void event_loop::post(std::function<void()> work)
{
    posted_.push_back(std::move(work));
}

void event_loop::at_iteration_end(std::weak_ptr<std::function<void()>> work)
{
    iteration_end_.push_back(std::move(work));
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

bool event_loop::has_due() const
{
    return !posted_.empty() ||
           (!timers_.empty() && timers_.begin()->first <= now());
}

void event_loop::run_due()
{
    check_stall();
    auto const posted = std::exchange(posted_, {});
    for (auto const& work : posted)
    {
        run_guarded(work);
    }
    auto const current_time = now();
    while (!timers_.empty() && timers_.begin()->first <= current_time)
    {
        timer* const due_timer = timers_.begin()->second;
        timers_.erase(timers_.begin());
        due_timer->running_ = false;
        // Copied because the function may destroy the timer.
        auto const callback = due_timer->on_expiry_;
        run_guarded(callback);
    }
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
