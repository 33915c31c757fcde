#pragma once

#include "goldcrestgate/core/time.hpp"

#include <exception>
#include <functional>
#include <memory>
#include <set>
#include <utility>
#include <vector>

struct st_h2o_evloop_t;

namespace goldcrestgate::io
{

class timer;

namespace detail
{
struct due_work_trigger;
} // namespace detail

/// @brief Drives all sockets and timers of one thread.
///
/// @par Thread safety
/// All members must be called on the thread that created the loop.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /// @brief Returns the current monotonic time, which also counts the time
    /// for which the machine was suspended.
    [[nodiscard]] core::time_point now() const;

    /// @brief Returns a time before which the input that is handled now had not
    /// arrived, also if the process was paused meanwhile.
    [[nodiscard]] core::time_point input_since() const
    {
        return previous_turn_;
    }

    /// @brief Runs until @ref stop is called.
    void run();

    /// @brief Runs one iteration: socket events, for which it waits at most
    /// @a max_wait, posted functions, and expired timers.
    void run_once(core::duration max_wait);

    /// @brief Makes @ref run return after the current iteration.
    void stop();

    /// @brief Calls @a work in the next iteration of the loop.
    ///
    /// Use it where an object of h2o must not be destroyed or reused before
    /// the h2o callback that is running has returned.
    void post(std::function<void()> work);

    /// @brief Calls a function at the end of each iteration, after all socket
    /// events and timers, until it is destroyed. It must not write to sockets
    /// or close them.
    void at_iteration_end(std::weak_ptr<std::function<void()>> work);

    /// Receives an exception that a callback has thrown.
    using fault_sink = std::function<void(std::exception const&)>;

    /// @brief Sets the function that reports exceptions of callbacks; the loop
    /// goes on after it. Without one, they are ignored.
    void on_fault(fault_sink report);

    /// Receives the time by which the loop is late.
    using stall_sink = std::function<void(core::duration)>;

    /// @brief Sets a function that is called before any other function, also
    /// those that handle socket events, if a timer is overdue by more than
    /// @a limit, as after a pause of the process.
    void on_stall(core::duration limit, stall_sink report);

    /// @brief Calls a function and reports the exception that it throws. A
    /// stall is reported before.
    /// @return whether it returned without an exception
    bool run_guarded(std::function<void()> const& work);

    /// @brief Returns h2o's handle of the loop.
    [[nodiscard]] st_h2o_evloop_t* native() const;

private:
    friend class timer;

    [[nodiscard]] core::duration wait_limit(core::duration max_wait) const;
    [[nodiscard]] bool has_due() const;
    void run_due();
    void check_stall();

    st_h2o_evloop_t* loop_;
    bool stopped_ = false;
    /// Starts of the present and the previous iteration. Work that socket
    /// events post runs in the iteration after theirs.
    core::time_point turn_{};
    core::time_point previous_turn_{};
    std::set<std::pair<core::time_point, timer*>> timers_;
    std::vector<std::function<void()>> posted_;
    std::vector<std::weak_ptr<std::function<void()>>> iteration_end_;
    fault_sink report_fault_;
    core::duration stall_limit_ = core::duration::max();
    stall_sink report_stall_;
    /// Time of the last report; the timer stays overdue until it is run.
    core::time_point stall_reported_at_{};
    std::unique_ptr<detail::due_work_trigger> trigger_;
};

/// @brief Calls a function once at a later time.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class timer
{
public:
    /// @brief Creates a timer that is not running.
    /// @pre @a loop outlives the timer
    timer(event_loop& loop, std::function<void()> on_expiry);
    ~timer();
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;

    /// @brief Starts the timer; a running one is rescheduled.
    void start_at(core::time_point when);

    /// @brief Starts the timer; a running one is rescheduled.
    void start_after(core::duration delay);

    /// @brief Stops the timer; no effect if it is not running.
    void cancel();

    /// @brief Returns whether the timer is running.
    [[nodiscard]] bool running() const
    {
        return running_;
    }

private:
    friend class event_loop;

    event_loop& loop_;
    std::function<void()> on_expiry_;
    core::time_point when_;
    bool running_ = false;
};

} // namespace goldcrestgate::io
