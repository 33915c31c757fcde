#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/admission/admission_queue.hpp"
#include "goldcrestgate/core/admission/retry_budget.hpp"
#include "goldcrestgate/core/detail/decision_log.hpp"
#include "goldcrestgate/core/detail/timer_queue.hpp"
#include "goldcrestgate/core/dispatcher.hpp"
#include "goldcrestgate/core/membership/membership.hpp"
#include "goldcrestgate/core/recovery/copy_chain.hpp"
#include "goldcrestgate/core/recovery/copy_store.hpp"
#include "goldcrestgate/core/routing/router.hpp"
#include "goldcrestgate/core/submission/id_minter.hpp"
#include "goldcrestgate/core/submission/submission_table.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestgate::core::detail
{

/// @brief The time and the output of one call of @ref dispatcher::handle.
struct event_context
{
    time_point now;
    std::vector<action>& out;
};

/// @brief A backend server: its entry in the instance list and the state
/// observed by this instance.
struct known_server
{
    listed_instance listed;
    std::uint32_t open_attempts = 0;
    /// When the server last refused a start because it is leaving.
    std::optional<time_point> refused_leaving_at;
};

/// Size limit of the records in one copy batch, in bytes; a frame holds 16 MiB.
inline constexpr std::size_t copy_batch_bytes = std::size_t{1024} * 1024;

/// @brief The state shared by the components of a dispatcher.
struct dispatcher_state
{
    explicit dispatcher_state(dispatcher_options chosen)
        : options(std::move(chosen))
        , decisions(options.decision_log_capacity)
        , minters{id_minter{options.self, options.id_lifetime}}
        , chain(make_chain())
        , store(copy_store_builder{}
                    .self(options.self)
                    .inject_defects(options.defects)
                    .build())
    {
    }

    /// @brief Returns the id minter of an incarnation of this process, or null.
    [[nodiscard]] id_minter* find_minter(instance_key const& owner)
    {
        for (id_minter& candidate : minters)
        {
            if (candidate.owner() == owner)
            {
                return &candidate;
            }
        }
        return nullptr;
    }

    /// @brief Switches to a new incarnation for new ids, with a new copy chain
    /// for their jobs; towards its peers the process keeps its identity.
    void begin_incarnation(incarnation next)
    {
        instance_key owner = options.self;
        owner.incarnation = next;
        minters.emplace_back(owner, options.id_lifetime);
        chain = make_chain();
    }

    /// @brief Returns a copy chain for the current incarnation.
    [[nodiscard]] copy_chain make_chain() const
    {
        return copy_chain_builder{}
            .self(self())
            .copies(options.copies)
            .copy_wait(options.copy_wait)
            .batch_limit(options.copy_batch_records, copy_batch_bytes)
            .inject_defects(options.defects)
            .build();
    }

    /// @brief Returns the owner key of new ids.
    [[nodiscard]] instance_key const& self() const
    {
        return minters.back().owner();
    }

    /// @brief Logs a decision and keeps it for @ref dispatcher::explain.
    void record(record_decision const& decision, event_context& context)
    {
        decisions.add(context.now, decision);
        context.out.emplace_back(decision);
    }

    dispatcher_options options;
    settings_ptr settings;
    core::router router;
    admission_queue queue;
    retry_budget budget;
    timer_queue timers;
    decision_log decisions;
    submission_table table;
    std::unordered_map<server_id, known_server> servers;
    /// The last one mints new ids; the earlier ones belong to sealed
    /// incarnations.
    std::vector<id_minter> minters;
    /// Sends the copies of the jobs of the newest incarnation.
    copy_chain chain;
    /// Holds the copies of jobs of other owners.
    copy_store store;
    /// Created at the first event, which provides the current time.
    std::optional<core::membership> members;
    /// Requests of local callers whose responses are held, with their
    /// submissions.
    std::unordered_map<request_id, submission_id> local_requests;
    dispatcher_counts counts;
    bool is_place_timer_set = false;
    bool has_instance_list = false;
    bool is_ready = false;
    bool is_stopping = false;
    bool is_stopped = false;
    /// When a stopping instance without open work may exit.
    std::optional<time_point> handover_until;
};

} // namespace goldcrestgate::core::detail
