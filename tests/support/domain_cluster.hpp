#pragma once

#include "support/executor_fleet.hpp"
#include "support/fleet_owner.hpp"

#include "goldcrestgate/core/leasing/domain_ownership.hpp"
#include "goldcrestgate/core/leasing/job_gateway.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace goldcrestgate::tests
{

/// @brief Instances of several failure domains with their executors in virtual
/// time.
///
/// Each instance has the ownership, the gateway and the scheduler of the entry
/// daemon. All instances of a failure domain reach all of its executors, also
/// while links between instances are cut.
class domain_cluster
{
public:
    /// @param domains number of failure domains
    /// @param instances number of instances in each failure domain
    /// @param executors number of executors in each failure domain
    domain_cluster(std::uint16_t domains, std::size_t instances,
                   std::uint32_t executors);

    [[nodiscard]] executor_fleet& fleet()
    {
        return fleet_;
    }
    [[nodiscard]] executor_fleet const& fleet() const
    {
        return fleet_;
    }
    /// @brief Returns the number of instances; they are numbered by failure
    /// domain.
    [[nodiscard]] std::size_t size() const
    {
        return nodes_.size();
    }
    /// @brief Cuts an instance off from all other instances, or ends the cut.
    void set_cut(std::size_t node, bool cut);
    /// @brief Hands a job to an instance.
    void submit(std::size_t node, core::request_id request,
                core::leased_job const& job);
    /// @brief Returns the number of changes of ownership so far.
    [[nodiscard]] std::size_t claims() const
    {
        return claims_;
    }

    /// Receives the answers to the callers.
    std::function<void(core::answer_job const&)> on_answer;

private:
    struct node_state
    {
        node_state(core::instance_key given, std::uint32_t weight,
                   executor_fleet& fleet);

        core::instance_key key;
        core::domain_ownership ownership;
        core::job_gateway gateway;
        core::heartbeat_plan plan;
        fleet_owner executors;
        std::set<std::size_t> disconnected;
        bool owner_known = false;
        bool cut = false;
    };

    void tick(std::size_t node);
    void decide_ownership(std::size_t node);
    void reconnect(std::size_t left, std::size_t right);
    void send_heartbeats(std::size_t node);
    void receive_heartbeat(std::size_t from, std::size_t to,
                           core::owner_heartbeat const& heartbeat);
    [[nodiscard]] core::owner_heartbeat
    make_heartbeat(node_state const& node) const;
    [[nodiscard]] std::vector<core::owner_view>
    owners(node_state const& node) const;
    void apply(std::size_t node,
               std::vector<core::gateway_action> const& actions);
    /// Runs an action at another instance after the network delay, unless a cut
    /// prevents it; at once if both are the same instance.
    void deliver(std::size_t from, std::size_t to, std::function<void()> work);
    [[nodiscard]] bool is_cut(std::size_t left, std::size_t right) const;
    [[nodiscard]] static std::size_t index_of(core::instance_id instance);

    executor_fleet fleet_;
    std::vector<std::unique_ptr<node_state>> nodes_;
    std::size_t claims_ = 0;
};

} // namespace goldcrestgate::tests
