#pragma once

#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Splits a text at its commas.
/// @return the parts in order, at least one; they refer to @a text
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] inline std::vector<std::string_view>
split_list(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (true)
    {
        auto const comma = text.find(',');
        parts.push_back(text.substr(0, comma));
        if (comma == std::string_view::npos)
        {
            return parts;
        }
        text.remove_prefix(comma + 1);
    }
}

} // namespace goldcrestgate::core
