#pragma once

namespace goldcrestgate::core::detail
{

/// @brief Combines several functions into one visitor for `std::visit`.
template <typename... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace goldcrestgate::core::detail
