#pragma once

#include "goldcrestgate/core/leasing/job_messages.hpp"

#include <cstdint>

namespace goldcrestgate::core
{

/// @brief Whether the list of executors that an instance has is complete: it
/// has every executor on which an owner of the failure domain may have runs.
///
/// A list is complete if the owner's complete list was received, or if the
/// owner has read all entries itself. An owner that has claimed without either,
/// such as a restarted instance that cannot reach the store, uses a list that
/// may lack executors or be empty; its successors must not count it as
/// complete.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class roster_status
{
public:
    /// @brief Handles the term of a live owner of the failure domain.
    void owner_seen(std::uint64_t term);

    /// @brief Handles the list of an owner.
    /// @return whether the list replaces the known one; otherwise, its
    /// executors are added. Nothing is to be done for the list of an earlier
    /// owner, see @ref is_current.
    /// @pre @ref is_current
    bool received(executor_roster const& roster);

    /// @brief Returns whether a list is not that of an earlier owner.
    [[nodiscard]] bool is_current(executor_roster const& roster) const
    {
        return roster.term >= last_owner_term_;
    }

    /// @brief Handles a claim of this instance.
    /// @return whether the list is complete at the claim
    bool claimed(std::uint64_t term);

    /// @brief Handles that this instance, as the owner, has read all entries.
    void entries_read()
    {
        complete_term_ = last_owner_term_;
    }

    /// @brief Handles that the list is no longer kept up to date.
    void outdated()
    {
        complete_term_ = 0;
    }

    /// @brief Returns whether the list is complete for the last owner.
    [[nodiscard]] bool complete() const
    {
        return complete_term_ != 0 && complete_term_ >= last_owner_term_;
    }

private:
    /// Highest term of an owner that is known.
    std::uint64_t last_owner_term_ = 0;
    /// Term of the owner whose complete list is known; 0 if there is none.
    std::uint64_t complete_term_ = 0;
};

} // namespace goldcrestgate::core
