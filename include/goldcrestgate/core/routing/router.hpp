#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/routing/outcome_monitor.hpp"
#include "goldcrestgate/core/routing/server_order.hpp"
#include "goldcrestgate/core/routing/service_time_model.hpp"
#include "goldcrestgate/core/routing/slot_exchange.hpp"
#include "goldcrestgate/core/routing/slot_ledger.hpp"
#include "goldcrestgate/core/settings/settings_view.hpp"
#include "goldcrestgate/core/task.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief What the router needs to know of a task to place it.
struct task_demand
{
    service_id service;
    duration declared_run_time{};
    bool repeatable = false;
    /// Servers that this task must not use again.
    std::span<server_id const> excluded;
    /// Expected run times of the tasks that faster servers run first, this one
    /// included; zero to start on a slow server rather than wait.
    duration waiting_work{};
};

/// @brief The server chosen for a task.
struct placement
{
    server_id server;
    /// Expected time from now until the task ends there.
    duration expected{};
    std::optional<server_id> runner_up;
    duration runner_up_expected{};
    std::string_view reason;
};

/// @brief No server has a free slot for this instance now, or a busy faster
/// one is expected to finish the task earlier.
struct no_capacity
{
    /// Whether a slow server is free, but waiting is better.
    bool better_to_wait = false;
};

/// @brief No server can ever run the task: all have refused it for good.
struct cannot_run
{
};

using placement_result = std::variant<placement, no_capacity, cannot_run>;

/// @brief The backend servers of a failure domain and the choice among them.
class router
{
public:
    // servers

    /// @brief Adds a server or changes its slots.
    /// @pre @a slots is at least 1
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void add_server(server_id server, std::uint32_t slots);

    /// @brief Removes a server; its running attempts may still end.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void remove_server(server_id server);

    /// @brief Marks a server as leaving, or as live again.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_leaving(server_id server, bool leaving);

    /// @brief Sets this instance's place among the live instances of its
    /// failure domain, which share the servers' slots.
    /// @pre @a rank is less than @a count
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_view(std::uint32_t rank, std::uint32_t count);

    /// @brief Divides the slots in proportion to the open tasks of the live
    /// instances, as their heartbeats tell them, instead of in equal parts.
    /// @param open_tasks by rank, this instance's own value included
    /// @pre as many values as the count of the last @ref set_view; otherwise
    /// the call has no effect
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_demands(std::span<std::uint32_t const> open_tasks);

    /// @brief Allows or forbids the use of slots beyond the own share while
    /// replies show them free; allowed at first.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_borrowing(bool allowed);

    /// @brief Replaces the settings.
    /// @pre @a settings is not null
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_settings(settings_ptr settings);

    // exchange of slots with the other instances

    /// @brief Passes free slots to the instances that need them and decides
    /// whether to tell the own need.
    ///
    /// To be called before and after waiting tasks are placed. An owner that
    /// exchanges slots turns borrowing off: each slot then has one holder.
    /// @param waiting this instance's waiting tasks
    /// @param out receives the notes to send
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void exchange_slots(std::uint32_t waiting, time_point now,
                        std::vector<slot_note>& out);

    /// @brief Takes the slots and the need that another instance told.
    /// @param note with the rank of its sender
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void receive_slots(slot_note const& note);

    /// @brief Returns the slots that come to this instance for its waiting
    /// tasks; the slots of all servers if no other instance told a need.
    /// @param waiting this instance's waiting tasks, new ones included
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t expected_slots(std::uint32_t waiting) const;

    /// @brief Returns the slots that this instance holds.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t held_slots() const;

    /// @brief Returns the held slots that no attempt uses.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t free_slots() const;

    // decisions

    /// @brief Chooses a server for a task.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] placement_result place(task_demand const& demand,
                                         time_point now);

    /// @brief Notes that an attempt is being sent to a server.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void task_started(server_id server, service_id service,
                      duration declared_run_time, time_point now);

    /// @brief Notes how an attempt ended and learns from it.
    /// @param work_time the time that the server says the task took
    /// @param open_slots the slots in use that the server reports
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void task_ended(server_id server, service_id service,
                    duration declared_run_time, task_outcome outcome,
                    std::optional<duration> work_time,
                    std::optional<std::uint32_t> open_slots, time_point now);

    // observers

    /// @brief Returns the number of live servers.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::size_t live_servers() const;

    /// @brief Returns the slots of all live servers together.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t total_slots() const;

    /// @brief Returns the work time to expect of a task on a server of mean
    /// speed, with the service's declarations corrected.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] duration expected_run_time(service_id service,
                                             duration declared) const;

    /// @brief Returns when a server that refused a start may be tried again;
    /// a waiting task is then placed without any other event.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point> next_change() const;

    /// @brief Returns the number of index steps of all decisions so far, a
    /// measure of their cost that does not depend on the machine.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint64_t steps() const;

private:
    // The servers in order of speed for one service.
    struct service_index
    {
        server_order order;
        /// The parts that the order was made from.
        std::vector<float> parts;
        /// For each rank, the slots of all faster servers and their speeds.
        std::vector<float> faster_slots;
        std::vector<float> faster_speed;
        std::uint64_t synced = 0;
        std::uint32_t placements = 0;
        std::uint32_t members = 0;
        bool stale = false;
    };

    [[nodiscard]] std::optional<server_slot> find(server_id server) const;
    [[nodiscard]] bool live(server_slot server) const;
    [[nodiscard]] bool all_excluded(task_demand const& demand) const;
    [[nodiscard]] double ejection_limit(service_id service) const;
    void give_slots(std::uint32_t count, std::vector<slot_transfer>& out);
    void refresh(server_slot server);
    void refresh_all();
    service_index& synced_index(service_id service);
    void rebuild(service_index& index, service_id service);
    void replay(service_index& index);
    void sum_faster(service_index& index);
    void fill(service_index& index);
    std::optional<server_slot> next_allowed(service_index const& index,
                                            task_demand const& demand,
                                            std::uint32_t& rank);
    [[nodiscard]] bool better_to_wait(service_index const& index,
                                      task_demand const& demand,
                                      std::uint32_t rank) const;
    std::optional<placement> place_probe(task_demand const& demand,
                                         time_point now);
    void learn(server_slot server, service_id service, duration declared,
               duration work_time);

    std::unordered_map<server_id, server_slot> slots_;
    std::vector<server_id> ids_;
    std::vector<server_slot> unused_;
    service_time_model times_;
    slot_ledger ledger_;
    slot_exchange exchange_;
    std::uint32_t rank_ = 0;
    outcome_monitor outcomes_;
    /// Whether each server can take a start now.
    std::vector<bool> usable_;
    /// The speed part of each server that the indexes were last told of.
    std::vector<float> published_;
    std::vector<service_index> indexes_;
    /// Servers whose usability changed, for the indexes to follow.
    std::vector<server_slot> journal_;
    std::uint64_t journal_start_ = 0;
    /// Counts the changes of the set of servers.
    std::uint32_t members_ = 1;
    std::uint64_t steps_ = 0;
    /// Slots of all servers that take starts, at the last sort.
    /// Moving mean of the expected work of started tasks, in microseconds.
    float usual_work_ = 0.0F;
    float all_slots_ = 0.0F;
    /// The service of the last placement; its order serves to pass slots.
    service_id last_service_;
    settings_ptr settings_;
};

} // namespace goldcrestgate::core
