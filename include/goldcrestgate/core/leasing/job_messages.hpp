#pragma once

#include "goldcrestgate/core/leasing/crash_ledger.hpp"
#include "goldcrestgate/core/leasing/evacuations.hpp"
#include "goldcrestgate/core/leasing/executor.hpp"
#include "goldcrestgate/core/leasing/leased_job.hpp"
#include "goldcrestgate/core/leasing/message_mark.hpp"
#include "goldcrestgate/core/leasing/run_time_model.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Asks the owner of a failure domain's executors to run a job.
struct job_offer
{
    leased_job job;
    /// Time since the job's arrival at the instance that has the caller.
    duration elapsed{};
    /// Whether an earlier owner may have started tasks of the job.
    bool resumed = false;
    /// Whether no other owner, and no earlier term of the receiver, can have
    /// accepted the job.
    bool only_offered_here = false;
    /// Number of the message among the offers and withdrawals of the sender,
    /// which rises; 0 if it is not numbered.
    std::uint64_t sequence = 0;
    /// Term of the receiver that the sender knows; 0 if it names none. The
    /// receiver refuses an offer of an earlier term: it may have waited in the
    /// connection while the receiver was paused, and its caller may have left.
    std::uint64_t term = 0;
    /// Time at which the caller waited; empty if the receiver has sent no clock
    /// reading.
    std::optional<message_mark> mark{};
};

/// @brief Reports that the caller of a job has disconnected and needs no
/// answer. It is repeated until it is answered with `withdrawn`, as it may be
/// lost with a connection.
struct job_withdrawal
{
    client_job_id job;
    /// As in @ref job_offer; offers with lower numbers are no longer valid.
    std::uint64_t sequence = 0;
    /// Time since the caller has left.
    duration elapsed{};
    /// Time from which `elapsed` counts back, or an earlier one; empty as in
    /// @ref job_offer.
    std::optional<message_mark> mark{};
};

/// Outcome of a job at an owner.
enum class job_outcome : std::uint8_t
{
    completed,
    failed,
    /// No task has started and none will.
    rejected,
    /// Tasks may have started; the job was abandoned.
    abandoned,
    /// The receiver of the offer owns no executors. It starts nothing for this
    /// offer; it may have accepted an earlier offer of the job.
    not_owner,
    /// Answers a withdrawal. It is no verdict on an offer of the job.
    withdrawn
};

/// @brief Returns the stable snake_case name of an outcome, for logs.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string_view outcome_name(job_outcome outcome);

/// @brief Outcome of a job, sent to the instance that offered it.
struct job_verdict
{
    client_job_id job;
    job_outcome outcome = job_outcome::abandoned;
    /// When rejected: time after which capacity is expected.
    duration retry_after{};
    /// Number of the offer that it answers; 0 if that was not numbered.
    std::uint64_t sequence = 0;
};

/// @brief Heartbeat of an instance with its ownership and load.
struct owner_heartbeat
{
    /// Term under which it owns its failure domain's executors; 0 if it owns
    /// none.
    std::uint64_t term = 0;
    /// Highest term that it has received in its failure domain.
    std::uint64_t highest_term = 0;
    /// Size of the instance; the largest one is the preferred owner.
    std::uint32_t weight = 0;
    /// Whether it is about to stop and claims no ownership.
    bool leaving = false;
    /// CPU capacity that is free for new tasks.
    std::uint32_t free_millicores = 0;
    /// Expected wait of a new task.
    duration expected_wait{};
    /// Version of the configuration in force at the instance; 0 without one.
    std::uint64_t configuration_version = 0;
    /// Time until the instance may claim ownership; 0 once it may.
    duration time_to_claim{};
    /// Longest time until the next heartbeat to the receiver; 0 if none is
    /// promised.
    duration interval{};
    /// Instances that succeed the sender if it is the owner, the preferred one
    /// first.
    std::vector<instance_id> successors;
    /// Whether the sender follows a live owner in its failure domain.
    bool owner_known = false;
    /// Larger instance that the sender, as the owner, asks to claim ownership;
    /// 0 if there is none.
    instance_id yields_to;
    /// Evacuations that the sender knows.
    evacuations evacuated;
    /// Crashes that the sender, as an owner, has counted under tasks.
    std::vector<task_crashes> crashes;
    /// Term of the sender's renewed token if it is the owner, otherwise the
    /// highest one that it knows in its failure domain; 0 without one.
    std::uint64_t highest_token_term = 0;
    /// Reading of the sender's clock if it is the owner, otherwise 0.
    std::uint32_t clock = 0;
    /// Time at which the callers of the sender's open jobs waited; empty as in
    /// @ref job_offer.
    std::optional<message_mark> mark{};
};

/// @brief Learned speed of one executor.
struct executor_speed
{
    /// The executor's name.
    std::string name;
    /// Run time divided by estimated run time.
    double slowdown = 1.0;
    /// Number of observations behind the slowdown.
    double samples = 0.0;
};

/// @brief Changed speeds and run times, sent to possible successors of an
/// owner. Owners of other failure domains get the run times only.
struct executor_speeds
{
    std::vector<executor_speed> executors;
    std::vector<learned_run_times> run_times;
};

/// @brief Executors that an owner uses, sent to possible successors.
///
/// The store's list may be incomplete: the store drops entries during an
/// outage, and other instances read the list at long intervals.
struct executor_roster
{
    /// The term of the owner.
    std::uint64_t term = 0;
    std::vector<executor_description> executors;
    /// Whether no executor is missing on which an owner may have runs; false
    /// while the owner itself does not know all executors.
    bool complete = false;
};

/// @brief Addresses of instances for connections between instances.
struct peer_addresses
{
    std::vector<std::string> addresses;
};

/// @brief Asks an instance for its version of the configuration.
struct configuration_query
{
    /// Number of the query among those of the sender.
    std::uint64_t number = 0;
    /// Version in force at the sender; 0 without one.
    std::uint64_t version = 0;
    /// Whether the document is requested if it is newer.
    bool wants_document = false;
};

/// @brief Answers a @ref configuration_query; follows the document if that is
/// sent.
struct configuration_report
{
    /// Number of the query.
    std::uint64_t number = 0;
    /// Version in force at the sender; 0 without one.
    std::uint64_t version = 0;
    /// Time since this version and these evacuations were the newest ones in
    /// the store; empty if the sender does not know.
    std::optional<duration> age;
    evacuations evacuated;
};

/// @brief Published configuration that instances forward to each other.
struct published_configuration
{
    std::uint64_t version = 0;
    /// The document as it was published.
    std::string document;
};

} // namespace goldcrestgate::core
