#pragma once

#include "goldcrestgate/core/time.hpp"

#include <functional>
#include <set>
#include <utility>
#include <vector>

struct st_h2o_evloop_t;

namespace goldcrestgate::io
{

class timer;

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

    /// @brief Returns the current monotonic time.
    [[nodiscard]] core::time_point now() const;

    /// @brief Runs until @ref stop is called.
    void run();

    /// @brief Runs one iteration: posted functions, expired timers, and socket
    /// events, for which it waits at most @a max_wait.
    void run_once(core::duration max_wait);

    /// @brief Makes @ref run return after the current iteration.
    void stop();

    /// @brief Calls @a work in the next iteration of the loop.
    ///
    /// Use it where an object of h2o must not be destroyed or reused before
    /// the h2o callback that is running has returned.
    void post(std::function<void()> work);

    /// @brief Returns h2o's handle of the loop.
    [[nodiscard]] st_h2o_evloop_t* native() const;

private:
    friend class timer;

    [[nodiscard]] core::duration wait_limit(core::duration max_wait) const;
    bool run_due();

    st_h2o_evloop_t* loop_;
    bool stopped_ = false;
    std::set<std::pair<core::time_point, timer*>> timers_;
    std::vector<std::function<void()>> posted_;
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
