#pragma once

#include "support/domain_cluster.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace goldcrestgate::tests
{

/// @brief Faults of a @ref resubmission_run.
struct resubmission_faults
{
    /// Resets the connections between random instances, in series.
    bool resets = false;
    /// Pauses random instances, which may overlap.
    bool pauses = false;
    /// Pauses all instances at once.
    bool joint_pauses = false;
    /// Replaces random processes by new ones.
    bool restarts = false;
    /// Replaces the processes of all instances at once.
    bool joint_restarts = false;
    /// Callers leave at random before their answer.
    bool leaving_callers = false;
    /// Cuts failure domains off from the others, in one or both directions. The
    /// messages are held up and arrive when the cut ends.
    bool cuts = false;
};

/// @brief Size and load of a @ref resubmission_run.
struct resubmission_load
{
    std::size_t instances_per_domain = 1;
    /// Longest time between two jobs.
    core::duration job_interval = std::chrono::milliseconds{80};
    /// Longest work of a task.
    core::duration longest_work = std::chrono::milliseconds{900};
    /// Longest time between two faults.
    core::duration fault_interval = std::chrono::milliseconds{900};
    /// Time for which callers wait for an answer.
    core::duration caller_wait = std::chrono::milliseconds{1500};
    /// Longest pause of an instance.
    core::duration longest_pause = std::chrono::milliseconds{4000};
    /// Longest cut of a failure domain.
    core::duration longest_cut = std::chrono::milliseconds{5500};
    /// Factor of the intervals of heartbeats to other failure domains.
    int remote_interval_factor = 1;
};

/// @brief Callers that leave without an answer and submit their jobs again at
/// instances of any failure domain, while instances have faults; from one seed.
///
/// A caller leaves when its time is over or its connection ends, and returns
/// after the delay for which the platform's clients wait.
class resubmission_run
{
public:
    static constexpr std::uint16_t domain_count = 3;

    resubmission_run(std::uint64_t seed, resubmission_faults const& faults,
                     resubmission_load const& load);

    void run();

    /// @brief Checks that no task ran twice at a time and that jobs were
    /// served.
    void check() const;

private:
    struct attempt
    {
        core::client_job_id job;
        std::size_t node = 0;
        core::incarnation process;
        bool submitted = false;
        bool ended = false;
    };

    [[nodiscard]] std::uint64_t pick(std::uint64_t below)
    {
        return random_() % below;
    }
    [[nodiscard]] core::duration pick_time(core::duration longest);
    void send(core::client_job_id id);
    void submit(core::request_id request);
    void leave(core::request_id request);
    void send_again(core::client_job_id id);
    void record_answer(core::answer_job const& answer);
    void inject_fault();
    void pause(std::size_t node, core::duration time);
    void restart(std::size_t node);
    void cut_off_domain();
    /// Holds up what the instances of one group send to those of the other.
    void set_held(std::span<std::size_t const> from,
                  std::span<std::size_t const> to, bool held);

    std::string name_;
    std::mt19937_64 random_;
    resubmission_faults faults_;
    resubmission_load load_;
    domain_cluster cluster_;
    std::vector<core::incarnation> processes_;
    bool cut_ = false;
    std::map<core::client_job_id, core::leased_job> jobs_;
    std::map<core::client_job_id, int> attempts_of_;
    std::map<core::request_id, attempt> attempts_;
    std::uint64_t last_job_ = 0;
    std::uint64_t last_request_ = 0;
    std::size_t served_ = 0;
};

/// @brief Plays a number of seeds, from 1 on, and checks each run.
void play_resubmission_seeds(resubmission_faults const& faults,
                             resubmission_load const& load,
                             std::uint64_t seeds = 20);

} // namespace goldcrestgate::tests
