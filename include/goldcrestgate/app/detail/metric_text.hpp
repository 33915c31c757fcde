#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestgate::app::detail
{

/// @brief Appends a metric with one value in the Prometheus text format.
/// @param type `counter` or `gauge`
/// @param name the metric name without the prefix `goldcrestgate_`
/// @par Thread safety
/// Safe to call from any thread for different strings @a out.
inline void add_value(std::string& out, std::string_view type,
                      std::string_view name, std::uint64_t value)
{
    std::string const full = "goldcrestgate_" + std::string{name};
    out += "# TYPE " + full + ' ' + std::string{type} + '\n';
    out += full + ' ' + std::to_string(value) + '\n';
}

} // namespace goldcrestgate::app::detail
