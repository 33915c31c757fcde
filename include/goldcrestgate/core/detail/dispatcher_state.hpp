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
struct turn
{
    time_point now;
    std::vector<action>& out;
};

/// @brief What the instance list says of a backend server, and its own word.
struct known_server
{
    listed_instance listed;
    std::uint32_t open_attempts = 0;
    /// When the server last refused a start as it is leaving.
    std::optional<time_point> refused_leaving_at;
};

/// Bytes of records in one batch for a copy; a frame holds 16 MiB.
inline constexpr std::size_t copy_batch_bytes = std::size_t{1024} * 1024;

/// @brief The data that the concerns of a dispatcher share.
struct dispatcher_state
{
    explicit dispatcher_state(dispatcher_options chosen)
        : options(std::move(chosen))
        , decisions(options.kept_decisions)
        , minters{id_minter{options.self, options.id_lifetime}}
        , chain(make_chain())
        , store(copy_store_builder{}
                    .self(options.self)
                    .inject_defects(options.broken)
                    .build())
    {
    }

    /// @brief Returns the minter of an incarnation of this process, or null.
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

    /// @brief Takes a new incarnation for new ids, whose jobs get a new copy
    /// chain; towards its peers the process keeps its identity.
    void renew(incarnation next)
    {
        instance_key owner = options.self;
        owner.incarnation = next;
        minters.emplace_back(owner, options.id_lifetime);
        chain = make_chain();
    }

    /// @brief Returns a copy chain for the present incarnation.
    [[nodiscard]] copy_chain make_chain() const
    {
        return copy_chain_builder{}
            .self(self())
            .copies(options.copies)
            .copy_wait(options.copy_wait)
            .batch_limit(options.copy_batch_records, copy_batch_bytes)
            .inject_defects(options.broken)
            .build();
    }

    /// @brief Returns the owner that new ids name.
    [[nodiscard]] instance_key const& self() const
    {
        return minters.back().owner();
    }

    /// @brief Writes a decision to the log and keeps it for `explain`.
    void record(record_decision const& decision, turn& now)
    {
        decisions.add(now.now, decision);
        now.out.emplace_back(decision);
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
    /// The last one mints; those before it belong to sealed incarnations.
    std::vector<id_minter> minters;
    /// The copies of the newest incarnation's jobs.
    copy_chain chain;
    /// The copies of other owners' jobs.
    copy_store store;
    /// Built with the time of the first event.
    std::optional<core::membership> members;
    /// Held responses of local callers.
    std::unordered_map<request_id, submission_id> held;
    dispatcher_counts counts;
    bool place_timer_is_set = false;
    bool list_seen = false;
    bool is_ready = false;
    bool is_stopping = false;
    bool is_stopped = false;
    /// When a stopping instance without work may end.
    std::optional<time_point> handover_until;
};

} // namespace goldcrestgate::core::detail
