#pragma once

#include "goldcrestgate/core/leasing/detail/executor_record.hpp"
#include "goldcrestgate/core/leasing/detail/job_record.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace goldcrestgate::core::detail
{

/// @brief Returns whether an executor has a label; every executor has the empty
/// one.
/// @par Thread safety
/// Safe for concurrent readers.
[[nodiscard]] bool has_label(executor_description const& description,
                             std::string const& label);

/// @brief Returns the number of further tasks of a group that its job allows on
/// an executor. Runs that are being stopped count as well.
/// @pre the job has the group
/// @par Thread safety
/// Safe for concurrent readers.
[[nodiscard]] std::size_t starts_left(executor_record const& executor,
                                      job_record const& job,
                                      std::uint16_t group);

} // namespace goldcrestgate::core::detail
