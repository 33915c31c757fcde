#pragma once

#include "goldcrestgate/io/event_loop.hpp"
#include "platform/store_client.hpp"

#include <functional>
#include <memory>

namespace goldcrestgate::app
{

/// @brief How often a topic is read.
struct poll_timing
{
    /// Longest time that the store waits for a new record before it answers; 0
    /// to answer at once.
    core::duration long_poll_wait{};
    /// Delay between the end of a read and the start of the next one.
    core::duration delay{};
};

/// @brief A time during which no read of a topic succeeded.
struct read_outage
{
    /// Time from the start of the first failed read.
    core::duration length{};
    std::size_t failed_reads = 0;
};

/// @brief Callbacks for the records of a topic.
struct topic_callbacks
{
    /// The latest record of each key; replaces all records received before.
    std::function<void(adapter::topic_page const&)> on_snapshot;
    /// Records that were appended since the last read.
    std::function<void(adapter::topic_page const&)> on_appended;
    /// A read failed; not called again until a read has succeeded.
    std::function<void(core::error const&)> on_read_failed;
    /// A read has succeeded after failed ones.
    std::function<void(read_outage const&)> on_read_recovered;
    /// A read has succeeded, and its records have been handled; all records
    /// that were appended before the given time are known. May be empty.
    std::function<void(core::time_point)> on_read;
};

/// @brief Follows a topic of the store.
///
/// It reads a snapshot with the latest record of each key, then all later
/// records. It starts over with a snapshot after a pause, and when the store no
/// longer retains the records after its offset.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class topic_watch
{
public:
    /// @pre the arguments outlive the watch
    topic_watch(io::event_loop& loop, adapter::store_client& store,
                adapter::topic topic, poll_timing timing,
                topic_callbacks callbacks);

    /// @brief Starts or resumes reading; has no effect on a watch that reads
    /// already.
    void resume();

    /// @brief Stops reading; the result of the read in flight is discarded.
    ///
    /// A later @ref resume reads a snapshot. The records in between may be
    /// older than what the caller has learned from others meanwhile.
    void pause();

    /// @brief Returns whether the watch reads the topic.
    [[nodiscard]] bool active() const
    {
        return active_;
    }

    /// @brief Reads at once, or right after the read in flight.
    void refresh();

    /// @brief Returns whether the last read succeeded.
    [[nodiscard]] bool reachable() const
    {
        return reachable_;
    }

private:
    void read_next();
    void schedule_read(core::duration delay);
    void on_result(adapter::topic_result const& result);
    void on_failure(core::error const& failure);
    /// Time until which a read that has just ended has all records.
    [[nodiscard]] core::time_point read_as_of(adapter::topic_page const& page,
                                              bool is_snapshot) const;

    io::event_loop& loop_;
    adapter::store_client& store_;
    adapter::topic topic_;
    poll_timing timing_;
    topic_callbacks callbacks_;
    io::timer next_read_timer_;
    std::optional<std::uint64_t> next_offset_;
    core::duration retry_delay_{};
    bool active_ = false;
    bool read_in_flight_ = false;
    /// Whether the read in flight started before a pause.
    bool discard_result_ = false;
    bool refresh_requested_ = false;
    bool reachable_ = true;
    core::time_point read_started_at_{};
    core::time_point outage_began_at_{};
    std::size_t failed_reads_ = 0;
    /// Shared with the callbacks of reads in flight, which ignore their result
    /// if it is false.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace goldcrestgate::app
