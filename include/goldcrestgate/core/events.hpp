#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/job_request.hpp"
#include "goldcrestgate/core/messages.hpp"
#include "goldcrestgate/core/settings/settings_view.hpp"
#include "goldcrestgate/core/task.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief A caller requests new submission ids.
struct mint_ids
{
    request_id request;
    std::uint32_t count = 1;
};

/// @brief A caller submits or resubmits a job under an id.
struct submit_job
{
    request_id request;
    submission_id submission;
    job_request job;
    /// How long the caller waits for the answer.
    duration wait{};
};

/// @brief A caller queries the answer or the fate of a submission.
struct query_job
{
    request_id request;
    submission_id submission;
    duration wait{};
};

/// @brief A caller cancels a submission.
struct cancel_job
{
    request_id request;
    submission_id submission;
};

/// @brief A caller has disconnected; its request needs no answer any more.
struct caller_disconnected
{
    request_id request;
};

/// @brief An attempt on a backend server has ended, with or without an answer.
struct attempt_ended
{
    task_key task;
    std::uint32_t attempt = 0;
    server_id server;
    task_outcome outcome = task_outcome::lost;
    std::string body;
    /// Run time of the task as reported by the server.
    std::optional<duration> work_time;
    /// Slots in use as reported by the server.
    std::optional<std::uint32_t> open_slots;
};

/// @brief A message from another entry instance was received.
struct peer_received
{
    instance_key from;
    peer_message message;
    /// Number of the connection, unique among all connections of this process.
    /// The messages of a peer arrive in the order in which it sent them: once
    /// it has sent one on another connection, none follows on the earlier one.
    std::uint64_t connection = 0;
};

/// @brief A connection to another entry instance is established; both sides
/// have exchanged `hello`.
struct peer_connected
{
    instance_key peer;
};

/// @brief A connection to another entry instance was lost or could not be
/// established.
struct peer_lost
{
    instance_id peer;
    /// Whether the address refused the connection, which proves that the
    /// process at this address has ended.
    bool refused = false;
};

/// @brief One of several connections to another entry instance was lost;
/// messages in either direction may be lost with it.
struct peer_messages_lost
{
    instance_key peer;
};

/// What an entry of the instance list describes.
enum class listed_kind : std::uint8_t
{
    entry_instance,
    backend_server
};

/// @brief One entry of the platform's instance list.
struct listed_instance
{
    listed_kind kind = listed_kind::entry_instance;
    std::uint32_t id = 0;
    domain_id domain;
    std::string rack;
    /// `IP:port` for HTTP.
    std::string address;
    /// `IP:port` for frames between instances; empty for backend servers.
    std::string peer_address;
    /// Slots of a backend server.
    std::uint32_t slots = 0;
    bool leaving = false;
};

/// @brief The platform's instance list was read; it replaces the previous one.
struct instance_list
{
    std::vector<listed_instance> entries;
};

/// @brief A new version of the settings takes effect.
struct settings_changed
{
    settings_ptr settings;
};

/// @brief Time has passed; due by `dispatcher::next_deadline`.
struct tick
{
};

/// @brief A graceful shutdown of the process was requested.
struct begin_stop
{
};

/// An input of the core.
using event = std::variant<mint_ids, submit_job, query_job, cancel_job,
                           caller_disconnected, attempt_ended, peer_received,
                           peer_connected, peer_lost, peer_messages_lost,
                           instance_list, settings_changed, tick, begin_stop>;

} // namespace goldcrestgate::core
