#include "goldcrestgate/core/ids.hpp"

#include <array>
#include <charconv>
#include <limits>

namespace goldcrestgate::core
{

namespace
{

constexpr std::string_view id_prefix = "g1-";
constexpr std::size_t id_part_count = 4;
constexpr int hexadecimal = 16;

void append_hexadecimal(std::string& text, std::uint64_t value)
{
    std::array<char, 16> digits{};
    auto const result = std::to_chars(
        digits.data(), digits.data() + digits.size(), value, hexadecimal);
    text.append(digits.data(), result.ptr);
}

// Accepts only the canonical form, so that equal ids have equal texts.
std::optional<std::uint64_t> parse_part(std::string_view part)
{
    if (part.empty() || (part.size() > 1 && part.front() == '0'))
    {
        return std::nullopt;
    }
    if (part.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    auto const result = std::from_chars(part.data(), part.data() + part.size(),
                                        value, hexadecimal);
    if (result.ec != std::errc{})
    {
        return std::nullopt;
    }
    return value;
}

template <typename Id>
bool fits(std::uint64_t value)
{
    return value <= std::numeric_limits<typename Id::rep>::max();
}

template <typename Id>
Id narrow(std::uint64_t value)
{
    return Id{static_cast<typename Id::rep>(value)};
}

} // namespace

std::string to_string(submission_id const& id)
{
    std::string text{id_prefix};
    append_hexadecimal(text, id.owner.domain.value());
    text += '-';
    append_hexadecimal(text, id.owner.instance.value());
    text += '-';
    append_hexadecimal(text, id.owner.incarnation.value());
    text += '-';
    append_hexadecimal(text, id.sequence);
    return text;
}

std::optional<submission_id> parse_submission_id(std::string_view text)
{
    if (!text.starts_with(id_prefix))
    {
        return std::nullopt;
    }
    text.remove_prefix(id_prefix.size());
    std::array<std::uint64_t, id_part_count> values{};
    for (std::size_t i = 0; i < id_part_count; ++i)
    {
        auto const end = text.find('-');
        bool const is_last = i + 1 == id_part_count;
        if (is_last != (end == std::string_view::npos))
        {
            return std::nullopt;
        }
        auto const value = parse_part(text.substr(0, end));
        if (!value)
        {
            return std::nullopt;
        }
        values[i] = *value;
        text.remove_prefix(is_last ? text.size() : end + 1);
    }
    if (!fits<domain_id>(values[0]) || !fits<instance_id>(values[1]))
    {
        return std::nullopt;
    }
    return submission_id{{narrow<domain_id>(values[0]),
                          narrow<instance_id>(values[1]),
                          incarnation{values[2]}},
                         values[3]};
}

} // namespace goldcrestgate::core
