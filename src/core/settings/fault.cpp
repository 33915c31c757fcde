#include "goldcrestgate/core/settings/fault.hpp"

namespace goldcrestgate::core
{

namespace
{

std::string describe(settings_fault const& fault)
{
    switch (fault.code)
    {
    case error_code::settings_unknown_key:
        return "unknown key, value " + fault.value;
    case error_code::settings_duplicate_key:
        return "the key was given before, value " + fault.value;
    case error_code::settings_missing_key:
        return "the key is missing";
    default:
        return "value " + fault.value + " is not accepted";
    }
}

std::string message(settings_fault const& fault)
{
    std::string text = fault.file;
    if (fault.line != 0)
    {
        text += ':' + std::to_string(fault.line);
    }
    text += ": ";
    if (!fault.key.empty())
    {
        text += fault.key + ": ";
    }
    text += describe(fault);
    if (!fault.expected.empty())
    {
        text += "; expected " + fault.expected;
    }
    return text;
}

} // namespace

std::string to_string(settings_fault const& fault)
{
    return message(fault) + " (" + std::string{error_name(fault.code)} + ')';
}

error to_error(settings_fault const& fault, std::string_view step)
{
    return {fault.code, std::string{step}, {}, message(fault)};
}

} // namespace goldcrestgate::core
