#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/messages.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace goldcrestgate::core
{

/// @brief Answers a caller's open request; each request is answered once.
struct answer_caller
{
    request_id request;
    std::uint16_t status = 0;
    /// JSON text.
    std::string body;
};

/// @brief Sends a task to a backend server.
struct start_task
{
    server_id server;
    task_key task;
    std::uint32_t attempt = 0;
    /// The path of the service.
    std::string service;
    std::string payload;
    /// Time after which the attempt counts as lost.
    duration timeout{};
};

/// @brief Cancels an attempt on a backend server; sent at most once for each
/// attempt.
struct cancel_task
{
    server_id server;
    task_key task;
    std::uint32_t attempt = 0;
};

/// @brief Sends a message to another entry instance; without a connection the
/// message is dropped.
struct send_to_peer
{
    instance_id peer;
    peer_message message;
};

/// @brief Opens a connection to another entry instance and reconnects whenever
/// it is lost.
struct connect_peer
{
    domain_id domain;
    instance_id peer;
    std::string peer_address;
};

/// @brief Closes the connection to another entry instance and stops
/// reconnecting.
struct disconnect_peer
{
    instance_id peer;
};

/// @brief Creates a client for a backend server, or changes its address.
struct connect_server
{
    server_id server;
    std::string address;
};

/// @brief Removes the client of a backend server once its attempts have ended.
struct disconnect_server
{
    server_id server;
};

/// The decision that a @ref record_decision reports.
enum class decision_kind : std::uint8_t
{
    place,
    hedge,
    retry,
    refuse,
    eject,
    restore,
    forward,
    cancel
};

/// @brief Writes one log line about a routing or placement decision.
struct record_decision
{
    decision_kind kind = decision_kind::place;
    std::optional<task_key> task;
    std::optional<server_id> server;
    /// Expected time from now until the chosen server finishes the task.
    duration score{};
    std::optional<server_id> runner_up;
    duration runner_up_score{};
    /// A stable snake_case identifier.
    std::string_view reason;
};

/// @brief Sets the result of the readiness check.
struct set_ready
{
    bool ready = false;
};

/// @brief Hands a peer's settings message to the settings task, which applies
/// or answers it.
struct settings_exchange
{
    instance_id peer;
    peer_message message;
};

/// @brief Reports that all work has ended after @ref begin_stop; the process
/// may exit.
struct stopped
{
};

/// An effect that the core requests from its environment.
using action = std::variant<answer_caller, start_task, cancel_task,
                            send_to_peer, connect_peer, disconnect_peer,
                            connect_server, disconnect_server, record_decision,
                            set_ready, settings_exchange, stopped>;

} // namespace goldcrestgate::core
