#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::app
{

/// @brief What the process may use.
struct process_resources
{
    std::uint64_t memory_bytes = 0;
    std::uint64_t descriptor_limit = 0;
};

/// @brief Returns the descriptor limit of the process, and its memory: the
/// smallest of the memory of the machine, the resource limits of the process
/// and the limits of its control groups.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] process_resources read_resources();

namespace detail
{

/// @brief Returns the files that may hold memory limits of a process, those of
/// the parents of its control groups included.
/// @param membership the content of `/proc/self/cgroup`
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<std::string>
memory_limit_files(std::string_view membership);

/// @brief Parses the memory limit of a control group.
/// @return the limit in bytes; nothing if there is none
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::optional<std::uint64_t>
parse_memory_limit(std::string_view text);

} // namespace detail

} // namespace goldcrestgate::app
