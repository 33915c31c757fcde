#include "goldcrestgate/platform/instance_list_client.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>
#include <string>
#include <utility>

namespace goldcrestgate::platform
{

namespace
{

using nlohmann::json;

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_not_modified = 304;

template <typename Integer>
bool read_integer(json const& entry, char const* name, Integer& value)
{
    auto const found = entry.find(name);
    if (found == entry.end() || !found->is_number_unsigned() ||
        found->get<std::uint64_t>() > std::numeric_limits<Integer>::max())
    {
        return false;
    }
    value = found->get<Integer>();
    return true;
}

bool read_text(json const& entry, char const* name, std::string& value)
{
    auto const found = entry.find(name);
    if (found == entry.end() || !found->is_string())
    {
        return false;
    }
    value = found->get<std::string>();
    return true;
}

bool read_kind(json const& entry, core::listed_instance& listed)
{
    std::string kind;
    if (!read_text(entry, "kind", kind))
    {
        return false;
    }
    listed.kind = kind == "entry" ? core::listed_kind::entry_instance
                                  : core::listed_kind::backend_server;
    return kind == "entry" || kind == "server";
}

bool read_state(json const& entry, core::listed_instance& listed)
{
    std::string state;
    if (!read_text(entry, "state", state))
    {
        return false;
    }
    listed.leaving = state == "leaving";
    return state == "live" || state == "leaving";
}

std::optional<core::listed_instance> to_listed(json const& entry)
{
    core::listed_instance listed;
    std::uint16_t domain = 0;
    if (!entry.is_object() || !read_kind(entry, listed) ||
        !read_state(entry, listed) || !read_integer(entry, "id", listed.id) ||
        !read_integer(entry, "domain", domain) ||
        !read_text(entry, "address", listed.address))
    {
        return std::nullopt;
    }
    listed.domain = core::domain_id{domain};
    read_text(entry, "rack", listed.rack);
    bool const is_server = listed.kind == core::listed_kind::backend_server;
    bool const complete =
        is_server ? read_integer(entry, "slots", listed.slots)
                  : read_text(entry, "peer_address", listed.peer_address);
    return complete ? std::optional{std::move(listed)} : std::nullopt;
}

core::error malformed_list(std::string message)
{
    return {core::error_code::malformed_response,
            "read the instance list",
            {},
            std::move(message)};
}

} // namespace

instance_list_result parse_instance_list(std::string_view body)
{
    auto const parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("entries") ||
        !parsed.at("entries").is_array())
    {
        return malformed_list("the answer has no list of entries");
    }
    core::instance_list list;
    for (auto const& entry : parsed.at("entries"))
    {
        auto listed = to_listed(entry);
        if (!listed)
        {
            return malformed_list("entry " +
                                  std::to_string(list.entries.size()) +
                                  " has another form");
        }
        list.entries.push_back(std::move(*listed));
    }
    return list;
}

instance_list_client::instance_list_client(io::event_loop& loop,
                                           io::socket_address const& address,
                                           core::domain_id domain,
                                           core::duration timeout)
    : client_(loop, address, {.max_connections = 1, .connect_timeout = timeout})
    , path_("/instances?servers_domain=" + std::to_string(domain.value()))
    , timeout_(timeout)
{
}

void instance_list_client::read(std::function<void(instance_list_result)> done)
{
    io::http_call call{.path = path_, .timeout = timeout_};
    if (!etag_.empty())
    {
        call.headers.emplace_back("if-none-match", etag_);
    }
    client_.start(std::move(call),
                  [this, done = std::move(done)](io::http_result const& result)
                  {
                      done(handle_result(result));
                  });
}

instance_list_result
instance_list_client::handle_result(io::http_result const& result)
{
    if (result.failure)
    {
        core::error failure = *result.failure;
        failure.code = core::error_code::instance_list_unavailable;
        return failure;
    }
    if (result.status == status_not_modified && !etag_.empty())
    {
        return last_list_;
    }
    if (result.status != status_ok)
    {
        return core::error{core::error_code::instance_list_unavailable,
                           "read the instance list",
                           {},
                           "status " + std::to_string(result.status)};
    }
    auto parsed = parse_instance_list(result.body);
    if (auto const* const list = std::get_if<core::instance_list>(&parsed))
    {
        last_list_ = *list;
        etag_ = result.header("etag").value_or("");
    }
    return parsed;
}

} // namespace goldcrestgate::platform
