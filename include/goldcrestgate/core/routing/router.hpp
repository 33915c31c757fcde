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

/// @brief The properties of a task that decide its placement.
struct task_demand
{
    service_id service;
    duration declared_run_time{};
    bool repeatable = false;
    /// Servers that must not run this task.
    std::span<server_id const> excluded;
    /// Sum of the expected run times of the tasks that faster servers run
    /// first, including this one; zero to start on a slow server rather than
    /// wait.
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

/// @brief No server has a free slot for this instance now, or the task is
/// expected to end earlier if it waits for a faster server.
struct no_capacity
{
    /// Whether a slow server is free, but waiting for a faster one is better.
    bool better_to_wait = false;
};

/// @brief All live servers are excluded for the task, or it excludes some and
/// no server is live.
struct cannot_run
{
};

using placement_result = std::variant<placement, no_capacity, cannot_run>;

/// @brief Chooses the backend server of a failure domain for each task.
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

    /// @brief Sets this instance's rank among the live instances of its failure
    /// domain, which share the servers' slots.
    /// @pre @a rank is less than @a count
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_view(std::uint32_t rank, std::uint32_t count);

    /// @brief Divides the slots in proportion to the open tasks of the live
    /// instances, as their heartbeats report them, instead of in equal parts.
    /// @param open_tasks open tasks by rank, including this instance's
    /// @pre as many values as the count of the last @ref set_view; otherwise
    /// the call has no effect
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_demands(std::span<std::uint32_t const> open_tasks);

    /// @brief Allows or forbids the use of slots beyond this instance's share
    /// while replies show them to be free; allowed by default.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_borrowing(bool allowed);

    /// @brief Replaces the settings.
    /// @pre @a settings is not null
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void set_settings(settings_ptr settings);

    // exchange of slots with the other instances

    /// @brief Transfers free slots to the instances that need them and decides
    /// whether to announce this instance's need.
    ///
    /// Call it before and after waiting tasks are placed. An owner that
    /// exchanges slots turns borrowing off, so that each slot has one holder.
    /// @param waiting this instance's waiting tasks
    /// @param out receives the updates to send
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void exchange_slots(std::uint32_t waiting, time_point now,
                        std::vector<slot_update>& out);

    /// @brief Applies an update of another instance: the slots that it
    /// transfers and the need that it announces.
    /// @param update the update, with the rank of its sender
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void receive_slots(slot_update const& update);

    /// @brief Returns the slots that this instance can expect for its waiting
    /// tasks; the slots of all live servers if no other instance announced a
    /// need.
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

    /// @brief Records that an attempt is being sent to a server.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void task_started(server_id server, service_id service,
                      duration declared_run_time, time_point now);

    /// @brief Records how an attempt ended and updates the estimates.
    /// @param work_time the time that the task took, as the server reports it
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

    /// @brief Returns the expected work time of a task on a server of mean
    /// speed, corrected for the error of the service's declared run times.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] duration expected_run_time(service_id service,
                                             duration declared) const;

    /// @brief Returns when a server that refused a start may be tried again; a
    /// waiting task can then be placed without any other event.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<time_point> next_backoff_end() const;

    /// @brief Returns the number of ranking steps of all decisions so far, a
    /// measure of their cost that does not depend on the hardware.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint64_t steps() const;

private:
    // The servers in order of speed for one service.
    struct server_ranking
    {
        server_order order;
        /// The log factors that the servers were sorted by.
        std::vector<float> log_factors;
        /// For each rank, the slots of all faster servers, and the sum of these
        /// slots weighted by the speed of their servers.
        std::vector<float> faster_slots;
        std::vector<float> faster_capacity;
        std::uint64_t journal_position = 0;
        std::uint32_t placements = 0;
        std::uint32_t server_set_version = 0;
        bool stale = false;
    };

    [[nodiscard]] std::optional<server_index> find(server_id server) const;
    [[nodiscard]] bool live(server_index server) const;
    [[nodiscard]] bool all_excluded(task_demand const& demand) const;
    [[nodiscard]] double ejection_limit(service_id service) const;
    void transfer_slots(std::uint32_t count, std::vector<slot_transfer>& out);
    void refresh(server_index server);
    void refresh_all();
    server_ranking& updated_ranking(service_id service);
    void rebuild(server_ranking& ranking, service_id service);
    void apply_journal(server_ranking& ranking);
    void accumulate_faster(server_ranking& ranking);
    void reload_usable(server_ranking& ranking);
    std::optional<server_index> next_allowed(server_ranking const& ranking,
                                             task_demand const& demand,
                                             std::uint32_t& rank);
    [[nodiscard]] bool better_to_wait(server_ranking const& ranking,
                                      task_demand const& demand,
                                      std::uint32_t rank) const;
    std::optional<placement> place_probe(task_demand const& demand,
                                         time_point now);
    void learn(server_index server, service_id service, duration declared,
               duration work_time);

    std::unordered_map<server_id, server_index> index_by_id_;
    std::vector<server_id> server_ids_;
    std::vector<server_index> free_indices_;
    service_time_model time_model_;
    slot_ledger ledger_;
    slot_exchange exchange_;
    std::uint32_t rank_ = 0;
    outcome_monitor outcomes_;
    /// Whether each server can accept a start now.
    std::vector<bool> usable_;
    /// The speed log factor of each server at the last change that marked the
    /// rankings of all services as stale.
    std::vector<float> published_speed_;
    std::vector<server_ranking> rankings_;
    /// Servers whose usability changed; each ranking applies these changes.
    std::vector<server_index> journal_;
    std::uint64_t journal_start_ = 0;
    /// Counts the changes of the set of servers.
    std::uint32_t server_set_version_ = 1;
    std::uint64_t steps_ = 0;
    /// Moving mean of the expected work of started tasks, in microseconds.
    float mean_task_work_ = 0.0F;
    /// Slots of all live servers that are not ejected, at the last sort.
    float eligible_slots_ = 0.0F;
    /// The service of the last placement; slots are transferred in its order of
    /// servers.
    service_id last_service_;
    settings_ptr settings_;
};

} // namespace goldcrestgate::core
