#pragma once

#include "support/executor_fleet.hpp"
#include "support/fleet_owner.hpp"

#include "goldcrestgate/core/leasing/domain_ownership.hpp"
#include "goldcrestgate/core/leasing/job_gateway.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
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
    /// @brief Holds up what one instance sends to another, or delivers it. The
    /// bytes of a connection that the sender closes meanwhile arrive as well,
    /// before or after those of the next one.
    /// @param later time by which the bytes of a closed connection arrive after
    /// those of the next one
    void set_held(std::size_t from, std::size_t to, bool held,
                  core::duration later = {});
    /// @brief Sets the factor of the intervals of heartbeats to other failure
    /// domains.
    void set_remote_interval_factor(int factor)
    {
        remote_interval_factor_ = factor;
    }
    /// @brief Resets the connections between two instances: the messages on
    /// their way are lost.
    void reset(std::size_t left, std::size_t right);
    /// @brief Pauses the process of an instance, which handles what arrives
    /// meanwhile after the given time.
    /// @pre the instance is not paused
    void pause(std::size_t node, core::duration time);
    /// @brief Returns whether the process of an instance is paused or has
    /// ended.
    [[nodiscard]] bool is_paused(std::size_t node) const;
    /// @brief Returns whether the process of an instance has ended and the next
    /// one has not started yet.
    [[nodiscard]] bool is_down(std::size_t node) const;
    /// @brief Calls a function now, or when the instance is no longer paused.
    void when_resumed(std::size_t node, std::function<void()> work);
    /// @brief Ends the process of an instance; a new one, which knows nothing,
    /// starts after the given time. Answers to the callers of the earlier one
    /// are lost, and the instance counts as paused until then.
    /// @pre the instance is not paused
    void restart(std::size_t node, core::duration down_time);
    /// @brief Hands a job to an instance.
    /// @pre the instance is not paused
    void submit(std::size_t node, core::request_id request,
                core::leased_job const& job);
    /// @brief Reports a caller that has disconnected.
    /// @param elapsed longest time since then
    /// @pre the instance is not paused
    void disconnect_caller(std::size_t node, core::request_id request,
                           core::duration elapsed = {});
    /// @brief Returns an instance of a failure domain that owns its executors
    /// and is not paused, if any.
    [[nodiscard]] std::optional<std::size_t>
    owner_of(core::domain_id domain) const;
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
        node_state(core::instance_key given, std::uint32_t instance_weight,
                   executor_fleet& fleet);

        core::instance_key key;
        std::uint32_t weight;
        core::domain_ownership ownership;
        core::job_gateway gateway;
        core::heartbeat_plan plan;
        core::clock_echoes echoes;
        fleet_owner executors;
        std::set<std::size_t> disconnected;
        bool owner_known = false;
        bool cut = false;
        bool down = false;
        core::time_point paused_until{};
        /// Connections that were reset so far, by peer.
        std::map<std::size_t, std::uint64_t> resets;
        /// The last known processes of the other instances.
        std::map<std::size_t, core::incarnation> processes;
        /// Connection on which each other instance sent last.
        std::map<std::size_t, std::uint64_t> receiving;
        /// Whether the executors of the earlier owner are listed.
        bool roster_known = true;
    };

    void begin(std::size_t node);
    void replace_process(std::size_t node);
    void resume(std::size_t node, core::duration paused);
    void lose_connection(std::size_t node, std::size_t peer, bool ended);
    void tick(std::size_t node);
    /// Schedules the next tick of the present process.
    void schedule_tick(std::size_t node, core::duration delay);
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
    /// A message on its way.
    struct sent_message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        std::uint64_t connection = 0;
        /// Resets of the connection at the receiver when it was sent.
        std::uint64_t resets = 0;
        std::function<void()> work;
    };

    /// Runs an action at another instance after the network delay, unless a cut
    /// or a reset prevents it; at once if both are the same instance.
    void deliver(std::size_t from, std::size_t to, std::function<void()> work);
    /// Handles a message at a scheduler.
    using scheduler_handler =
        std::function<void(core::job_scheduler&, core::time_point,
                           std::vector<core::scheduler_action>&)>;
    /// Delivers an offer or a withdrawal. The receiver first records until when
    /// the callers of the sender waited, unless both are the same instance.
    void deliver_to_scheduler(std::size_t from, std::size_t to,
                              std::optional<core::message_mark> const& mark,
                              scheduler_handler handle);
    void receive(sent_message const& message);
    /// Time of an instance's clock; the clocks differ.
    [[nodiscard]] core::time_point clock_of(std::size_t node) const;
    [[nodiscard]] std::optional<core::message_mark>
    caller_mark(std::size_t from, std::size_t to) const;
    void note_callers(std::size_t from, std::size_t to,
                      std::optional<core::message_mark> const& mark);
    /// Number of the connection between two instances.
    [[nodiscard]] std::uint64_t& connection(std::size_t left,
                                            std::size_t right);
    /// Whether messages between two instances are held up in either direction.
    [[nodiscard]] bool is_held(std::size_t left, std::size_t right) const;
    [[nodiscard]] bool is_cut(std::size_t left, std::size_t right) const;
    [[nodiscard]] static std::size_t index_of(core::instance_id instance);

    executor_fleet fleet_;
    std::uint32_t executors_per_domain_;
    std::vector<std::unique_ptr<node_state>> nodes_;
    /// Ended processes, to which answers of executors are still on their way.
    std::vector<std::unique_ptr<node_state>> ended_;
    std::size_t claims_ = 0;
    int remote_interval_factor_ = 1;
    /// Messages that are held up, by sender and receiver.
    std::map<std::pair<std::size_t, std::size_t>, std::vector<sent_message>>
        held_;
    std::map<std::pair<std::size_t, std::size_t>, std::uint64_t> connections_;
};

} // namespace goldcrestgate::tests
