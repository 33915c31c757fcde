#pragma once

#include <cstdint>

namespace goldcrestgate::app
{

/// Severity of a log line; lines below the configured level are not written.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

} // namespace goldcrestgate::app
