#pragma once

#include "goldcrestgate/core/leasing/reservation_plan.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

namespace goldcrestgate::core::detail
{

/// @brief The smallest CPU amounts of the waiting tasks, for the choice of
/// executors on which a start leaves capacity that another task can use.
class waiting_sizes
{
public:
    /// Includes the waiting tasks of a group.
    void include(client_job_id job, std::uint16_t group,
                 std::uint32_t cpu_millicores, std::size_t tasks)
    {
        if (cpu_millicores == 0 || tasks == 0)
        {
            return;
        }
        entry const added{job, group, cpu_millicores, tasks};
        if (cpu_millicores < smallest_.cpu_millicores)
        {
            next_ = std::exchange(smallest_, added).cpu_millicores;
        }
        else
        {
            next_ = std::min(next_, cpu_millicores);
        }
    }

    /// Returns the smallest CPU amount of the waiting tasks without one task of
    /// the group; 0 if there are none.
    [[nodiscard]] std::uint32_t smallest_beside(client_job_id job,
                                                std::uint16_t group) const
    {
        bool const is_only_one = smallest_.tasks == 1 && smallest_.job == job &&
                                 smallest_.group == group;
        auto const size = is_only_one ? next_ : smallest_.cpu_millicores;
        return size == none ? 0 : size;
    }

private:
    static constexpr std::uint32_t none =
        std::numeric_limits<std::uint32_t>::max();

    struct entry
    {
        client_job_id job;
        std::uint16_t group = 0;
        std::uint32_t cpu_millicores = none;
        std::size_t tasks = 0;
    };

    entry smallest_;
    std::uint32_t next_ = none;
};

/// @brief What one placement round knows of all waiting tasks. It is empty
/// unless reservations are enabled and a task waits without capacity.
struct placement_round
{
    std::optional<reservation_plan> plan;
    waiting_sizes sizes;
    /// Position in the serving order of the job that is being placed.
    std::size_t rank = 0;
};

} // namespace goldcrestgate::core::detail
