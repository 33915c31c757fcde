#pragma once

#include <string>
#include <vector>

namespace goldcrestgate::app::cli
{

/// @brief A table for a terminal; columns are as wide as their widest cell.
class text_table
{
public:
    /// @brief Makes a table with the names of its columns.
    explicit text_table(std::vector<std::string> columns);

    /// @brief Adds a row; missing cells are empty.
    /// @pre @a cells has at most as many entries as there are columns
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void add_row(std::vector<std::string> cells);

    /// @brief Formats the table.
    ///
    /// Control characters in cells are replaced, so that text from other
    /// parties cannot inject terminal escape sequences.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] std::string format() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

/// @brief Replaces ASCII control characters with question marks.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::string printable(std::string text);

} // namespace goldcrestgate::app::cli
