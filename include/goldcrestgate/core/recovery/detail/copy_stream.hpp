#pragma once

#include "goldcrestgate/core/messages.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace goldcrestgate::core::detail
{

/// A record; a job's history and the queues of the members share it.
using record_ptr = std::shared_ptr<copy_record const>;
using record_list = std::vector<record_ptr>;

/// @brief The stream of records from the owner to one member of the copy set.
struct copy_stream
{
    struct entry
    {
        /// Position in the chain; 0 for a record of the catch-up.
        std::uint64_t position = 0;
        record_ptr record;
    };

    struct unacknowledged_batch
    {
        copy_batch batch;
        /// Position up to which the member holds all records once it has
        /// applied this batch.
        std::uint64_t end_position = 0;
        time_point sent_at{};
        time_point last_sent_at{};
    };

    /// Records that are not sent yet.
    std::deque<entry> queue;
    std::optional<unacknowledged_batch> in_flight;
    /// Position of the chain when the member joined, where its catch-up ends.
    std::uint64_t catch_up_end = 0;
    std::uint64_t acknowledged_position = 0;
    copy_epoch acknowledged_epoch;
    /// Whether the batch that starts the catch-up was sent, and whether it was
    /// acknowledged.
    bool first_batch_sent = false;
    bool first_batch_acknowledged = false;
    time_point last_ack{};
};

/// @brief Returns the approximate size of a record on the wire in bytes.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::size_t record_bytes(copy_record const& record);

/// @brief Returns the submission that a record is about.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] submission_id const& submission_of(copy_record const& record);

} // namespace goldcrestgate::core::detail
