#include "goldcrestgate/core/settings/document.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

using nlohmann::json;

constexpr std::size_t excerpt_limit_bytes = 60;

/// Tracks the position of the parser in the text and its line number.
struct text_position
{
    char const* next = nullptr;
    unsigned line = 1;
    bool after_newline = false;

    // The parser reads one character past a number. The line therefore
    // changes only when the character after a line break is consumed.
    void advance()
    {
        line += after_newline ? 1 : 0;
        after_newline = *next == '\n';
        ++next;
    }
};

/// Input iterator over a text; all copies share one position.
class position_iterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = char const*;
    using reference = char const&;

    position_iterator(text_position* position, char const* end)
        : position_(position)
        , end_(end)
    {
    }

    reference operator*() const
    {
        return *position_->next;
    }

    position_iterator& operator++()
    {
        position_->advance();
        return *this;
    }

    friend bool operator==(position_iterator const& left,
                           position_iterator const& right)
    {
        return left.remaining() == right.remaining();
    }

private:
    // The end iterator has no position.
    [[nodiscard]] std::ptrdiff_t remaining() const
    {
        return position_ == nullptr ? 0 : end_ - position_->next;
    }

    text_position* position_;
    char const* end_;
};

/// Receives the parser's events and builds the document.
class document_builder : public nlohmann::json_sax<json>
{
public:
    document_builder(settings_document& document, text_position const& position,
                     std::string_view file)
        : document_(document)
        , position_(position)
        , file_(file)
    {
    }

    bool null() override
    {
        return add(nullptr);
    }

    bool boolean(bool value) override
    {
        return add(value);
    }

    bool number_integer(number_integer_t value) override
    {
        return add(value);
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        return add(value);
    }

    bool number_float(number_float_t value, string_t const& /*text*/) override
    {
        return add(value);
    }

    bool string(string_t& value) override
    {
        return add(std::move(value));
    }

    bool binary(binary_t& /*value*/) override
    {
        return false;
    }

    bool start_object(std::size_t /*size*/) override
    {
        return open_container(json::object());
    }

    bool start_array(std::size_t /*size*/) override
    {
        return open_container(json::array());
    }

    bool end_object() override
    {
        return close_container();
    }

    bool end_array() override
    {
        return close_container();
    }

    bool key(string_t& name) override
    {
        key_ = name;
        key_line_ = position_.line;
        return true;
    }

    bool parse_error(std::size_t /*offset*/, std::string const& token,
                     nlohmann::detail::exception const& /*cause*/) override
    {
        report(error_code::settings_syntax, position_.line, {},
               excerpt(json(token)), "JSON with comments, in UTF-8");
        return false;
    }

private:
    struct container
    {
        std::string path;
        json value;
    };

    bool add(json value)
    {
        std::string const path = child_path();
        record_line(path);
        attach_to_parent(path, std::move(value));
        return true;
    }

    bool open_container(json value)
    {
        std::string path = child_path();
        record_line(path);
        if (containers_.size() >= settings_depth_limit)
        {
            report(error_code::settings_syntax, position_.line, path, "",
                   "at most " + std::to_string(settings_depth_limit) +
                       " levels");
            return false;
        }
        // The name of the member is needed again when the container closes.
        names_.push_back({key_, key_line_});
        containers_.push_back({std::move(path), std::move(value)});
        return true;
    }

    bool close_container()
    {
        container finished = std::move(containers_.back());
        containers_.pop_back();
        key_ = std::move(names_.back().first);
        key_line_ = names_.back().second;
        names_.pop_back();
        attach_to_parent(finished.path, std::move(finished.value));
        return true;
    }

    void attach_to_parent(std::string const& path, json value)
    {
        if (containers_.empty())
        {
            document_.value = std::move(value);
            return;
        }
        json& parent = containers_.back().value;
        if (parent.is_array())
        {
            parent.push_back(std::move(value));
            return;
        }
        if (parent.contains(key_))
        {
            report(error_code::settings_duplicate_key, key_line_, path,
                   excerpt(value),
                   "the key once; its first line is " +
                       std::to_string(document_.line_of(path)));
            return;
        }
        parent.emplace(key_, std::move(value));
    }

    [[nodiscard]] std::string child_path() const
    {
        if (containers_.empty())
        {
            return {};
        }
        container const& parent = containers_.back();
        if (parent.value.is_array())
        {
            return parent.path + '[' + std::to_string(parent.value.size()) +
                   ']';
        }
        return join_path(parent.path, key_);
    }

    void record_line(std::string const& path)
    {
        bool const in_object =
            !containers_.empty() && containers_.back().value.is_object();
        document_.lines.emplace(path, in_object ? key_line_ : position_.line);
    }

    void report(error_code code, unsigned line, std::string path,
                std::string value, std::string expected)
    {
        document_.faults.push_back({code, std::string{file_}, line,
                                    std::move(path), std::move(value),
                                    std::move(expected)});
    }

    settings_document& document_;
    text_position const& position_;
    std::string_view file_;
    std::vector<container> containers_;
    std::vector<std::pair<std::string, unsigned>> names_;
    std::string key_;
    unsigned key_line_ = 0;
};

settings_document reject_oversized_text(std::string_view file)
{
    settings_document document;
    document.faults.push_back(
        {error_code::settings_syntax,
         std::string{file},
         0,
         {},
         "the whole text",
         "at most " + std::to_string(settings_text_limit_bytes) + " bytes"});
    return document;
}

} // namespace

unsigned settings_document::line_of(std::string_view path) const
{
    auto const found = lines.find(path);
    return found == lines.end() ? 0 : found->second;
}

settings_document parse_document(std::string_view text, std::string_view file)
{
    if (text.size() > settings_text_limit_bytes)
    {
        return reject_oversized_text(file);
    }
    settings_document document;
    text_position position{text.data()};
    document_builder builder(document, position, file);
    char const* const end = text.data() + text.size();
    bool const parsed = json::sax_parse(
        position_iterator(&position, end), position_iterator(nullptr, end),
        &builder, nlohmann::detail::input_format_t::json, true, true);
    if (!parsed)
    {
        document.value = nullptr;
    }
    return document;
}

std::string join_path(std::string_view parent, std::string_view child)
{
    std::string path{parent};
    if (!path.empty())
    {
        path += '.';
    }
    return path += child;
}

std::string excerpt(json const& value)
{
    std::string text =
        value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > excerpt_limit_bytes)
    {
        text.resize(excerpt_limit_bytes);
        text += "...";
    }
    return text;
}

} // namespace goldcrestgate::core
