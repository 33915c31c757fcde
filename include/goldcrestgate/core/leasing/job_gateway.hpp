#pragma once

#include "goldcrestgate/core/leasing/domain_capacity.hpp"
#include "goldcrestgate/core/leasing/domain_ownership.hpp"
#include "goldcrestgate/core/leasing/job_memory.hpp"
#include "goldcrestgate/core/leasing/job_messages.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Offer a job to an owner, which may be this instance.
struct send_offer
{
    instance_id owner;
    job_offer offer;
    /// Why this owner was chosen, as in @ref owner_choice; `successor` or
    /// `reconnected` if the job stays in its failure domain.
    std::string_view reason;
};

/// @brief Notify an owner that the caller has disconnected.
struct send_withdrawal
{
    instance_id owner;
    job_withdrawal withdrawal;
    /// Number of times that it was sent before.
    std::uint32_t repeats = 0;
};

/// @brief Answer the caller of a job.
struct answer_job
{
    request_id request;
    client_job_id job;
    /// `rejected` guarantees that the job never runs; `abandoned` means that it
    /// may have run.
    job_outcome outcome = job_outcome::abandoned;
    duration retry_after{};
    /// Reason of the answer, as a stable snake_case word.
    std::string_view reason;
    duration elapsed{};
    std::optional<instance_id> owner;
};

/// Action that a gateway requests.
using gateway_action = std::variant<send_offer, send_withdrawal, answer_job>;

/// @brief Tracks the jobs of this instance's callers and offers them to the
/// owners of executors.
///
/// A job is offered to the owner in this instance's failure domain unless the
/// expected wait is shorter in another one, see @ref domain_capacity. A job
/// that an owner has rejected is offered in one other failure domain at most.
/// An offer binds the job to the
/// failure domain, as only the owner of the executors there can learn of its
/// runs. The job leaves the failure domain only after a verdict by which
/// nothing of it has started and nothing of it will. After the loss of an
/// owner, the job is offered to the successor under the same id, and the
/// successor adopts the runs that exist. Without a successor in time, its fate
/// is unknown.
///
/// A withdrawal is repeated until the owner has answered it: the owner goes on
/// with the runs of a job of which it hears nothing, and the caller may
/// resubmit the job in another failure domain.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class job_gateway
{
public:
    /// @param own_domain failure domain of this instance
    /// @param first_sequence offers and withdrawals get numbers above this one,
    /// which must be above those of an earlier process
    /// @param self this instance; gateways with different ids choose different
    /// domains for their jobs
    /// @param memory limit of the memory of the jobs; others are rejected
    explicit job_gateway(domain_id own_domain, std::uint64_t first_sequence = 0,
                         instance_id self = {},
                         job_memory memory = job_memory{})
        : own_domain_(own_domain)
        , capacity_(own_domain, self)
        , memory_(memory)
        , last_sequence_(first_sequence)
    {
    }

    /// @brief Sets the number of instances in the failure domain of this one,
    /// this one included.
    void set_domain_instances(std::uint32_t count)
    {
        capacity_.set_gateways(count);
    }

    /// @brief Accepts a job from a caller.
    void submit(request_id request, leased_job job,
                std::span<owner_view const> owners, time_point now,
                std::vector<gateway_action>& out);

    /// @brief Handles a caller that has disconnected.
    /// @param elapsed longest time since then
    void caller_disconnected(request_id request, time_point now,
                             std::vector<gateway_action>& out,
                             duration elapsed = {});

    /// @brief Handles the verdict of an owner on a job.
    void verdict(instance_id from, job_verdict const& received,
                 std::span<owner_view const> owners, time_point now,
                 std::vector<gateway_action>& out);

    /// @brief Offers jobs again whose owner has changed, ends jobs whose time
    /// limit or wait for an owner has expired, and repeats withdrawals.
    void tick(std::span<owner_view const> owners, time_point now,
              std::vector<gateway_action>& out);

    /// @brief Handles a new connection to the process of an owner: offers and
    /// verdicts may have been lost with the earlier one, so the jobs are
    /// offered and withdrawn again.
    void owner_reconnected(instance_id owner, time_point now,
                           std::vector<gateway_action>& out);

    /// @brief Answers all open jobs as abandoned, as this process stops.
    void abandon_all(time_point now, std::vector<gateway_action>& out);

    /// @brief Returns the owners that have unanswered jobs of this instance.
    [[nodiscard]] std::set<instance_id> owners_in_use() const;

    /// @brief Returns the number of unanswered jobs.
    [[nodiscard]] std::size_t open_jobs() const
    {
        return jobs_.size();
    }

    /// @brief Returns the memory of the unanswered jobs.
    [[nodiscard]] std::size_t open_job_bytes() const
    {
        return memory_.used();
    }

private:
    struct open_job
    {
        leased_job job;
        std::size_t memory_bytes = 0;
        std::vector<request_id> requests;
        time_point arrived{};
        std::optional<owner_view> owner;
        /// Time since which no live owner is known.
        std::optional<time_point> without_owner_since;
        /// Whether an earlier owner may have started tasks.
        bool resumed = false;
        /// Whether an owner or a term before the current one may have accepted
        /// the job.
        bool moved = false;
        /// Whether the owner has answered that its term has ended.
        bool refused = false;
        /// Failure domains whose owners have rejected the job.
        std::vector<domain_id> declined;
        /// The only failure domain to which the job is offered after a
        /// rejection.
        std::optional<domain_id> second_domain;
        /// Shortest retry delay of the rejections.
        duration retry_after{};
        /// Number of the last offer.
        std::uint64_t sequence = 0;
    };

    struct open_withdrawal
    {
        time_point since{};
        /// Longest time from the leaving of the caller to the first message.
        duration elapsed{};
        time_point sent_at{};
        /// Number of the first message.
        std::uint64_t sequence = 0;
        std::uint32_t repeats = 0;
    };

    void offer_to_owner(open_job& open, std::span<owner_view const> owners,
                        time_point now, std::vector<gateway_action>& out);
    void withdrawal_answered(instance_id from, job_verdict const& received);
    static void owner_refused(open_job& open, time_point now);
    void update_owner(open_job& open, std::span<owner_view const> owners,
                      time_point now, std::vector<gateway_action>& out);
    [[nodiscard]] std::optional<owner_choice>
    choose_owner(open_job const& open, std::span<owner_view const> owners,
                 time_point now);
    /// Offers a rejected job in one other failure domain, or answers it.
    void owner_rejected(open_job& open, job_verdict const& received,
                        std::span<owner_view const> owners, time_point now,
                        std::vector<gateway_action>& out);
    void answer(client_job_id job, job_outcome outcome, duration retry_after,
                std::string_view reason, time_point now,
                std::vector<gateway_action>& out);
    /// Offers a job to its owner.
    void send_offer_to(open_job& open, bool only_offered_here,
                       std::string_view reason, time_point now,
                       std::vector<gateway_action>& out);
    /// @param elapsed longest time since the caller has left
    void withdraw(instance_id owner, client_job_id job, duration elapsed,
                  time_point now, std::vector<gateway_action>& out);
    void repeat_withdrawals(time_point now, std::vector<gateway_action>& out);

    domain_id own_domain_;
    domain_capacity capacity_;
    job_memory memory_;
    std::unordered_map<client_job_id, open_job> jobs_;
    /// Withdrawals that their owners have not answered.
    std::map<std::pair<client_job_id, instance_id>, open_withdrawal>
        withdrawals_;
    std::uint64_t last_sequence_;
};

} // namespace goldcrestgate::core
