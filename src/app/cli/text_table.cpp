#include "goldcrestgate/app/cli/text_table.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::app::cli
{

namespace
{

constexpr std::size_t column_gap = 2;

// Counts the code points of a UTF-8 text: all bytes except continuation bytes.
std::size_t code_point_count(std::string const& text)
{
    auto const count = std::count_if(
        text.begin(), text.end(),
        [](char character)
        {
            return (static_cast<unsigned char>(character) & 0xC0U) != 0x80U;
        });
    return static_cast<std::size_t>(count);
}

} // namespace

text_table::text_table(std::vector<std::string> columns)
    : rows_{std::move(columns)}
{
}

void text_table::add_row(std::vector<std::string> cells)
{
    for (auto& cell : cells)
    {
        cell = printable(std::move(cell));
    }
    cells.resize(rows_.front().size());
    rows_.push_back(std::move(cells));
}

std::string text_table::format() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (auto const& row : rows_)
    {
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            widths[i] = std::max(widths[i], code_point_count(row[i]));
        }
    }
    std::string text;
    for (auto const& row : rows_)
    {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
        {
            line += row[i];
            line.append(widths[i] - code_point_count(row[i]) + column_gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    }
    return text;
}

std::string printable(std::string text)
{
    for (char& character : text)
    {
        auto const byte = static_cast<unsigned char>(character);
        if (byte < 0x20U || byte == 0x7FU)
        {
            character = '?';
        }
    }
    return text;
}

} // namespace goldcrestgate::app::cli
