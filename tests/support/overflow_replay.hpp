#pragma once

#include "goldcrestgate/core/leasing/job_gateway.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <span>
#include <vector>

namespace goldcrestgate::tests
{

/// @brief Load and faults of an @ref overflow_replay.
struct overflow_scenario
{
    /// Load of the callers of a domain (0 to 2) at a time, as a share of the
    /// capacity of one domain.
    std::function<double(std::size_t domain, core::duration at)> load;
    /// Interval of the reports of a domain to the others.
    std::function<core::duration(std::size_t domain)> report_interval;
    /// Whether messages between two domains are lost at a time.
    std::function<bool(std::size_t from, std::size_t to, core::duration at)>
        is_cut;
    /// Time at which the owner of domain 1 is lost.
    std::optional<core::duration> owner_lost_at;
};

/// @brief Counts of an @ref overflow_replay.
struct overflow_counts
{
    std::size_t jobs = 0;
    std::size_t completed = 0;
    std::size_t on_time = 0;
    std::size_t rejected = 0;
    std::size_t abandoned = 0;
    /// Jobs rejected while a reachable domain had enough free capacity, no
    /// waiting work and the time to run them.
    std::size_t rejected_with_capacity = 0;
    /// Offers to another domain than the caller's.
    std::size_t remote_offers = 0;
    /// Jobs with at least one of them.
    std::size_t jobs_that_left = 0;
    /// Most offers of one job, without those to successors.
    std::size_t most_offers = 0;
    /// Jobs that were answered twice or offered twice in a domain after a
    /// rejection there.
    std::size_t faults = 0;
};

/// @brief Replays the load of deployment A between the gateways and owners of
/// three failure domains in virtual time, without a network.
///
/// An owner has the admission of the scheduler and one pool of cores. It starts
/// the tasks of waiting jobs by their objectives.
class overflow_replay
{
public:
    /// 117 executors of 64 cores.
    static constexpr std::uint32_t domain_millicores = 117 * 64'000;
    static constexpr std::uint32_t task_millicores = 32'000;
    /// Share of the capacity that admission counts on.
    static constexpr double usable_fraction = 0.85;

    explicit overflow_replay(overflow_scenario scenario);

    /// @brief Returns the counts of a run with the given length.
    overflow_counts run(core::duration length);

private:
    struct held_job
    {
        core::leased_job job;
        core::instance_id gateway;
        std::uint64_t sequence = 0;
        core::time_point due{};
        std::uint32_t waiting = 0;
        std::uint32_t running = 0;
        bool started = false;
    };
    struct owner_state
    {
        core::instance_id instance;
        std::uint64_t term = 1;
        std::uint32_t free = 0;
        bool down = false;
        std::map<core::client_job_id, held_job> jobs;
    };
    struct gateway_state
    {
        gateway_state(std::size_t home, core::instance_id id);

        std::size_t domain;
        core::instance_id instance;
        core::job_gateway gateway;
        /// Last report of each domain and its time.
        std::map<std::size_t, std::pair<core::owner_view, core::time_point>>
            reports;
    };
    struct followed_job
    {
        core::leased_job job;
        core::time_point arrived{};
        std::vector<core::domain_id> offered_in;
        bool answered = false;
    };
    struct timed_work
    {
        core::time_point at{};
        std::uint64_t number = 0;
        std::function<void()> work;
        friend bool operator<(timed_work const& left, timed_work const& right)
        {
            return std::pair{left.at, left.number} >
                   std::pair{right.at, right.number};
        }
    };

    void schedule(core::duration delay, std::function<void()> work);
    /// Runs work in another domain after the latency unless the link is cut.
    void send(std::size_t from, std::size_t to, std::function<void()> work);
    void arrive(std::size_t domain);
    void report(std::size_t domain, std::size_t to);
    void tick_gateways();
    void lose_owner();
    void offer(std::size_t domain, core::instance_id gateway,
               core::job_offer const& offered);
    void start_waiting(std::size_t domain);
    void expire(std::size_t domain);
    void task_ended(std::size_t domain, core::client_job_id id,
                    std::uint32_t millicores);
    void send_verdict(std::size_t domain, held_job const& held,
                      core::job_outcome outcome);
    void apply(gateway_state& gateway,
               std::vector<core::gateway_action> const& actions);
    void answered(gateway_state const& gateway, core::answer_job const& answer);
    [[nodiscard]] std::vector<core::owner_view>
    views(gateway_state const& gateway) const;
    [[nodiscard]] double waiting_work(owner_state const& owner,
                                      core::time_point due) const;
    [[nodiscard]] core::duration since_start() const
    {
        return now_ - start_;
    }

    overflow_scenario scenario_;
    /// Draws of the load; separate, so that it does not depend on decisions.
    std::mt19937 arrivals_{7};
    std::mt19937 random_{11};
    core::time_point start_{std::chrono::seconds{100}};
    core::time_point now_ = start_;
    core::duration length_{};
    std::uint64_t last_number_ = 0;
    std::uint64_t last_job_ = 0;
    std::priority_queue<timed_work> queue_;
    std::vector<owner_state> owners_;
    std::vector<std::unique_ptr<gateway_state>> gateways_;
    std::map<core::client_job_id, followed_job> followed_;
    overflow_counts counts_;
};

} // namespace goldcrestgate::tests
