#pragma once

#include "support/executor_fleet.hpp"

#include "goldcrestgate/core/leasing/job_scheduler.hpp"

#include <functional>
#include <map>
#include <span>
#include <vector>

namespace goldcrestgate::tests
{

/// @brief Scheduler that owns the simulated executors and can be killed.
class fleet_owner
{
public:
    explicit fleet_owner(executor_fleet& fleet,
                         core::scheduler_limits const& limits = {});

    /// @brief Lists and claims all executors and waits for their answers.
    void start(std::uint64_t token = 1);

    /// @brief Offers a job whose tasks all have the given true work.
    void submit(core::leased_job const& job, core::duration work);

    /// @brief Offers a job of one group whose estimate equals the true work.
    core::leased_job submit(std::uint64_t id, std::uint16_t tasks,
                            core::duration work);

    void list_all();
    void list(core::executor_id id);
    void list(core::executor_id id,
              core::executor_description const& description);
    void unlist(core::executor_id id);
    /// @brief Returns the token of the n-th claim. It leaves room for the
    /// renewals of an owner's token, which stay below the next claim.
    [[nodiscard]] static core::fencing_token token_of(std::uint64_t claim);
    void take_over(std::uint64_t token, bool roster_known);
    void offer(core::leased_job const& job, bool resumed = false,
               core::instance_id origin = core::instance_id{1},
               core::duration elapsed = {});

    /// @brief Lists the new process of each executor that restarts after a
    /// crash, as the store reports it.
    void list_restarted();

    /// @brief Adopts the crashes that another owner has recorded, as from its
    /// last heartbeat.
    void adopt_crashes(fleet_owner const& other);
    void adopt_crashes(std::span<core::task_crashes const> reported);

    /// @brief Ends the owner's process; orders that it has sent still arrive.
    void kill()
    {
        killed_ = true;
    }

    /// @brief Pauses the owner's process: it handles what arrives meanwhile
    /// after the given time.
    void pause(core::duration time);

    /// @brief Returns whether the owner's process is paused.
    [[nodiscard]] bool paused() const;

    core::job_scheduler scheduler;
    std::map<core::client_job_id, core::job_verdict> verdicts;
    std::map<core::client_job_id, core::time_point> ended_at;
    /// All start orders so far.
    std::vector<core::start_run> start_orders;
    /// Also receives each verdict, if set.
    std::function<void(core::report_verdict const&)> verdict_receiver;

    /// @brief Executes the actions that the scheduler asks for.
    void apply(std::vector<core::scheduler_action> const& actions);

private:
    void tick();

    /// Calls a function now, or after the pause of the owner's process.
    void when_resumed(std::function<void()> work);

    executor_fleet& fleet_;
    bool killed_ = false;
    core::time_point paused_until_{};
};

/// @brief Checks that no rejected job has started.
void check_rejections(executor_fleet const& fleet, fleet_owner const& owner);

/// @brief Makes a job of one group.
[[nodiscard]] core::leased_job
make_leased_job(std::uint64_t id, std::uint16_t tasks, core::duration estimate);

/// @brief Makes a job of one task whose caller waits until the time limit; it
/// outlasts silences and restarts of its executor.
/// @pre the time limit is over 0.5 s
[[nodiscard]] core::leased_job make_patient_job(std::uint64_t id,
                                                core::duration estimate,
                                                core::duration time_limit);

} // namespace goldcrestgate::tests
