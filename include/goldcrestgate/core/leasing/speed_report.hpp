#pragma once

#include "goldcrestgate/core/leasing/speed_model.hpp"

#include <map>

namespace goldcrestgate::core
{

/// @brief Tells which learned speeds a successor does not know yet.
///
/// The load it answers: the loss of an owner near full use. A successor that
/// takes all executors for equally fast starts long tasks on slow ones.
///
/// @par Thread safety
/// Not safe.
class speed_report
{
public:
    /// @brief Returns the speeds that differ from what was returned before.
    [[nodiscard]] std::map<executor_id, learned_speed>
    take_changes(std::map<executor_id, learned_speed> const& learned);

    /// @brief The next report has all speeds, for a new successor.
    void repeat_all()
    {
        reported_.clear();
    }

private:
    std::map<executor_id, learned_speed> reported_;
};

} // namespace goldcrestgate::core
