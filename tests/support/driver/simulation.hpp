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

/// @brief What a run did, to tell an idle run from a thorough one.
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

/// @brief Runs several dispatchers with fakes for all that surrounds them.
///
/// Virtual time, one thread, no input or output: a schedule and the code
/// determine the run.
class world
{
public:
    /// @param broken rules that all dispatchers of the run break
    explicit world(schedule const& plan, core::detail::injected_defects broken);

    /// @brief Runs the schedule and a quiet time after it.
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
    using task_function = std::function<void()>;

    struct scheduled
    {
        sim_time at{};
        std::uint64_t order = 0;
        task_function run;
    };

    struct later
    {
        bool operator()(scheduled const& left, scheduled const& right) const
        {
            return left.at != right.at ? left.at > right.at
                                       : left.order > right.order;
        }
    };

    /// An entry instance: its process, clock and input.
    struct instance
    {
        core::instance_key key;
        std::string rack;
        std::unique_ptr<core::dispatcher> process;
        /// Increases with each process; 0 before the first one.
        std::uint64_t life = 0;
        bool listed = false;
        std::optional<sim_time> stopping_since;
        bool paused = false;
        sim_time last_paused{};
        sim_time paused_until{};
        sim_time blind_until{};
        sim_time last_list{};
        sim_time born{};
        double clock_rate = 1.0;
        std::vector<core::event> input;
        std::optional<sim_time> tick_at;
        std::set<std::uint32_t> wanted_peers;
        std::uint64_t open_starts = 0;
    };

    /// The connection of two instances.
    struct link
    {
        bool up = false;
        sim_time cut_until{};
    };

    struct known_job
    {
        std::uint32_t flags = 0;
        std::uint32_t tasks = 0;
        std::optional<core::submission_id> id;
        /// Follow-up steps that wait for the id.
        std::vector<schedule_step> waiting;
    };

    // time
    void at(sim_time when, task_function run);
    void after(sim_time delay, task_function run);
    std::int64_t draw(std::int64_t low, std::int64_t high);
    bool draw_chance(std::uint32_t per_mille);
    sim_time draw_ms(std::int64_t low_us, std::int64_t high_us);

    // instances
    void boot(std::uint32_t id);
    void kill(std::uint32_t id);
    void give(std::uint32_t id, std::uint64_t life, core::event input);
    void handle(instance& target, core::event&& input);
    void arm_tick(instance& target);
    void resume(std::uint32_t id);
    void perform(instance& source, core::action& order);
    void stopped(instance& source);

    // network
    link& link_of(std::uint32_t left, std::uint32_t right);
    void dial(std::uint32_t from, std::uint32_t to, sim_time delay);
    void try_connect(std::uint32_t from, std::uint64_t life, std::uint32_t to);
    void connect(std::uint32_t from, std::uint32_t to);
    void break_link(std::uint32_t left, std::uint32_t right);
    void send(instance& source, core::send_to_peer const& order);
    void cut(std::uint32_t left, std::uint32_t right, sim_time span);

    // platform
    void publish_list();
    void read_list(std::uint32_t id, std::uint64_t life);

    // backend servers
    void start(instance& source, core::start_task const& order);
    void arrive(std::uint32_t id, std::uint64_t life,
                core::start_task const& order, bool late);
    void finish(std::uint32_t id, std::uint64_t life,
                core::start_task const& order, std::uint64_t run);
    void cancel(instance& source, core::cancel_task const& order);
    void end_attempt(std::uint32_t id, std::uint64_t life,
                     core::start_task const& order, core::task_outcome outcome,
                     sim_time delay);
    void crash_server(fake_server& server, sim_time span);
    bool starts_too_late(fake_server const& server,
                         instance const& sender) const;

    // callers
    void run_step(schedule_step const& step);
    void run_job_step(schedule_step const& step);
    void submit_job(std::uint32_t number, std::uint32_t through,
                    std::uint32_t body);
    void mint_for(std::uint32_t number, std::uint32_t through);
    void minted(caller_request const& request, std::string const& body);
    std::uint32_t reachable(std::uint32_t preferred) const;
    void ask(caller_request request,
             std::function<core::event(core::request_id)> const& make);
    void answered(instance& source, core::answer_caller const& answer);
    void resubmit_later(caller_request const& request);
    void check_promptness(core::request_id request);
    void ask_for_fates(std::optional<std::uint32_t> lost_owner);

    schedule plan_;
    core::detail::injected_defects broken_;
    random_source random_;
    guarantee_checks checks_;
    run_counts counts_;
    core::settings_ptr settings_;

    sim_time now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, later> queue_;

    std::map<std::uint32_t, instance> instances_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, link> links_;
    std::map<std::uint32_t, fake_server> servers_;
    core::instance_list list_;
    sim_time list_stale_until_{};
    std::uint64_t runs_ = 0;
    /// Attempts whose end was told to their sender.
    std::set<fake_server::attempt_key> ended_;
    /// Connections that an instance is trying to make.
    std::set<std::pair<std::uint32_t, std::uint32_t>> dialing_;

    std::vector<known_job> jobs_;
    std::map<core::request_id, caller_request> requests_;
    std::uint64_t last_request_ = 0;
    std::optional<sim_time> owner_lost_at_;
};

} // namespace goldcrestgate::test
