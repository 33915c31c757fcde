#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/time.hpp"

#include <map>
#include <optional>

namespace goldcrestgate::core
{

/// @brief Relation of an instance to a peer, as far as it decides how often
/// they exchange heartbeats.
struct peer_relation
{
    bool same_domain = false;
    /// Whether the instance knows a live owner of its own failure domain.
    bool owner_known = false;
    /// Whether the instance owns the executors of its failure domain.
    bool self_owns = false;
    /// Whether the peer owns the executors of its failure domain.
    bool peer_owns = false;
    /// Whether both are designated successors of the same owner.
    bool both_successors = false;
    /// Whether one of them runs jobs for callers of the other.
    bool shares_jobs = false;
};

/// @brief Returns the interval of the heartbeats to a peer.
///
/// Intended for hundreds of instances on small machines: an instance sends
/// frequent heartbeats only to the owner of its failure domain, so their number
/// does not grow with the number of instances. An owner's heartbeats grow with
/// the number of instances that can offer jobs to it. Without an owner, the
/// instances of a failure domain send frequent heartbeats to each other until
/// one has claimed ownership.
/// @return nothing if the pair exchanges no regular heartbeats
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<duration>
heartbeat_interval(peer_relation const& relation);

/// @brief Returns the time after which a peer counts as gone.
/// @param interval the interval that the peer promised; 0 if none
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] duration silence_limit(duration interval);

/// @brief Records which peers have received which heartbeats.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class heartbeat_plan
{
public:
    /// @brief Returns whether a heartbeat to a peer is due, and records it as
    /// sent if so.
    ///
    /// A heartbeat is also due if the interval differs from the one that the
    /// previous heartbeat promised.
    [[nodiscard]] bool take_due(instance_id peer,
                                std::optional<duration> interval,
                                time_point now);

    /// @brief Makes a heartbeat to a peer due.
    void expedite(instance_id peer)
    {
        sent_.erase(peer);
    }

    /// @brief Makes heartbeats to all peers due.
    void expedite_all()
    {
        sent_.clear();
    }

private:
    struct sent_heartbeat
    {
        time_point at{};
        std::optional<duration> promised;
    };

    std::map<instance_id, sent_heartbeat> sent_;
};

} // namespace goldcrestgate::core
