#pragma once

#include "goldcrestgate/io/event_loop.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <memory>

namespace goldcrestgate::app
{

/// @brief How a topic is followed.
struct topic_pace
{
    /// Longest time that the store waits for a record; 0 to poll.
    core::duration wait{};
    /// Pause between the end of a read and the next one.
    core::duration pause{};
};

/// @brief Receives the records of a topic.
struct topic_sinks
{
    /// The newest record of each key, in place of all that came before.
    std::function<void(adapter::topic_page const&)> newest;
    /// Records that were appended.
    std::function<void(adapter::topic_page const&)> appended;
    /// A read failed; called once until a read succeeds again.
    std::function<void(core::error const&)> failed;
    /// A read has succeeded after a failed one.
    std::function<void()> regained;
};

/// @brief Follows a topic of the store: reads the newest record of each key,
/// then all later records, and starts over when records were dropped.
///
/// @par Thread safety
/// All members are for the thread of the loop.
class topic_watch
{
public:
    /// @pre the arguments outlive the watch
    topic_watch(io::event_loop& loop, adapter::store_client& store,
                adapter::topic topic, topic_pace pace, topic_sinks sinks);

    /// @brief Begins to read.
    void start();

    /// @brief Reads at once, or right after the read that is in progress.
    void refresh();

    /// @brief Changes the pace from the next read on.
    void set_pace(topic_pace pace);

    /// @brief Returns whether the last read succeeded.
    [[nodiscard]] bool reachable() const
    {
        return reachable_;
    }

private:
    void read_next();
    void on_result(adapter::topic_result const& result);
    void on_failure(core::error const& failure);

    adapter::store_client& store_;
    adapter::topic topic_;
    topic_pace pace_;
    topic_sinks sinks_;
    io::timer next_;
    std::optional<std::uint64_t> offset_;
    core::duration retry_delay_{};
    bool read_again_ = false;
    bool reachable_ = true;
    /// Tells the answers of open calls that the watch is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace goldcrestgate::app
