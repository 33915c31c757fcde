#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/routing/service_time_model.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <optional>
#include <queue>
#include <span>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Tracks the slots of the servers that this instance may use now.
///
/// The live instances of a failure domain divide the slots of each server by
/// rank, in equal parts or in proportion to their open tasks. A slot beyond the
/// instance's share is used while the server's last reply showed it to be free,
/// if borrowing is allowed.
class slot_ledger
{
public:
    /// @brief Sets the slots of a server and marks it as live.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void add(server_index server, server_id id, std::uint32_t slots);

    /// @brief Removes a server.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void remove(server_index server);

    /// @brief Marks a server as leaving, or as live again.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_leaving(server_index server, bool leaving);

    /// @brief Divides the slots among instances.
    /// @pre @a rank is less than @a count
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_view(std::uint32_t rank, std::uint32_t count);

    /// @brief Divides the slots in proportion to the instances' open tasks.
    /// @param open_tasks open tasks of the live instances by rank
    /// @pre as many values as the count of the last @ref set_view; otherwise
    /// the call has no effect
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_demands(std::span<std::uint32_t const> open_tasks);

    /// @brief Allows or forbids the use of slots beyond this instance's share.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_borrowing(bool allowed);

    /// @brief Records that an attempt uses a slot.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void acquire(server_index server);

    /// @brief Records that an attempt has ended.
    /// @param reported the slots in use that the server reports
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void release(server_index server, std::optional<std::uint32_t> reported);

    /// @brief Resets the number of refusals in a row, as a server ran an
    /// attempt.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void reset_refusals(server_index server);

    /// @brief Removes free slots of a server from this instance's share, to
    /// transfer them to another one.
    /// @return the number of removed slots; less than wanted if fewer are free
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    std::uint32_t transfer_out(server_index server, std::uint32_t wanted);

    /// @brief Adds slots of a server that another instance transferred to this
    /// one.
    /// @return the number of added slots; less than wanted if the server has
    /// fewer slots beyond this instance's share
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    std::uint32_t transfer_in(server_index server, std::uint32_t wanted);

    /// @brief Returns the slots that this instance holds.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t held() const;

    /// @brief Returns the number of attempts that use slots.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t running() const;

    /// @brief Returns the held slots that no attempt uses.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t free() const;

    /// @brief Records that a server refused a start for lack of a slot; no
    /// start is allowed there for a backoff that doubles with each refusal in a
    /// row.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void record_refusal(server_index server, time_point now);

    /// @brief Removes one backoff that has expired.
    /// @return its server, which may be usable again
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    std::optional<server_index> pop_expired_backoff(time_point now);

    /// @brief Returns when the next backoff after a refusal expires.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point> next_backoff_end() const;

    /// @brief Returns whether a start on the server is allowed now.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool usable(server_index server) const;

    /// @brief Returns whether the server is neither removed nor leaving.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool live(server_index server) const;

    /// @brief Returns the slots of a server.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t slots(server_index server) const;

private:
    struct entry
    {
        server_id id;
        std::uint32_t slots = 0;
        std::uint32_t share = 0;
        std::uint32_t running = 0;
        /// Slots that other instances use, according to the last reply.
        std::uint32_t used_by_others = 0;
        std::uint32_t refusals = 0;
        bool present = false;
        bool leaving = false;
        bool blocked = false;
    };

    struct backoff
    {
        time_point at;
        server_index server = 0;

        friend bool operator>(backoff const& left, backoff const& right)
        {
            return left.at > right.at;
        }
    };

    void update_shares();
    void update_totals(entry const& server, int sign);
    [[nodiscard]] std::uint32_t share_of(entry const& server) const;

    std::vector<entry> servers_;
    std::priority_queue<backoff, std::vector<backoff>, std::greater<>>
        backoffs_;
    std::uint32_t rank_ = 0;
    std::uint32_t count_ = 1;
    std::uint32_t held_ = 0;
    std::uint32_t free_ = 0;
    std::uint32_t running_ = 0;
    /// The range of each server's slots that belongs to this instance, as
    /// fractions from 0 to 1.
    double share_begin_ = 0.0;
    double share_end_ = 1.0;
    bool borrowing_ = true;
};

} // namespace goldcrestgate::core
