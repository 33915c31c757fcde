#pragma once

#include <cstdint>

namespace goldcrestgate::app
{

/// Log lines below this level are not written.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

} // namespace goldcrestgate::app
