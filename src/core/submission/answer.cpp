#include "goldcrestgate/core/submission/answer.hpp"

#include <array>
#include <cstddef>

namespace goldcrestgate::core
{

namespace
{

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_accepted = 202;

void append_escaped(std::string& out, char character)
{
    constexpr std::string_view digits = "0123456789abcdef";
    switch (character)
    {
    case '"':
        out += "\\\"";
        return;
    case '\\':
        out += "\\\\";
        return;
    case '\n':
        out += "\\n";
        return;
    case '\r':
        out += "\\r";
        return;
    case '\t':
        out += "\\t";
        return;
    default:
        break;
    }
    auto const value = static_cast<unsigned char>(character);
    out += "\\u00";
    out += digits[value >> 4U];
    out += digits[value & 0xfU];
}

bool needs_escape(char character)
{
    return static_cast<unsigned char>(character) < 0x20 || character == '"' ||
           character == '\\';
}

void append_error(std::string& out, error_code code, std::string_view message)
{
    out += "\"error\":{\"name\":\"";
    out += error_name(code);
    out += "\",\"id\":\"";
    out += error_id(code);
    out += "\",\"message\":";
    append_json_string(out, message);
    out += '}';
}

void append_id_and_state(std::string& out, submission_id const& id,
                         job_state state)
{
    out += "{\"id\":\"";
    out += to_string(id);
    out += "\",\"state\":\"";
    out += to_string(state);
    out += "\",";
}

void append_task(std::string& out, task_fate fate, std::string_view result,
                 bool with_result)
{
    out += "{\"fate\":\"";
    out += to_string(fate);
    out += '"';
    if (with_result)
    {
        out += ",\"result\":";
        append_json_string(out, result);
    }
    out += '}';
}

std::size_t estimate_size(job const& ended)
{
    constexpr std::size_t fixed = 256;
    constexpr std::size_t per_task = 32;
    std::size_t size = fixed + ended.tasks.size() * per_task;
    for (job_task const& task : ended.tasks)
    {
        size += task.result.size();
    }
    return size;
}

/// @brief Returns the length of a UTF-8 sequence by its first byte, or 0 if
/// the byte is invalid.
std::size_t sequence_length(unsigned char first)
{
    if (first < 0x80)
    {
        return 1;
    }
    if (first >= 0xc2 && first <= 0xdf)
    {
        return 2;
    }
    if (first >= 0xe0 && first <= 0xef)
    {
        return 3;
    }
    return first >= 0xf0 && first <= 0xf4 ? 4 : 0;
}

/// @brief Rejects overlong forms, surrogates and values above U+10FFFF.
bool is_valid_second_byte(unsigned char first, unsigned char second)
{
    switch (first)
    {
    case 0xe0:
        return second >= 0xa0 && second <= 0xbf;
    case 0xed:
        return second >= 0x80 && second <= 0x9f;
    case 0xf0:
        return second >= 0x90 && second <= 0xbf;
    case 0xf4:
        return second >= 0x80 && second <= 0x8f;
    default:
        return second >= 0x80 && second <= 0xbf;
    }
}

} // namespace

void append_json_string(std::string& out, std::string_view text)
{
    out += '"';
    std::size_t begin = 0;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        if (needs_escape(text[i]))
        {
            out += text.substr(begin, i - begin);
            append_escaped(out, text[i]);
            begin = i + 1;
        }
    }
    out += text.substr(begin);
    out += '"';
}

bool is_utf8(std::string_view text)
{
    auto const byte = [&](std::size_t at)
    {
        return static_cast<unsigned char>(text[at]);
    };
    std::size_t i = 0;
    while (i < text.size())
    {
        std::size_t const length = sequence_length(byte(i));
        if (length == 0 || length > text.size() - i ||
            (length > 1 && !is_valid_second_byte(byte(i), byte(i + 1))))
        {
            return false;
        }
        for (std::size_t k = 2; k < length; ++k)
        {
            if ((byte(i + k) & 0xc0U) != 0x80U)
            {
                return false;
            }
        }
        i += length;
    }
    return true;
}

caller_answer format_ids(std::span<submission_id const> ids)
{
    caller_answer answer{status_ok, "{\"ids\":["};
    for (submission_id const& id : ids)
    {
        answer.body += &id == ids.data() ? "\"" : ",\"";
        answer.body += to_string(id);
        answer.body += '"';
    }
    answer.body += "]}";
    return answer;
}

caller_answer format_running()
{
    return {status_accepted, "{\"state\":\"running\"}"};
}

caller_answer format_final(job const& ended)
{
    if (ended.is_refused)
    {
        return format_error(ended.failure->code, ended.failure->message,
                            task_fate::not_run);
    }
    caller_answer answer{status_ok, {}};
    std::string& out = answer.body;
    out.reserve(estimate_size(ended));
    append_id_and_state(out, ended.id, ended.state);
    if (ended.failure)
    {
        append_error(out, ended.failure->code, ended.failure->message);
        out += ',';
    }
    out += "\"tasks\":[";
    bool const with_results = ended.state == job_state::done;
    for (job_task const& task : ended.tasks)
    {
        if (&task != ended.tasks.data())
        {
            out += ',';
        }
        append_task(out, fate_of(task.state()), task.result, with_results);
    }
    out += "]}";
    return answer;
}

caller_answer format_fate(job_fate const& fate)
{
    caller_answer answer{status_ok, {}};
    std::string& out = answer.body;
    bool const with_results = fate.state == job_state::done;
    append_id_and_state(out, fate.submission, fate.state);
    if (!with_results)
    {
        bool const has_error = fate.error != 0;
        append_error(out,
                     has_error ? static_cast<error_code>(fate.error)
                               : error_code::owner_lost,
                     has_error ? fate.message
                               : "the owner of the submission is lost");
        out += ',';
    }
    out += "\"tasks\":[";
    bool is_first = true;
    for (task_fate_entry const& task : fate.tasks)
    {
        out += is_first ? "" : ",";
        is_first = false;
        append_task(out, task.fate, task.body, with_results);
    }
    out += "]}";
    return answer;
}

caller_answer format_error(error_code code, std::string_view message,
                           task_fate fate)
{
    caller_answer answer{http_status(code), "{"};
    append_error(answer.body, code, message);
    answer.body += ",\"fate\":\"";
    answer.body += to_string(fate);
    answer.body += "\"}";
    return answer;
}

caller_answer format_no_settings()
{
    return format_error(error_code::log_unavailable,
                        "no settings are in force yet", task_fate::not_run);
}

std::uint16_t http_status(error_code code)
{
    switch (code)
    {
    case error_code::not_found:
        return 404;
    case error_code::request_timeout:
        return 408;
    case error_code::submission_conflict:
        return 409;
    case error_code::submission_expired:
    case error_code::submission_unknown:
    case error_code::owner_lost:
        return 410;
    case error_code::body_too_large:
        return 413;
    case error_code::deadline_unreachable:
    case error_code::quota_exceeded:
    case error_code::overloaded:
        return 429;
    case error_code::malformed_request:
    case error_code::malformed_json:
    case error_code::invalid_field:
    case error_code::too_many_tasks:
    case error_code::invalid_utf8:
    case error_code::unknown_service:
    case error_code::unknown_team:
    case error_code::invalid_submission_id:
        return 400;
    default:
        return 503;
    }
}

} // namespace goldcrestgate::core
