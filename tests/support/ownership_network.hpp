#pragma once

#include "goldcrestgate/core/leasing/domain_ownership.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace goldcrestgate::tests
{

/// @brief Instances of several failure domains that exchange heartbeats over a
/// network in virtual time.
///
/// Each instance runs the ownership and the heartbeat plan of the entry daemon.
/// Connections exist between all instances that run; faults end or silence
/// them.
class ownership_network
{
public:
    /// @param domain_sizes number of instances in each failure domain
    ownership_network(std::vector<std::uint16_t> const& domain_sizes,
                      std::uint64_t seed);

    using node_id = std::size_t;

    [[nodiscard]] core::time_point now() const
    {
        return now_;
    }
    [[nodiscard]] std::size_t size() const
    {
        return nodes_.size();
    }
    void advance(core::duration time);

    /// @brief Ends the process of an instance; the others see it at once.
    void kill(node_id node);
    /// @brief Cuts the power of an instance; the others hear nothing more.
    void power_off(node_id node);
    /// @brief Starts the instance again, as a new incarnation.
    void restart(node_id node);
    /// @brief Stops an instance from running for a time.
    void pause(node_id node, core::duration time);
    /// @brief Lets the connection between two instances go silent, for a time
    /// or until one of them resets it.
    void silence(node_id left, node_id right, core::duration time);

    [[nodiscard]] bool running(node_id node) const
    {
        return nodes_[node].ownership != nullptr;
    }
    [[nodiscard]] core::domain_id domain_of(node_id node) const
    {
        return nodes_[node].key.domain;
    }
    /// @brief Returns the instances that hold ownership in a failure domain.
    [[nodiscard]] std::vector<node_id> owners_of(core::domain_id domain) const;
    /// @brief Returns whether all running instances of a failure domain follow
    /// the only owner.
    [[nodiscard]] bool is_settled(core::domain_id domain) const;
    /// @brief Returns the heartbeats that an instance has sent so far.
    [[nodiscard]] std::uint64_t sent_by(node_id node) const
    {
        return nodes_[node].sent;
    }
    /// @brief Returns the number of claims in all failure domains so far.
    [[nodiscard]] std::uint64_t claims() const
    {
        return claims_;
    }

private:
    struct node_state
    {
        core::instance_key key;
        std::uint32_t weight = 0;
        std::unique_ptr<core::domain_ownership> ownership;
        core::heartbeat_plan plan;
        bool owner_known = false;
        core::time_point next_tick{};
        core::time_point next_heartbeat{};
        core::time_point paused_until{};
        std::uint64_t sent = 0;
    };

    struct delivery
    {
        core::time_point at{};
        std::uint64_t number = 0;
        node_id from = 0;
        node_id to = 0;
        core::incarnation receiver;
        core::owner_heartbeat heartbeat;

        bool operator>(delivery const& other) const
        {
            return std::pair{at, number} > std::pair{other.at, other.number};
        }
    };

    void start(node_id node);
    void step(node_id node);
    void tick(node_id node);
    void send_due(node_id node);
    void send(node_id from, node_id to, core::owner_heartbeat heartbeat);
    void deliver(delivery const& message);
    [[nodiscard]] bool is_silent(node_id left, node_id right) const;
    [[nodiscard]] std::uint64_t unix_ms() const;

    std::mt19937_64 random_;
    core::time_point now_{std::chrono::seconds{100}};
    std::vector<node_state> nodes_;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>>
        in_flight_;
    std::map<std::pair<node_id, node_id>, core::time_point> silenced_until_;
    std::uint64_t last_number_ = 0;
    std::uint64_t last_incarnation_ = 0;
    std::uint64_t claims_ = 0;
};

} // namespace goldcrestgate::tests
