#pragma once

#include "goldcrestgate/core/ids.hpp"

#include <cstdint>
#include <set>

namespace goldcrestgate::core
{

/// @brief The failure domains whose executors get no new tasks, by an
/// operator's request.
struct evacuations
{
    /// Rises with each change; a state with a higher version is newer.
    std::uint64_t version = 0;
    std::set<domain_id> domains;

    /// @brief Replaces the state by another one if that is newer.
    ///
    /// An instance that cannot reach the platform learns of an evacuation from
    /// the others in this way, and one that has restarted does not fall back to
    /// an earlier state.
    /// @return whether the set of domains has changed
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    bool adopt(evacuations const& other)
    {
        if (other.version <= version)
        {
            return false;
        }
        bool const changed = other.domains != domains;
        *this = other;
        return changed;
    }

    /// @brief Returns whether a failure domain is being evacuated.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] bool contains(domain_id domain) const
    {
        return domains.contains(domain);
    }

    friend bool operator==(evacuations const&, evacuations const&) = default;
};

} // namespace goldcrestgate::core
