#include "goldcrestgate/platform/log_client.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace goldcrestgate::platform
{

namespace
{

using nlohmann::json;

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_created = 201;
constexpr std::uint16_t status_gone = 410;
constexpr std::uint16_t status_too_many_requests = 429;

core::error unexpected_status(std::string step, std::uint16_t status)
{
    auto const code = status == status_too_many_requests
                          ? core::error_code::log_rate_exceeded
                          : core::error_code::log_unavailable;
    return {code, std::move(step), {}, "status " + std::to_string(status)};
}

/// Returns an unsigned member of an object, if present.
std::optional<std::uint64_t> number_of(json const& object, char const* name)
{
    auto const found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned())
    {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

std::optional<log_record> to_record(json const& entry)
{
    if (!entry.is_object())
    {
        return std::nullopt;
    }
    auto const offset = number_of(entry, "offset");
    auto const data = entry.find("data");
    if (!offset || data == entry.end() || !data->is_string())
    {
        return std::nullopt;
    }
    return log_record{*offset, data->get<std::string>()};
}

std::optional<log_page> to_page(json const& body)
{
    if (!body.is_object() || !body.contains("records") ||
        !body.at("records").is_array())
    {
        return std::nullopt;
    }
    auto const first = number_of(body, "first");
    auto const next = number_of(body, "next");
    if (!first || !next)
    {
        return std::nullopt;
    }
    log_page page{*first, *next, {}};
    for (auto const& entry : body.at("records"))
    {
        auto record = to_record(entry);
        if (!record)
        {
            return std::nullopt;
        }
        page.records.push_back(std::move(*record));
    }
    return page;
}

core::error to_unavailable(core::error failure)
{
    failure.code = core::error_code::log_unavailable;
    return failure;
}

log_append_result to_append_result(io::http_result const& result)
{
    if (result.outcome == io::call_outcome::not_sent)
    {
        return log_append_failed{to_unavailable(*result.failure)};
    }
    if (result.outcome == io::call_outcome::possibly_received)
    {
        return log_append_unknown{to_unavailable(*result.failure)};
    }
    if (result.status != status_created)
    {
        return log_append_failed{
            unexpected_status("append to the log", result.status)};
    }
    auto const body = json::parse(result.body, nullptr, false);
    auto const offset =
        body.is_object() ? number_of(body, "offset") : std::nullopt;
    if (!offset)
    {
        return log_append_unknown{{core::error_code::malformed_response,
                                   "append to the log",
                                   {},
                                   "the answer has no offset"}};
    }
    return log_appended{*offset};
}

log_read_result to_read_result(io::http_result const& result)
{
    if (result.failure)
    {
        return to_unavailable(*result.failure);
    }
    if (result.status == status_gone)
    {
        auto const body = json::parse(result.body, nullptr, false);
        auto const first =
            body.is_object() ? number_of(body, "first") : std::nullopt;
        return log_expired{first.value_or(0)};
    }
    if (result.status != status_ok)
    {
        return unexpected_status("read the log", result.status);
    }
    return std::visit(
        [](auto&& parsed) -> log_read_result
        {
            return std::forward<decltype(parsed)>(parsed);
        },
        parse_log_page(result.body));
}

} // namespace

std::variant<log_page, core::error> parse_log_page(std::string_view body)
{
    auto page = to_page(json::parse(body, nullptr, false));
    if (!page)
    {
        return core::error{core::error_code::malformed_response,
                           "read the log",
                           {},
                           "the answer has another form"};
    }
    return std::move(*page);
}

log_client::log_client(io::event_loop& loop, io::socket_address const& address,
                       std::string const& stream, core::duration timeout)
    : client_(loop, address, {.connect_timeout = timeout})
    , path_("/log/" + stream)
    , timeout_(timeout)
{
}

void log_client::append(std::string record,
                        std::function<void(log_append_result)> done)
{
    client_.start({.method = "POST",
                   .path = path_,
                   .body = std::move(record),
                   .timeout = timeout_},
                  [done = std::move(done)](io::http_result const& result)
                  {
                      done(to_append_result(result));
                  });
}

void log_client::read(std::uint64_t from, std::uint32_t limit,
                      core::duration wait,
                      std::function<void(log_read_result)> done)
{
    auto const wait_ms =
        std::chrono::floor<std::chrono::milliseconds>(wait).count();
    client_.start({.path = path_ + "?from=" + std::to_string(from) +
                           "&limit=" + std::to_string(limit) +
                           "&wait_ms=" + std::to_string(wait_ms),
                   .timeout = timeout_ + wait},
                  [done = std::move(done)](io::http_result const& result)
                  {
                      done(to_read_result(result));
                  });
}

} // namespace goldcrestgate::platform
