#pragma once

#include "goldcrestgate/core/dispatcher.hpp"
#include "support/driver/fake_server.hpp"
#include "support/driver/guarantee_checks.hpp"
#include "support/driver/random.hpp"
#include "support/driver/schedule.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestgate::test
{

/// @brief Counts of a run, which show whether it exercised the dispatchers.
struct run_counts
{
    std::uint64_t events = 0;
    std::uint64_t peer_messages = 0;
    std::uint64_t copy_messages = 0;
    std::uint64_t starts = 0;
    std::uint64_t runs = 0;
    std::uint64_t answers = 0;
    std::uint64_t jobs_done = 0;
    std::uint64_t fates_by_copies = 0;
};

/// @brief Deterministic simulation of entry instances that run real
/// dispatchers.
///
/// Callers, backend servers, network and platform are simulated. The simulation
/// uses virtual time and one thread and does no input or output, so a schedule
/// and the code determine the run.
class simulation
{
public:
    /// @param defects defects to inject into all dispatchers of the run
    explicit simulation(schedule const& plan,
                        core::detail::injected_defects defects);

    /// @brief Runs the schedule, then a period without new faults in which open
    /// work can finish.
    void run();

    [[nodiscard]] std::vector<violation> const& violations() const
    {
        return checks_.violations();
    }

    [[nodiscard]] run_counts const& counts() const
    {
        return counts_;
    }

private:
    using callback = std::function<void()>;

    struct scheduled_event
    {
        sim_time at{};
        std::uint64_t sequence = 0;
        callback run;
    };

    struct runs_later
    {
        bool operator()(scheduled_event const& left,
                        scheduled_event const& right) const
        {
            return left.at != right.at ? left.at > right.at
                                       : left.sequence > right.sequence;
        }
    };

    /// Entry instance with its process, clock and input.
    struct instance
    {
        core::instance_key key;
        std::string rack;
        std::unique_ptr<core::dispatcher> process;
        /// Generation of the process; increases with each start, 0 before the
        /// first.
        std::uint64_t generation = 0;
        bool listed = false;
        std::optional<sim_time> stopping_since;
        bool paused = false;
        sim_time last_paused{};
        sim_time paused_until{};
        sim_time list_unreadable_until{};
        sim_time last_list{};
        sim_time started_at{};
        double clock_rate = 1.0;
        std::vector<core::event> input;
        std::optional<sim_time> tick_at;
        std::set<std::uint32_t> wanted_peers;
        std::uint64_t open_starts = 0;
    };

    /// Connection between two instances.
    struct link
    {
        bool up = false;
        sim_time cut_until{};
    };

    struct tracked_job
    {
        std::uint32_t flags = 0;
        std::uint32_t tasks = 0;
        std::optional<core::submission_id> id;
        /// Follow-up steps, run once the id is known.
        std::vector<schedule_step> pending_steps;
    };

    // time
    void at(sim_time when, callback run);
    void after(sim_time delay, callback run);
    std::int64_t draw(std::int64_t low, std::int64_t high);
    bool draw_chance(std::uint32_t per_mille);
    sim_time draw_duration(std::int64_t low_us, std::int64_t high_us);

    // instances
    void start_process(std::uint32_t id);
    void kill(std::uint32_t id);
    void deliver(std::uint32_t id, std::uint64_t generation, core::event input);
    void handle(instance& target, core::event&& input);
    void arm_tick(instance& target);
    void resume(std::uint32_t id);
    void perform(instance& source, core::action& order);
    void on_stopped(instance& source);

    // network
    link& link_between(std::uint32_t left, std::uint32_t right);
    void dial(std::uint32_t from, std::uint32_t to, sim_time delay);
    void try_connect(std::uint32_t from, std::uint64_t generation,
                     std::uint32_t to);
    void connect(std::uint32_t from, std::uint32_t to);
    void break_link(std::uint32_t left, std::uint32_t right);
    void send(instance& source, core::send_to_peer const& order);
    void cut(std::uint32_t left, std::uint32_t right, sim_time span);

    // platform
    void publish_list();
    void read_list(std::uint32_t id, std::uint64_t generation);

    // backend servers
    void send_start(instance& source, core::start_task const& order);
    void receive_start(std::uint32_t id, std::uint64_t generation,
                       core::start_task const& order, bool past_leaving_limit);
    void finish_run(std::uint32_t id, std::uint64_t generation,
                    core::start_task const& order, std::uint64_t run);
    void send_cancel(instance& source, core::cancel_task const& order);
    void report_attempt_end(std::uint32_t id, std::uint64_t generation,
                            core::start_task const& order,
                            core::task_outcome outcome, sim_time delay);
    void crash_server(fake_server& server, sim_time span);
    bool is_past_leaving_limit(fake_server const& server,
                               instance const& sender) const;

    // callers
    void run_step(schedule_step const& step);
    void run_job_step(schedule_step const& step);
    void submit_job(std::uint32_t number, std::uint32_t via_instance,
                    std::uint32_t body);
    void request_job_id(std::uint32_t number, std::uint32_t via_instance);
    void on_job_id(caller_request const& request, std::string const& body);
    std::uint32_t pick_live_instance(std::uint32_t preferred) const;
    void send_request(caller_request request,
                      std::function<core::event(core::request_id)> const& make);
    void on_answer(instance& source, core::answer_caller const& answer);
    void resubmit_later(caller_request const& request);
    void check_answered_in_time(core::request_id request);
    void query_fates(std::optional<std::uint32_t> lost_owner);

    schedule plan_;
    core::detail::injected_defects defects_;
    random_source random_;
    guarantee_checks checks_;
    run_counts counts_;
    core::settings_ptr settings_;

    sim_time now_{};
    std::uint64_t last_sequence_ = 0;
    std::priority_queue<scheduled_event, std::vector<scheduled_event>,
                        runs_later>
        queue_;

    std::map<std::uint32_t, instance> instances_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, link> links_;
    std::map<std::uint32_t, fake_server> servers_;
    core::instance_list list_;
    sim_time list_stale_until_{};
    std::uint64_t last_run_ = 0;
    /// Attempts whose end was reported to their sender.
    std::set<fake_server::attempt_key> reported_ends_;
    /// Pending connection attempts, as pairs of source and target.
    std::set<std::pair<std::uint32_t, std::uint32_t>> dialing_;

    std::vector<tracked_job> jobs_;
    std::map<core::request_id, caller_request> requests_;
    std::uint64_t last_request_ = 0;
    std::optional<sim_time> owner_lost_at_;
};

} // namespace goldcrestgate::test
