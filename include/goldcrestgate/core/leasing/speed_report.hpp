#pragma once

#include "goldcrestgate/core/leasing/speed_model.hpp"

#include <map>

namespace goldcrestgate::core
{

/// @brief Tracks which learned speeds a successor does not have yet.
///
/// Intended for the loss of an owner near full utilization: a successor that
/// assumes equal speeds would start long tasks on slow executors.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class speed_report
{
public:
    /// @brief Returns the speeds that differ from those last returned.
    [[nodiscard]] std::map<executor_id, learned_speed>
    take_changes(std::map<executor_id, learned_speed> const& learned);

    /// @brief Makes the next report include all speeds, for a new successor.
    void repeat_all()
    {
        reported_.clear();
    }

private:
    std::map<executor_id, learned_speed> reported_;
};

} // namespace goldcrestgate::core
