#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"
#include "goldcrestgate/core/leasing/orders.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrestgate::core
{

/// @brief What the executors have shown of an owner that is silent here.
struct executor_evidence
{
    /// Whether an executor got an order of the owner recently.
    bool owner_lives = false;
    /// Whether an executor has recently refused the owner's token, as it has
    /// seen a higher one.
    bool newer_owner = false;
    /// Whether this instance knows any executor.
    bool executors_known = true;
};

/// @brief Decides by what executors run whether an owner that is silent here is
/// alive.
///
/// An instance polls a few executors with the token of the silent owner, which
/// changes nothing there. A run that an executor did not list before was
/// started by a living owner.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class owner_probe
{
public:
    /// @brief Chooses the executors to poll, spread over racks.
    /// @param candidates executors and their racks
    [[nodiscard]] static std::vector<executor_id> choose(
        std::span<std::pair<executor_id, std::string_view> const> candidates);

    /// @brief Handles the answer of an executor.
    void answered(poll_answer const& answer, time_point now);

    /// @brief Returns whether an executor has recently shown an order of a
    /// living owner.
    [[nodiscard]] bool owner_lives(time_point now) const;

    /// @brief Returns whether an executor has recently refused the token.
    [[nodiscard]] bool token_refused(time_point now) const;

    /// @brief Forgets what the executors have listed.
    void reset()
    {
        listed_.clear();
        order_seen_at_.reset();
        refused_at_.reset();
    }

private:
    std::map<executor_id, std::set<task_run>> listed_;
    /// Time at which a new order of the owner was last seen.
    std::optional<time_point> order_seen_at_;
    std::optional<time_point> refused_at_;
};

} // namespace goldcrestgate::core
