#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/leasing/job_messages.hpp"
#include "goldcrestgate/core/routing/slot_exchange.hpp"
#include "goldcrestgate/core/task.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief The first message on a connection, in both directions.
struct hello
{
    instance_key sender;
    std::string peer_address;
};

/// @brief Periodic liveness message, with the state of the sender that peers
/// need.
struct heartbeat
{
    instance_key sender;
    settings_version settings;
    bool ready = false;
    std::uint32_t open_tasks = 0;
    /// Increases by one with each heartbeat of the sender to this peer.
    std::uint64_t sequence = 0;
    /// The highest sequence that the sender has received from this peer's
    /// current incarnation; 0 once the sender has declared that incarnation
    /// gone. The peer derives from it the latest time at which it was
    /// certainly not sealed.
    std::uint64_t heard_sequence = 0;
};

/// @brief Asks a peer whether it still receives heartbeats from a third
/// instance.
struct probe_request
{
    instance_key target;
    std::uint64_t nonce = 0;
};

/// @brief Answers a @ref probe_request.
struct probe_reply
{
    instance_key target;
    std::uint64_t nonce = 0;
    bool alive = false;
};

/// @brief A job was accepted by its owner.
struct job_accepted_record
{
    submission_id submission;
    std::uint64_t body_hash = 0;
    std::uint16_t task_count = 0;
};

/// @brief A task is about to be sent to a backend server.
struct task_starting_record
{
    task_key task;
    std::uint32_t attempt = 0;
    server_id server;
};

/// @brief The fate of a task is decided.
struct task_result_record
{
    task_key task;
    task_fate fate = task_fate::pending;
    std::string body;
};

/// @brief A job has reached its final state.
struct job_final_record
{
    submission_id submission;
    job_state state = job_state::running;
    /// The number of the error that made the job fail; 0 without one.
    std::uint16_t error = 0;
    std::string message;
};

/// @brief The owner has discarded a submission; the copy may discard it too.
struct job_forgotten_record
{
    submission_id submission;
};

/// One entry of a copy batch.
using copy_record =
    std::variant<job_accepted_record, task_starting_record, task_result_record,
                 job_final_record, job_forgotten_record>;

/// @brief Ordered records that an owner sends to a member of its copy set.
struct copy_batch
{
    instance_key owner;
    /// Number of the owner's chain. A job stays on its chain, unless the owner
    /// opens the next one while no copy can have sealed it; its jobs then move.
    std::uint32_t chain = 0;
    copy_epoch epoch;
    /// The members of the copy set of this epoch.
    std::vector<instance_key> members;
    /// Increases by one with each batch to this member on the chain, across all
    /// epochs; a retransmitted batch keeps its number.
    std::uint64_t sequence = 0;
    /// Whether the batch starts a catch-up: the receiver first discards its
    /// records of the chain.
    bool starts_catch_up = false;
    /// Whether records of the catch-up are still missing after this batch; as
    /// long as they are, the receiver's copy cannot prove that a task did not
    /// start.
    bool catch_up_pending = false;
    std::vector<copy_record> records;
};

/// @brief Acknowledges that the receiver holds a batch in memory.
struct copy_ack
{
    instance_key owner;
    std::uint32_t chain = 0;
    copy_epoch epoch;
    std::uint64_t sequence = 0;
};

/// @brief Refuses a batch because the incarnation is sealed, an earlier batch
/// is missing, the copy has expired or the memory limit is reached.
struct copy_refused
{
    instance_key owner;
    std::uint32_t chain = 0;
    copy_epoch epoch;
    bool sealed = false;
};

/// @brief Asks a member of a copy set to seal a chain of an owner.
struct seal_request
{
    instance_key owner;
    std::uint32_t chain = 0;
    /// The newest epoch known to the sender; a member that knows a newer one
    /// replies with it and does not seal.
    copy_epoch epoch;
    std::uint64_t nonce = 0;
};

/// @brief Confirms a seal and reports the member's state of the chain.
struct seal_reply
{
    instance_key owner;
    std::uint32_t chain = 0;
    std::uint64_t nonce = 0;
    /// Whether the member holds a complete copy or knows a newer epoch. The
    /// fields below are set even while a catch-up is pending, and empty without
    /// any copy.
    bool holds_copy = false;
    copy_epoch epoch;
    std::vector<instance_key> members;
};

/// The operation of a forwarded request.
enum class forward_kind : std::uint8_t
{
    submit,
    query,
    cancel
};

/// @brief A caller's request, forwarded to the instance that can answer it.
struct forward_request
{
    std::uint64_t nonce = 0;
    forward_kind kind = forward_kind::query;
    submission_id submission;
    /// The job's JSON text; empty unless the kind is `submit`.
    std::string body;
    std::uint32_t wait_ms = 0;
    /// Whether the receiver may answer from a copy when it is not the owner.
    bool owner_lost = false;
};

/// @brief Answers a @ref forward_request.
struct forward_reply
{
    std::uint64_t nonce = 0;
    std::uint16_t status = 0;
    std::string body;
};

/// @brief Requests the settings that are newer than a version.
struct settings_pull
{
    settings_version after;
};

/// @brief Delivers settings as the text of one snapshot record.
struct settings_push
{
    settings_version version;
    /// The JSON text of a settings snapshot record that covers `version`.
    std::string snapshot;
};

/// @brief Announces the sender's need for slots to an instance of the same
/// failure domain and transfers slots to it.
struct slot_message
{
    /// Identifies the set of live instances that share the slots; the receiver
    /// drops a message whose view differs from its own.
    std::uint64_t view = 0;
    std::optional<slot_need> need;
    std::vector<slot_transfer> transfers;
};

/// A message between two entry instances.
using peer_message =
    std::variant<hello, heartbeat, probe_request, probe_reply, copy_batch,
                 copy_ack, copy_refused, seal_request, seal_reply,
                 forward_request, forward_reply, settings_pull, settings_push,
                 slot_message, job_offer, job_withdrawal, job_verdict,
                 owner_heartbeat, peer_addresses, published_configuration,
                 executor_roster, executor_speeds, configuration_query,
                 configuration_report>;

} // namespace goldcrestgate::core
