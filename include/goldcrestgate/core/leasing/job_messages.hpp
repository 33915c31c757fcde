#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"
#include "goldcrestgate/core/leasing/leased_job.hpp"

#include <cstdint>
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
};

/// @brief The caller of a job has left; its answer is no longer wanted.
struct job_withdrawal
{
    client_job_id job;
};

/// How an owner ends its part in a job.
enum class job_outcome : std::uint8_t
{
    completed,
    failed,
    /// No task has started and none will.
    rejected,
    /// Tasks may have started; the job was given up.
    abandoned,
    /// The receiver of the offer owns no executors; it started nothing.
    not_owner
};

/// @brief Returns the stable snake_case name of an outcome, for logs.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string_view outcome_name(job_outcome outcome);

/// @brief The end of a job, for the instance that offered it.
struct job_verdict
{
    client_job_id job;
    job_outcome outcome = job_outcome::abandoned;
    /// When rejected: time until there will be room.
    duration retry_after{};
};

/// @brief Sign of life of an instance with what it owns and how busy it is.
struct owner_heartbeat
{
    /// The term of its ownership of its failure domain's executors; 0 without.
    std::uint64_t term = 0;
    /// The highest term that it has heard of in its failure domain.
    std::uint64_t highest_term = 0;
    /// Size of the instance; the largest one is the first choice as owner.
    std::uint32_t weight = 0;
    /// Whether it is about to stop and takes no ownership.
    bool leaving = false;
    /// Room that new tasks could take at once.
    std::uint32_t free_millicores = 0;
    /// Wait that a new task would have.
    duration expected_wait{};
    /// The configuration that is in force at the instance; 0 without one.
    std::uint64_t configuration_version = 0;
    /// Time until the instance may claim an ownership; 0 once it may.
    duration time_to_claim{};
};

/// @brief What an owner has learned of one executor's speed.
struct executor_speed
{
    /// The executor's name.
    std::string name;
    /// Run time divided by estimated run time.
    double slowdown = 1.0;
    /// Observations behind it.
    double samples = 0.0;
};

/// @brief Speeds that have changed, for the successor of an owner.
struct executor_speeds
{
    std::vector<executor_speed> executors;
};

/// @brief The executors that an owner uses, for its successor.
///
/// The store's list may lack some: it drops entries while it is away, and
/// other instances read it seldom.
struct executor_roster
{
    /// The term of the owner.
    std::uint64_t term = 0;
    std::vector<executor_description> executors;
};

/// @brief Addresses of instances for links between instances.
struct peer_addresses
{
    std::vector<std::string> addresses;
};

/// @brief A published configuration, passed on by instances.
struct published_configuration
{
    std::uint64_t version = 0;
    /// The document as it was published.
    std::string document;
};

} // namespace goldcrestgate::core
