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

/// @brief Sign of life, with the facts that peers need about the sender.
struct heartbeat
{
    instance_key sender;
    settings_version settings;
    bool ready = false;
    std::uint32_t open_tasks = 0;
    /// Increases by one with each heartbeat of the sender to this peer.
    std::uint64_t sequence = 0;
    /// The newest sequence that the sender has received of this peer's current
    /// incarnation; 0 once the sender has judged that incarnation as gone. It
    /// tells the peer until when it was surely not sealed.
    std::uint64_t heard_sequence = 0;
};

/// @brief Asks a peer whether it still hears from a third instance.
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

/// @brief A task has reached its fate.
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

/// @brief The owner has dropped a submission; the copy may drop it too.
struct job_forgotten_record
{
    submission_id submission;
};

/// One entry of a copy batch.
using copy_record =
    std::variant<job_accepted_record, task_starting_record, task_result_record,
                 job_final_record, job_forgotten_record>;

/// @brief Records of an owner for a member of its copy set, in order.
struct copy_batch
{
    instance_key owner;
    /// Numbers the owner's chains; a job stays on the chain it began on.
    std::uint32_t chain = 0;
    copy_epoch epoch;
    /// The members of the set that has this epoch.
    std::vector<instance_key> members;
    /// Increases by one with each batch to this member on the chain, through
    /// all epochs; a batch that is sent again keeps its number.
    std::uint64_t sequence = 0;
    /// Whether the batch is the start of a catch-up: the receiver drops what
    /// it holds of the chain first.
    bool starts_catch_up = false;
    /// Whether records of the catch-up are still missing after this batch;
    /// until then the receiver's copy cannot tell that a task did not start.
    bool catch_up_pending = false;
    std::vector<copy_record> records;
};

/// @brief Confirms that a batch is held in memory.
struct copy_ack
{
    instance_key owner;
    std::uint32_t chain = 0;
    copy_epoch epoch;
    std::uint64_t sequence = 0;
};

/// @brief Refuses a batch as the incarnation is sealed or the epoch is old.
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
    /// The newest epoch that the sender knows; a member that knows a newer one
    /// answers with it and does not seal.
    copy_epoch epoch;
    std::uint64_t nonce = 0;
};

/// @brief Confirms a seal and tells what the member knows of the chain.
struct seal_reply
{
    instance_key owner;
    std::uint32_t chain = 0;
    std::uint64_t nonce = 0;
    /// Whether the member holds a copy; the fields below are empty without.
    bool holds_copy = false;
    copy_epoch epoch;
    std::vector<instance_key> members;
};

/// What a forwarded caller request asks of the owner.
enum class forward_kind : std::uint8_t
{
    submit,
    query,
    cancel
};

/// @brief A caller's request, passed to the instance that can answer it.
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

/// @brief Asks for the settings after a version.
struct settings_pull
{
    settings_version after;
};

/// @brief Brings settings: a snapshot and the records after it, as log text.
struct settings_push
{
    settings_version version;
    /// The JSON text of a settings snapshot record that covers `version`.
    std::string snapshot;
};

/// @brief Tells an instance of the own failure domain about the sender's need
/// of slots, and passes slots to it.
struct slot_message
{
    /// Identifies the set of live instances that share the slots; a note of
    /// another view than the receiver's is dropped.
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
                 executor_roster, executor_speeds>;

} // namespace goldcrestgate::core
