#pragma once

#include "goldcrestgate/core/error.hpp"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <utility>

namespace goldcrestgate::core
{

/// A value or an error; the error object is of type @ref error.
template <typename Value>
using result = boost::leaf::result<Value>;

/// @brief Creates a failed result.
/// @par Thread safety
/// Safe to call from any thread; the error belongs to the calling thread.
[[nodiscard]] inline auto fail(error failure)
{
    return boost::leaf::new_error(std::move(failure));
}

} // namespace goldcrestgate::core
