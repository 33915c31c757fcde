#pragma once

#include "goldcrestgate/app/instance_settings.hpp"
#include "goldcrestgate/core/error.hpp"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace goldcrestgate::app
{

/// @brief One log line under construction.
///
/// @par Thread safety
/// Not safe; use a line on one thread only.
class log_line
{
public:
    /// @param event the stable snake_case name of the event
    log_line(log_level level, std::string_view event);

    // fields; each function returns the line for chaining

    /// @brief Adds a text field; omits the field if the value is not UTF-8.
    log_line& text(std::string_view name, std::string_view value);
    log_line& number(std::string_view name, std::int64_t value);
    log_line& flag(std::string_view name, bool value);

    /// @brief Adds the name, number, step, peer and message of an error.
    log_line& failure(core::error const& cause);

    [[nodiscard]] log_level level() const
    {
        return level_;
    }

    /// @brief Returns the line as JSON.
    /// @param at the timestamp of the line
    [[nodiscard]] std::string
    finish(std::chrono::system_clock::time_point at) const;

private:
    void append_name(std::string_view name);

    log_level level_;
    std::string fields_;
};

/// @brief Writes log lines to the standard output on a separate thread, so that
/// the calling thread never waits for output.
///
/// @par Thread safety
/// @ref write and @ref dropped are safe to call from any thread.
class logger
{
public:
    /// @brief Starts the writer thread.
    /// @param min_level lines below this level are discarded
    /// @param queue_limit maximum number of queued lines; further ones are
    /// dropped and counted
    logger(log_level min_level, std::size_t queue_limit);

    /// @brief Writes the queued lines and joins the writer thread.
    ~logger();
    logger(logger const&) = delete;
    logger& operator=(logger const&) = delete;

    /// @brief Queues a line; never blocks on output.
    void write(log_line const& line);

    /// @brief Returns the number of lines dropped because the queue was full.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    void run();

    log_level min_level_;
    std::size_t queue_limit_;
    mutable std::mutex mutex_;
    std::condition_variable queue_changed_;
    std::deque<std::string> queue_;
    std::uint64_t dropped_ = 0;
    bool stopping_ = false;
    std::thread writer_;
};

} // namespace goldcrestgate::app
