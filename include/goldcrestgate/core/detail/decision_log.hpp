#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/dispatcher.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <vector>

namespace goldcrestgate::core::detail
{

/// @brief The most recent decisions, in a ring buffer of fixed capacity.
class decision_log
{
public:
    /// @param capacity number of decisions kept; 0 keeps none
    explicit decision_log(std::size_t capacity);

    /// @brief Adds a decision; a full log drops its oldest one.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void add(time_point now, record_decision const& decision);

    /// @brief Returns the kept decisions about a task, oldest first.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<logged_decision> find(task_key const& task) const;

private:
    std::size_t capacity_;
    std::size_t next_ = 0;
    std::vector<logged_decision> ring_;
};

} // namespace goldcrestgate::core::detail
