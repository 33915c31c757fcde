#pragma once

#include "goldcrestgate/core/dispatcher.hpp"
#include "support/dispatcher_driver.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace goldcrestgate::test
{

/// @brief Simulates several dispatchers with their links and backend servers in
/// virtual time.
///
/// Links deliver messages in order with a fixed delay. Every task succeeds
/// after the run time set by @ref set_run_time; the cluster counts its starts.
class dispatcher_cluster
{
public:
    /// @brief The response to a caller.
    struct answer
    {
        std::uint16_t status = 0;
        std::string body;
        time_point at;
    };

    /// @param domains the failure domain of each instance; instance ids are the
    /// positions in this list
    explicit dispatcher_cluster(std::vector<std::uint16_t> const& domains,
                                service_policy const& policy = {},
                                std::uint32_t slots = 8);

    // input

    /// @brief Mints an id at an instance.
    submission_id mint(std::size_t at);

    /// @brief Submits a job at an instance.
    request_id submit(std::size_t at, submission_id const& id,
                      std::size_t tasks, bool repeatable = false);

    /// @brief Queries the answer of a submission at an instance.
    request_id query(std::size_t at, submission_id const& id,
                     duration wait = 10s);

    /// @brief Cancels a submission at an instance.
    request_id cancel(std::size_t at, submission_id const& id);

    /// @brief Kills a process; its address refuses connections until a restart.
    void kill(std::size_t index);

    /// @brief Starts a new process in place of a killed one.
    void restart(std::size_t index);

    /// @brief Pauses a process; its connections stay open.
    void pause(std::size_t index);

    /// @brief Resumes a paused process, which then receives its backlog.
    void resume(std::size_t index);

    /// @brief Cuts or restores the link between two instances.
    void cut(std::size_t left, std::size_t right, bool is_cut);

    /// @brief Begins a graceful stop of an instance.
    void stop(std::size_t index);

    /// @brief Advances virtual time by @a span.
    void run(duration span);

    // output

    /// @brief Returns the response to a request, if there is one.
    [[nodiscard]] std::optional<answer> find(request_id request) const;

    /// @brief Returns how often a task was sent to a backend server.
    [[nodiscard]] std::size_t starts(task_key const& task) const;

    [[nodiscard]] bool has_stopped(std::size_t index) const;

    [[nodiscard]] time_point now() const
    {
        return now_;
    }

    dispatcher& at(std::size_t index)
    {
        return *nodes_[index].core;
    }

    /// @brief Sets the run time of tasks that start from now on.
    void set_run_time(duration run_time)
    {
        run_time_ = run_time;
    }

private:
    struct node
    {
        instance_key key;
        std::optional<dispatcher> core;
        bool is_paused = false;
        bool has_stopped = false;
        /// Events that arrived while the process was paused.
        std::vector<event> backlog;
    };

    struct delivery
    {
        std::size_t to = 0;
        /// The event is dropped if the receiving process has been replaced.
        instance_key receiver;
        event input;
    };

    struct link
    {
        bool is_wanted = false;
        bool is_up = false;
    };

    void start(std::size_t index);
    void handle(std::size_t index, event input);
    void apply(std::size_t index, std::vector<action>& actions);
    void perform(std::size_t index, action& requested);
    void begin_task(std::size_t index, start_task const& started);
    void send(std::size_t from, send_to_peer& message);
    void update_links();
    void drop_link(std::size_t left, std::size_t right);
    void schedule(time_point at, std::size_t to, event input);
    [[nodiscard]] bool is_running(std::size_t index) const;
    [[nodiscard]] std::optional<time_point> next_time() const;

    service_policy policy_;
    std::uint32_t slots_;
    std::vector<node> nodes_;
    std::map<std::pair<std::size_t, std::size_t>, link> links_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::multimap<time_point, delivery> deliveries_;
    std::map<request_id, answer> answers_;
    std::map<task_key, std::size_t> starts_;
    time_point now_{1s};
    time_point next_link_update_{1s};
    duration run_time_ = 100ms;
    std::uint64_t requests_ = 0;
    std::uint64_t incarnations_ = 1000;
};

} // namespace goldcrestgate::test
