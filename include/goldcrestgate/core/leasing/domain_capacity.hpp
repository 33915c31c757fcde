#pragma once

#include "goldcrestgate/core/leasing/domain_ownership.hpp"
#include "goldcrestgate/core/leasing/leased_job.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// A job is offered to another failure domain if the wait there is shorter by
/// more than this; the round trip takes a few milliseconds.
inline constexpr duration overflow_margin = std::chrono::milliseconds{10};

/// Age at which a report of load no longer counts. Owners report to other
/// failure domains every 200 ms; one report may be lost, and a CPU quota may
/// stall its sender for 100 ms.
inline constexpr duration report_lifetime = std::chrono::milliseconds{500};

/// @brief An owner to which a job is offered.
struct owner_choice
{
    owner_view owner;
    /// Why it was chosen, as a stable snake_case word: own_domain,
    /// shorter_wait, second_offer or no_own_owner.
    std::string_view reason;
};

/// @brief Chooses the failure domain to which a gateway offers a job.
///
/// Intended for bursts in one failure domain, when 12 gateways or more see the
/// same reports of the other domains: each counts what it has offered since a
/// report against the capacity that the report shows, and moves only a part of
/// its jobs while the difference of the waits is small. The part and the choice
/// among several domains depend on a hash of the gateway and the job, so the
/// gateways differ. A report that is older than @ref report_lifetime attracts
/// no jobs from a domain that has an owner.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class domain_capacity
{
public:
    /// @param own_domain failure domain of the gateway
    /// @param self the gateway's instance
    domain_capacity(domain_id own_domain, instance_id self)
        : own_domain_(own_domain)
        , self_(self)
    {
    }

    /// @brief Sets the number of gateways in the own failure domain, this one
    /// included, which are expected to offer as much to others as this one.
    void set_gateways(std::uint32_t count)
    {
        gateways_ = count > 0 ? count : 1;
    }

    /// @brief Chooses the owner to which a job is offered first.
    /// @param declined failure domains whose owners have rejected the job
    /// @return nothing if no owner is known that has not rejected it
    [[nodiscard]] std::optional<owner_choice>
    choose(leased_job const& job, std::span<owner_view const> owners,
           std::span<domain_id const> declined, time_point now);

    /// @brief Chooses the owner to which a rejected job is offered, if one is
    /// expected to end it in time by a report that still counts.
    /// @param elapsed time since the job's arrival
    [[nodiscard]] std::optional<owner_choice>
    choose_second(leased_job const& job, std::span<owner_view const> owners,
                  std::span<domain_id const> declined, duration elapsed,
                  time_point now);

    /// @brief Counts an offer against the last report of the failure domain.
    void offered(domain_id domain, leased_job const& job, time_point now);

    /// @brief Handles the end of a job at an owner: it no longer counts against
    /// the report.
    void ended(domain_id domain, client_job_id job);

    /// @brief Handles a rejection by an owner: it has no free capacity, in
    /// spite of its last report.
    void rejected(domain_id domain, client_job_id job);

private:
    struct sent_offer
    {
        client_job_id job;
        time_point at{};
        std::uint64_t millicores = 0;
        /// CPU time in millicore-seconds.
        double work = 0.0;
    };

    struct domain_record
    {
        instance_id owner;
        std::uint64_t term = 0;
        time_point reported_at{};
        duration expected_wait{};
        /// Change of the expected wait per time between the last two reports.
        double trend = 0.0;
        /// Whether the owner has rejected a job since the report.
        bool full = false;
        /// Largest free capacity that was reported, which approaches the whole
        /// capacity of the domain.
        std::uint32_t largest_free = 0;
        /// Offers that the last report does not include.
        std::deque<sent_offer> offers;
    };

    struct estimate
    {
        owner_view const* view = nullptr;
        duration wait{};
        /// Free capacity without the offers since the report.
        double free_millicores = 0.0;
    };

    void update(std::span<owner_view const> owners, time_point now);
    /// @param gateways number of gateways that are assumed to have offered as
    /// much as this one since the report
    [[nodiscard]] estimate estimate_of(owner_view const& view,
                                       leased_job const& job,
                                       std::uint32_t gateways) const;
    /// Expected wait in the own failure domain now, by the trend of its
    /// reports.
    [[nodiscard]] duration own_wait_of(owner_view const& view,
                                       leased_job const& job) const;
    /// Chooses among owners whose waits differ by less than the margin, with
    /// probabilities in proportion to their free capacities.
    [[nodiscard]] owner_view const&
    choose_among(std::span<estimate const> candidates,
                 leased_job const& job) const;
    /// Whether a job is among those that leave a domain whose wait is longer by
    /// a time.
    [[nodiscard]] bool leaves(leased_job const& job, duration gain) const;

    domain_id own_domain_;
    instance_id self_;
    std::uint32_t gateways_ = 1;
    std::map<domain_id, domain_record> domains_;
};

} // namespace goldcrestgate::core
