#pragma once

#include "goldcrestgate/core/routing/service_time_model.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace goldcrestgate::core
{

/// @brief The servers in order of speed for one service, with the set of those
/// that can be used now.
///
/// The set is a two-level bitmap in speed order whose second level marks the
/// non-empty words, so that finding the fastest usable server takes the same
/// number of steps at 50 and at 677 servers.
class server_order
{
public:
    /// @brief Sorts the servers again and clears the set.
    /// @param log_factors the key of each server; the smallest is the fastest
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void rebuild(std::span<float const> log_factors);

    /// @brief Adds a server to the set or removes it.
    /// @pre @a server is less than the number of servers at the last rebuild
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set(server_index server, bool usable);

    /// @brief Returns the fastest server of the set at a rank or after it.
    /// @param rank 0 for the fastest, or the rank after an earlier result
    /// @return the rank, or nothing
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<std::uint32_t>
    next_usable(std::uint32_t rank) const;

    /// @brief Returns the server at a rank.
    /// @pre @a rank came from @ref next_usable
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] server_index at(std::uint32_t rank) const;

    /// @brief Returns the number of servers at the last rebuild.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::size_t size() const;

private:
    std::vector<server_index> by_rank_;
    std::vector<std::uint32_t> rank_of_;
    std::vector<std::uint64_t> words_;
    /// One bit for each word that is not zero.
    std::vector<std::uint64_t> summary_;
};

} // namespace goldcrestgate::core
