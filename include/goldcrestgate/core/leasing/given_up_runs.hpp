#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"
#include "goldcrestgate/core/time.hpp"

#include <deque>
#include <optional>
#include <string_view>

namespace goldcrestgate::core
{

/// @brief A run that its owner counts as ended although its executor has not
/// listed its end.
struct given_up_run
{
    executor_id executor;
    task_run run;
    /// Time at which its start was sent, or at which the run was first listed
    /// if this owner did not send it.
    time_point sent_at{};
    /// Why the owner counts it as ended, as a stable snake_case word.
    std::string_view reason{};
    time_point given_up_at{};
};

/// @brief Remembers given-up runs for the log, so that a run that is listed
/// later can be traced to its start. No scheduling decision uses it.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class given_up_runs
{
public:
    /// @brief Records a run. The oldest record is dropped if there are too
    /// many; a run that is already recorded keeps its first reason.
    /// @pre no earlier call had a later @a given_up_at
    void add(given_up_run const& given_up);

    /// @brief Returns the record of a run on an executor, if it was given up
    /// shortly before.
    [[nodiscard]] std::optional<given_up_run>
    find(executor_id executor, task_run const& run, time_point now) const;

private:
    std::deque<given_up_run> records_;
};

} // namespace goldcrestgate::core
