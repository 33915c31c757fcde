#pragma once

namespace goldcrestgate::core::detail
{

/// @brief One visitor of several functions, for `std::visit`.
template <typename... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace goldcrestgate::core::detail
