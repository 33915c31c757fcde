#pragma once

#include "goldcrestgate/core/leasing/configuration_exchange.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <variant>
#include <vector>

namespace goldcrestgate::tests
{

/// @brief Instances of several failure domains that exchange the configuration
/// in virtual time, as the entry daemon does.
///
/// The first instance of each failure domain is its owner. Heartbeats, which
/// carry the version, flow between an owner and the instances of its failure
/// domain, from owners to all instances and from all instances to the owners.
/// The test decides which instances the store serves and which links are cut.
class configuration_network
{
public:
    using node_id = std::size_t;

    /// @param domain_sizes number of instances in each failure domain
    configuration_network(std::vector<std::size_t> const& domain_sizes,
                          std::uint64_t seed);

    [[nodiscard]] core::time_point now() const
    {
        return now_;
    }
    [[nodiscard]] std::size_t size() const
    {
        return nodes_.size();
    }
    void advance(core::duration time);

    /// @brief Publishes the next version in the store.
    void publish();
    /// @brief Returns the last published version.
    [[nodiscard]] std::uint64_t newest() const
    {
        return published_at_.size();
    }
    /// @brief Determines whether the store serves an instance.
    void serve(node_id node, bool served);
    /// @brief Cuts or restores the link between two instances; both lose their
    /// connection at once.
    void cut(node_id left, node_id right, bool is_cut);
    /// @brief Ends the ownership of a failure domain.
    void remove_owner(node_id owner);
    /// @brief Starts an instance again, without a configuration.
    void restart(node_id node);
    /// @brief Delays all messages between two instances.
    void delay(node_id left, node_id right, core::duration time);

    [[nodiscard]] std::uint64_t version(node_id node) const
    {
        return nodes_[node].version;
    }
    /// @brief Returns the time after which the instance had a version, from its
    /// publication, or nothing if it has none.
    [[nodiscard]] std::optional<core::duration>
    apply_time(node_id node, std::uint64_t version) const;
    [[nodiscard]] std::optional<core::duration> age(node_id node) const
    {
        return nodes_[node].exchange->age(now_);
    }
    /// @brief Returns the time since the newest version of the instance was
    /// replaced in the store; 0 if it is the newest one.
    [[nodiscard]] core::duration true_age(node_id node) const;
    /// @brief Returns the number of documents that instances have sent.
    [[nodiscard]] std::size_t documents_sent() const
    {
        return documents_sent_;
    }
    /// @brief Returns the number of queries that instances have sent.
    [[nodiscard]] std::size_t queries_sent() const
    {
        return queries_sent_;
    }

private:
    struct node_state
    {
        std::size_t domain = 0;
        bool owner = false;
        bool served = true;
        std::uint64_t version = 0;
        std::unique_ptr<core::configuration_exchange> exchange;
        /// Time of the first use of each version, by its number.
        std::vector<std::optional<core::time_point>> applied_at;
        core::time_point next_tick{};
    };

    struct heartbeat
    {
        std::uint64_t version = 0;
    };
    struct document
    {
        std::uint64_t version = 0;
    };
    using message = std::variant<heartbeat, core::configuration_query, document,
                                 core::configuration_report>;

    struct delivery
    {
        core::time_point at{};
        std::uint64_t number = 0;
        node_id from = 0;
        node_id to = 0;
        message content;

        bool operator>(delivery const& other) const
        {
            return std::pair{at, number} > std::pair{other.at, other.number};
        }
    };

    [[nodiscard]] static core::instance_id id_of(node_id node);
    [[nodiscard]] static node_id node_of(core::instance_id id);
    [[nodiscard]] static std::pair<node_id, node_id> link(node_id left,
                                                          node_id right);
    void start(node_id node);
    void step(node_id node);
    void send_heartbeats(node_id node);
    void send(node_id from, node_id to, message content);
    void deliver(delivery const& item);
    void apply(node_id node, std::uint64_t version);

    std::mt19937_64 random_;
    core::time_point now_{std::chrono::seconds{100}};
    std::vector<node_state> nodes_;
    std::vector<core::time_point> published_at_;
    std::set<std::pair<node_id, node_id>> cuts_;
    std::map<std::pair<node_id, node_id>, core::duration> delays_;
    std::priority_queue<delivery, std::vector<delivery>, std::greater<>>
        deliveries_;
    std::uint64_t last_number_ = 0;
    std::size_t documents_sent_ = 0;
    std::size_t queries_sent_ = 0;
};

} // namespace goldcrestgate::tests
