#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace goldcrestgate::tests
{

/// @brief Makes the entry that an executor of the failure domain `north` writes
/// in the store.
[[nodiscard]] inline nlohmann::json
make_entry(core::executor_description const& executor)
{
    return {{"service", executor.service},
            {"address", executor.address},
            {"zone", "north"},
            {"version", "v1"},
            {"slots", 8},
            {"state", executor.draining ? "draining" : "ready"},
            {"cold_remaining_ms", 0},
            {"sequence", 4},
            {"clock_ms", 482'113},
            {"capacity",
             {{"cpu", executor.capacity.cpu_millicores},
              {"mem_mb", executor.capacity.memory_mb},
              {"gpus", executor.capacity.accelerators}}},
            {"labels", executor.labels},
            {"born", executor.incarnation}};
}

/// @brief Makes the text of @ref make_entry.
[[nodiscard]] inline std::string
format_entry(core::executor_description const& executor)
{
    return make_entry(executor).dump();
}

} // namespace goldcrestgate::tests
