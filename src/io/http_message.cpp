#include "goldcrestgate/io/http_message.hpp"

#include <charconv>

namespace goldcrestgate::io
{

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string_view>
http_request::header(std::string_view name) const
{
    for (auto const& [header_name, value] : headers)
    {
        if (header_name == name)
        {
            return value;
        }
    }
    return std::nullopt;
}

std::optional<std::string_view>
http_request::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty())
    {
        auto const end = rest.find('&');
        auto const pair = rest.substr(0, end);
        auto const equals = pair.find('=');
        if (pair.substr(0, equals) == name)
        {
            return equals == std::string_view::npos ? std::string_view{}
                                                    : pair.substr(equals + 1);
        }
        rest = end == std::string_view::npos ? std::string_view{}
                                             : rest.substr(end + 1);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> http_request::number(std::string_view name) const
{
    auto const text = parameter(name);
    return text ? parse_number(*text) : std::nullopt;
}

} // namespace goldcrestgate::io
