#pragma once

#include "goldcrestgate/core/submission/job_body.hpp"
#include "goldcrestgate/wire/frame_codec.hpp"

#include <algorithm>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

// Properties that hold for any bytes from a peer or a caller; shared by the
// fuzz programs and the unit tests that replay their corpus.
namespace goldcrestgate::fuzz
{

inline void require_message(bool holds, char const* what)
{
    if (!holds)
    {
        throw std::logic_error(what);
    }
}

// The message of an accepted frame round-trips through encoding and decoding.
inline void run_frame(std::string_view bytes)
{
    auto const result = wire::read_frame(bytes);
    auto const* const decoded = std::get_if<wire::frame_decoded>(&result);
    if (decoded == nullptr)
    {
        return;
    }
    std::string first;
    if (std::holds_alternative<core::error>(
            wire::append_frame(first, decoded->message)))
    {
        // A frame can refer to a part several times; encoding writes the part
        // for each use, so the encoded frame can exceed the size limit.
        return;
    }
    auto const again = wire::read_frame(first);
    auto const* const copy = std::get_if<wire::frame_decoded>(&again);
    require_message(copy != nullptr, "encoded frame is refused");
    require_message(copy->consumed == first.size(),
                    "encoded frame has trailing bytes");
    std::string second;
    require_message(std::holds_alternative<std::monostate>(
                        wire::append_frame(second, copy->message)),
                    "decoded message is not encoded");
    require_message(first == second, "message differs after a round trip");
}

// The tasks of an accepted submission are within the limits.
inline void run_job_body(std::string_view body)
{
    auto const result = core::parse_job_body(body);
    auto const* const job = std::get_if<core::job_request>(&result);
    if (job == nullptr)
    {
        return;
    }
    bool const times_fit = std::ranges::all_of(
        job->tasks,
        [](core::task_request const& task)
        {
            return !task.run_time || (*task.run_time > core::duration{0} &&
                                      *task.run_time <= core::job_time_limit);
        });
    require_message(times_fit, "run time out of range");
    require_message(!job->tasks.empty(), "no tasks");
    require_message(job->tasks.size() <= core::job_task_limit,
                    "too many tasks");
    require_message(job->body == body, "body differs");
}

} // namespace goldcrestgate::fuzz
