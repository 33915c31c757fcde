#pragma once

#include "goldcrestgate/app/log_level.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/result.hpp"
#include "goldcrestgate/core/settings/schema.hpp"
#include "goldcrestgate/core/time.hpp"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace goldcrestgate::app
{

/// @brief The outcome of checking a settings file: the settings, or all faults.
template <typename Settings>
struct settings_check
{
    Settings settings;
    /// Empty for an accepted file; otherwise the settings must not be used.
    std::vector<core::settings_fault> faults;
};

} // namespace goldcrestgate::app

namespace goldcrestgate::app::detail
{

/// Pointer to the member that a key sets; durations are given in milliseconds
/// in the file.
template <typename Settings>
using settings_member =
    std::variant<core::instance_id Settings::*, core::domain_id Settings::*,
                 std::string Settings::*, std::uint32_t Settings::*,
                 std::uint64_t Settings::*, core::duration Settings::*,
                 double Settings::*, bool Settings::*, log_level Settings::*>;

/// @brief One key of a settings file with the member that it sets.
template <typename Settings>
struct settings_key
{
    core::key_schema schema;
    settings_member<Settings> member;
};

template <typename Settings>
using settings_keys = std::span<settings_key<Settings> const>;

[[nodiscard]] inline log_level parse_log_level(std::string_view word)
{
    if (word == "debug")
    {
        return log_level::debug;
    }
    if (word == "warning")
    {
        return log_level::warning;
    }
    return word == "error" ? log_level::error : log_level::info;
}

/// Stores a checked value in the member that the key sets.
template <typename Settings>
struct value_setter
{
    Settings& settings;
    nlohmann::json const& value;

    template <typename Member>
    void operator()(Member Settings::*member) const
    {
        settings.*member = value.get<Member>();
    }

    template <typename Tag, typename Rep>
    void operator()(core::strong_id<Tag, Rep> Settings::*member) const
    {
        settings.*member = core::strong_id<Tag, Rep>{value.get<Rep>()};
    }

    void operator()(core::duration Settings::*member) const
    {
        settings.*member = std::chrono::milliseconds{value.get<std::int64_t>()};
    }

    void operator()(log_level Settings::*member) const
    {
        settings.*member = parse_log_level(value.get_ref<std::string const&>());
    }
};

/// @brief Returns the settings of a file without any optional key.
template <typename Settings>
[[nodiscard]] Settings default_settings(settings_keys<Settings> keys)
{
    Settings defaults;
    for (auto const& key : keys)
    {
        nlohmann::json const value = core::default_of(key.schema.rule);
        if (!value.is_null())
        {
            std::visit(value_setter<Settings>{defaults, value}, key.member);
        }
    }
    return defaults;
}

/// @brief Checks a document against the keys and collects the settings and all
/// faults.
template <typename Settings>
class settings_document_check
{
public:
    settings_document_check(settings_keys<Settings> keys, std::string_view text,
                            std::string_view file)
        : keys_(keys)
        , document_(core::parse_document(text, file))
        , file_(file)
        , outcome_{default_settings<Settings>(keys), document_.faults}
    {
    }

    /// @brief Checks all keys; call it once.
    void run()
    {
        if (!document_.value.is_object())
        {
            report_root_type();
            return;
        }
        check_object({}, document_.value);
        check_missing();
    }

    [[nodiscard]] settings_check<Settings>& outcome()
    {
        return outcome_;
    }

    /// @brief Adds a fault.
    void add(core::error_code code, std::string_view path,
             nlohmann::json const& value, std::string expected)
    {
        outcome_.faults.push_back(core::make_fault(code, document_, file_, path,
                                                   value, std::move(expected)));
    }

private:
    void report_root_type()
    {
        if (outcome_.faults.empty())
        {
            add(core::error_code::settings_wrong_type, {}, document_.value,
                "an object");
        }
    }

    void check_object(std::string const& path, nlohmann::json const& object)
    {
        for (auto const& [name, value] : object.items())
        {
            check_member(core::join_path(path, name), value);
        }
    }

    void check_member(std::string const& path, nlohmann::json const& value)
    {
        auto const key =
            std::ranges::find_if(keys_,
                                 [&path](auto const& entry)
                                 {
                                     return entry.schema.key == path;
                                 });
        if (key != keys_.end())
        {
            check_key(*key, value);
        }
        else if (!is_section(path))
        {
            add(core::error_code::settings_unknown_key, path, value,
                "a key that --describe-settings lists");
        }
        else if (!value.is_object())
        {
            add(core::error_code::settings_wrong_type, path, value,
                "an object");
        }
        else
        {
            check_object(path, value);
        }
    }

    [[nodiscard]] bool is_section(std::string const& path) const
    {
        return std::ranges::any_of(keys_,
                                   [prefix = path + '.'](auto const& entry)
                                   {
                                       return entry.schema.key.starts_with(
                                           prefix);
                                   });
    }

    void check_key(settings_key<Settings> const& key,
                   nlohmann::json const& value)
    {
        present_keys_.emplace_back(key.schema.key);
        if (auto const code = core::check_value(key.schema.rule, value))
        {
            add(*code, key.schema.key, value,
                core::describe_range(key.schema.rule));
            return;
        }
        std::visit(value_setter<Settings>{outcome_.settings, value},
                   key.member);
    }

    void check_missing()
    {
        for (auto const& key : keys_)
        {
            bool const required = core::default_of(key.schema.rule).is_null();
            bool const seen =
                std::ranges::find(present_keys_, key.schema.key) !=
                present_keys_.end();
            if (required && !seen)
            {
                add(core::error_code::settings_missing_key, key.schema.key,
                    nullptr, core::describe_range(key.schema.rule));
            }
        }
    }

    settings_keys<Settings> keys_;
    core::settings_document document_;
    std::string_view file_;
    settings_check<Settings> outcome_;
    std::vector<std::string_view> present_keys_;
};

/// @brief Reads a whole file.
/// @return the text, or an error of code `file_unreadable`
[[nodiscard]] inline core::result<std::string>
read_settings_text(std::string const& file)
{
    std::ifstream input(file, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(input), {}};
    if (!input)
    {
        return core::fail({core::error_code::file_unreadable,
                           "read the settings file", file,
                           "the file does not exist or cannot be read"});
    }
    return text;
}

/// @brief Formats the keys as a Markdown table.
template <typename Settings>
[[nodiscard]] std::string describe_settings(settings_keys<Settings> keys)
{
    std::vector<core::key_schema> schema;
    schema.reserve(keys.size());
    for (auto const& key : keys)
    {
        schema.push_back(key.schema);
    }
    return core::describe_schema(schema);
}

} // namespace goldcrestgate::app::detail
