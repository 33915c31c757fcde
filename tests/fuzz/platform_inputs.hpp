#pragma once

#include "goldcrestgate/io/address.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/executor_codec.hpp"
#include "platform/job_codec.hpp"
#include "platform/json_document.hpp"
#include "platform/record_codec.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

// Properties that hold for any bytes from the platform, its store and its
// callers; shared by the fuzz programs and the unit tests that replay their
// corpus.
namespace goldcrestgate::fuzz
{

inline void require_decoded(bool holds, char const* what)
{
    if (!holds)
    {
        throw std::logic_error(what);
    }
}

inline constexpr std::uint64_t max_exact_integer =
    (std::uint64_t{1} << 53U) - 1;

/// The members of an entry by the platform's page.
inline constexpr std::array<std::string_view, 10> entry_members = {
    "service", "address",           "zone",     "version",  "slots",
    "state",   "cold_remaining_ms", "sequence", "capacity", "labels"};

inline std::optional<core::executor_description>
decode_entry(std::string_view bytes)
{
    return adapter::decode_executor(
        "e1", bytes,
        [](std::string_view name)
        {
            return name == "north" ? std::optional{core::domain_id{1}}
                                   : std::nullopt;
        });
}

// Orders can be sent to a decoded executor, and an entry that lacks a member is
// never decoded.
inline void run_executor_entry(std::string_view bytes)
{
    auto const executor = decode_entry(bytes);
    if (!executor)
    {
        return;
    }
    auto const address = io::socket_address::parse(executor->address);
    require_decoded(address && address.value().port() != 0,
                    "address cannot be connected to");
    require_decoded(!executor->service.empty(), "no service");
    require_decoded(executor->incarnation <= max_exact_integer,
                    "start time out of range");
    auto const whole = adapter::detail::parse_document(bytes);
    for (auto const member : entry_members)
    {
        auto partial = whole;
        require_decoded(partial.erase(std::string{member}) == 1,
                        "member is missing");
        require_decoded(!decode_entry(partial.dump()),
                        "entry without a member is decoded");
    }
}

inline void run_poll_answer(std::string_view bytes)
{
    io::http_result result;
    result.outcome = io::call_outcome::answered;
    result.status = 200;
    result.body = bytes;
    auto const answer = adapter::decode_answer(core::poll_executor{}, result);
    bool const accepted = answer.outcome == core::order_outcome::accepted;
    require_decoded(accepted ||
                        answer.outcome == core::order_outcome::unanswered,
                    "outcome is not that of the status");
    require_decoded(accepted ||
                        (answer.running.empty() && answer.finished.empty()),
                    "runs without an answer");
    for (auto const& run : answer.running)
    {
        require_decoded(run.progress_percent.value_or(0) <= 100,
                        "progress out of range");
    }
    for (auto const& run : answer.finished)
    {
        require_decoded(run.number <= max_exact_integer,
                        "number of an end out of range");
    }
}

inline void run_store_snapshot(std::string_view bytes)
{
    auto const page = adapter::decode_snapshot_page(bytes);
    if (page && !page->records.empty())
    {
        require_decoded(page->last_key.has_value(), "no key to continue after");
    }
}

// Each record counts as one offset, so that no later record is missed.
inline void run_store_records(std::string_view bytes)
{
    constexpr std::uint64_t from = 40;
    auto const page = adapter::decode_records(bytes, from);
    if (!page)
    {
        return;
    }
    require_decoded(page->next_offset ==
                        from + page->records.size() + page->malformed_records,
                    "records and offsets differ");
    std::string again(16, '\0');
    for (auto const& record : page->records)
    {
        again +=
            adapter::encode_keyed_record(record.key, record.value.value_or(""));
    }
    auto const copy = adapter::decode_records(again, from);
    require_decoded(copy && copy->records.size() == page->records.size(),
                    "encoded records differ");
}

inline void run_operator_configuration(std::string_view bytes)
{
    auto const table = adapter::decode_configuration(bytes);
    if (!table)
    {
        return;
    }
    require_decoded(table->version <= max_exact_integer,
                    "version out of range");
    for (auto const& route : table->routes)
    {
        core::leased_job job;
        job.groups.emplace_back();
        job.groups.back().task_count = 1;
        job.groups.back().estimate = std::chrono::hours{24};
        core::apply_route(route, std::nullopt, job);
        require_decoded(job.objective >= core::duration{} &&
                            job.objective <= job.time_limit,
                        "objective out of range");
    }
}

// The tasks of an accepted submission are within the limits.
inline void run_submitted_job(std::string_view bytes)
{
    auto const decoding = adapter::decode_job(core::client_job_id{1}, bytes);
    auto const* const submitted =
        std::get_if<adapter::submitted_job>(&decoding);
    if (submitted == nullptr)
    {
        return;
    }
    std::size_t tasks = 0;
    std::size_t preceding = 0;
    for (auto const& group : submitted->job.groups)
    {
        tasks += group.task_count;
        require_decoded(std::ranges::all_of(group.after,
                                            [preceding](std::size_t earlier)
                                            {
                                                return earlier < preceding;
                                            }),
                        "dependency on a later group");
        ++preceding;
    }
    require_decoded(tasks >= 1 && tasks <= 1'800, "too many tasks");
}

} // namespace goldcrestgate::fuzz
