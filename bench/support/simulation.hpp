#pragma once

#include "support/policies.hpp"
#include "support/random.hpp"
#include "support/results.hpp"
#include "support/workload.hpp"

#include <cstdint>
#include <queue>
#include <vector>

namespace goldcrestgate::bench
{

/// @brief Simulates in virtual time how entry instances with the same policy,
/// which share the executors of a failure domain, run a workload.
class simulation
{
public:
    /// @param policies one for each entry instance
    /// @pre @a work outlives the object
    /// @par Thread safety
    /// Not safe.
    simulation(workload const& work, std::vector<entry_policy> policies);

    /// @brief Runs until every job has ended.
    /// @pre called once
    /// @par Thread safety
    /// Not safe.
    run_result run();

private:
    static constexpr core::duration heartbeat_interval =
        std::chrono::milliseconds{250};

    enum class event_kind : std::uint8_t
    {
        job_arrives,
        start_arrives,
        work_ends,
        reply_arrives,
        cancel_arrives,
        tick,
        fault,
        view_changes,
        heartbeat,
        note_arrives
    };

    struct timed_event
    {
        core::time_point at;
        std::uint64_t sequence = 0;
        event_kind kind = event_kind::tick;
        /// Index of the job, attempt, slot update or entry instance, depending
        /// on @ref kind.
        std::uint32_t subject = 0;

        friend bool operator>(timed_event const& left, timed_event const& right)
        {
            return left.at != right.at ? left.at > right.at
                                       : left.sequence > right.sequence;
        }
    };

    struct attempt
    {
        task_ref task;
        std::uint32_t instance = 0;
        std::uint32_t server = 0;
        core::duration work_time{};
        std::uint32_t reported_open = 0;
        core::task_outcome outcome = core::task_outcome::succeeded;
        bool holds_slot = false;
        bool ended = false;
    };

    struct sent_update
    {
        std::uint32_t to = 0;
        core::slot_update update;
    };

    struct job_progress
    {
        std::uint32_t instance = 0;
        std::uint32_t open = 0;
        /// Indices of the attempts that have been sent and not answered.
        std::vector<std::uint32_t> running;
    };

    void schedule(core::time_point at, event_kind kind, std::uint32_t subject);
    void handle(timed_event const& next);
    void job_arrives(std::uint32_t job);
    void start_arrives(std::uint32_t index);
    void work_ends(std::uint32_t index);
    void reply_arrives(std::uint32_t index);
    void cancel_arrives(std::uint32_t index);
    void tick();
    void begin_fault();
    void update_views();
    void heartbeat(std::uint32_t instance);
    void update_demands(std::uint32_t instance);
    void exchange(std::uint32_t instance);
    void note_arrives(std::uint32_t index);
    [[nodiscard]] std::uint32_t rank_of(std::uint32_t instance) const;
    [[nodiscard]] std::uint32_t instance_at(std::uint32_t rank) const;

    void dispatch(std::uint32_t instance);
    void send_start(std::uint32_t instance, start_choice const& choice);
    void reply(std::uint32_t index, core::task_outcome outcome);
    void task_succeeded(attempt const& done);
    /// Counts an unsuccessful attempt of an open job and its messages; returns
    /// whether the task is retried.
    bool record_failure(attempt const& ended);
    void end_job(std::uint32_t job, job_end end);
    void cancel_job(std::uint32_t job);
    [[nodiscard]] bool is_open(std::uint32_t job) const;
    [[nodiscard]] core::duration network_delay();
    void compute_goodput();

    workload const& work_;
    std::vector<entry_policy> policies_;
    std::vector<bool> alive_;
    std::vector<std::uint32_t> used_slots_;
    /// Unfinished tasks in the open jobs of each entry instance.
    std::vector<std::uint32_t> open_tasks_;
    /// Open tasks of each instance as its last heartbeat reported them.
    std::vector<std::uint32_t> reported_tasks_;
    /// Whether each instance is in the views of the others, which keep a lost
    /// instance until its loss is detected.
    std::vector<bool> in_view_;
    std::vector<sent_update> updates_;
    std::vector<attempt> attempts_;
    std::vector<job_progress> progress_;
    std::vector<std::uint8_t> failed_attempts_;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>>
        events_;
    random_source random_;
    core::time_point now_;
    std::uint64_t sequence_ = 0;
    std::uint32_t open_jobs_ = 0;
    run_result result_;
};

} // namespace goldcrestgate::bench
