#pragma once

#include <string_view>

namespace goldcrestgate::app
{

/// The version that programs print.
inline constexpr std::string_view version = "0.1.0";

} // namespace goldcrestgate::app
