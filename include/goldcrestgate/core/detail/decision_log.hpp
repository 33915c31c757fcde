#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/dispatcher.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <vector>

namespace goldcrestgate::core::detail
{

/// @brief The most recent decisions, in a ring of fixed size.
class decision_log
{
public:
    /// @param capacity decisions that are kept
    explicit decision_log(std::size_t capacity);

    /// @brief Keeps a decision in place of the oldest one.
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
