#pragma once

#include "goldcrestgate/core/leasing/domain_ownership.hpp"
#include "goldcrestgate/core/leasing/job_messages.hpp"

#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Offer a job to an owner; the owner may be this instance.
struct send_offer
{
    instance_id owner;
    job_offer offer;
};

/// @brief Tell an owner that the caller has left.
struct send_withdrawal
{
    instance_id owner;
    job_withdrawal withdrawal;
};

/// @brief Answer the caller of a job.
struct answer_job
{
    request_id request;
    client_job_id job;
    /// `rejected` says that the job never runs, `abandoned` that it may have.
    job_outcome outcome = job_outcome::abandoned;
    duration retry_after{};
    /// What decided, as a stable snake_case word.
    std::string_view reason;
    duration elapsed{};
    std::optional<instance_id> owner;
};

/// What a gateway wants done.
using gateway_action = std::variant<send_offer, send_withdrawal, answer_job>;

/// @brief Keeps the jobs of the callers of this instance and has them run by
/// the owners of executors.
///
/// A job is offered to the owner of the own failure domain unless that one is
/// full and another is not. When an owner is lost, the job is offered to its
/// successor under the same id, which adopts what runs already.
///
/// @par Thread safety
/// Not safe.
class job_gateway
{
public:
    explicit job_gateway(domain_id own_domain)
        : own_domain_(own_domain)
    {
    }

    /// @brief A caller submits a job.
    void submit(request_id request, leased_job job,
                std::span<owner_view const> owners, time_point now,
                std::vector<gateway_action>& out);

    /// @brief A caller has closed its connection.
    void caller_gone(request_id request, std::vector<gateway_action>& out);

    /// @brief An owner has ended its part.
    void verdict(instance_id from, job_verdict const& given,
                 std::span<owner_view const> owners, time_point now,
                 std::vector<gateway_action>& out);

    /// @brief Offers jobs anew whose owner has changed, and ends jobs whose
    /// time is over.
    void tick(std::span<owner_view const> owners, time_point now,
              std::vector<gateway_action>& out);

    /// @brief Returns the number of jobs that wait for their end.
    [[nodiscard]] std::size_t open_jobs() const
    {
        return jobs_.size();
    }

private:
    struct open_job
    {
        leased_job job;
        std::vector<request_id> requests;
        time_point arrived{};
        std::optional<owner_view> owner;
        /// Since when no live owner is known.
        std::optional<time_point> without_owner_since;
        /// Whether an owner that is gone may have started tasks.
        bool resumed = false;
        std::vector<domain_id> declined;
    };

    void place(open_job& open, std::span<owner_view const> owners,
               time_point now, std::vector<gateway_action>& out);
    void follow_owner(open_job& open, std::span<owner_view const> owners,
                      time_point now, std::vector<gateway_action>& out);
    [[nodiscard]] std::optional<owner_view>
    choose(open_job const& open, std::span<owner_view const> owners) const;
    void answer(client_job_id job, job_outcome outcome, duration retry_after,
                std::string_view reason, time_point now,
                std::vector<gateway_action>& out);

    domain_id own_domain_;
    std::unordered_map<client_job_id, open_job> jobs_;
};

} // namespace goldcrestgate::core
