#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/routing/service_time_model.hpp"
#include "goldcrestgate/core/task.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Ejects servers that fail tasks which succeed elsewhere.
///
/// A failure is weighted by the share of the other servers whose last task did
/// not fail, so that tasks that fail everywhere eject no server. An ejected
/// server is probed with a real, repeatable task after a delay that doubles
/// with each failed probe.
class outcome_monitor
{
public:
    /// The effect of an outcome on a server.
    enum class change : std::uint8_t
    {
        none,
        ejected,
        restored
    };

    /// @brief Discards a server's history.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void reset_server(server_index server);

    /// @brief Records the outcome of an attempt.
    /// @param servers the number of servers
    /// @param max_ejected the number of servers that may be ejected
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    change record_outcome(server_index server, task_outcome outcome,
                          std::size_t servers, double max_ejected,
                          time_point now);

    /// @brief Returns whether a server is ejected.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool ejected(server_index server) const;

    /// @brief Returns the number of ejected servers.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::size_t ejected_count() const;

    /// @brief Returns an ejected server whose probe is due.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<server_index> due_probe(time_point now) const;

    /// @brief Records that a probe is in flight, so that no second one starts.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void mark_probe_started(server_index server);

private:
    struct server_state
    {
        double failures = 0.0;
        std::uint32_t ejections = 0;
        time_point probe_at;
        bool ejected = false;
        bool probe_in_flight = false;
    };

    change record_failure(server_state& server, server_index index,
                          double weight, double max_ejected, time_point now);
    void clear_failures(server_state& server);
    change record_success(server_state& server, server_index index);
    void eject(server_state& server, time_point now);

    std::vector<server_state> servers_;
    /// Ejected servers; few, as their share is limited.
    std::vector<server_index> ejected_;
    /// Number of servers whose last task failed.
    std::size_t failing_count_ = 0;
};

} // namespace goldcrestgate::core
