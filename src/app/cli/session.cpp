#include "goldcrestgate/app/cli/detail/session.hpp"

#include "goldcrestgate/app/cli/views.hpp"
#include "goldcrestgate/app/error_guide.hpp"
#include "goldcrestgate/core/settings/tree_schema.hpp"

#include <ostream>
#include <string_view>
#include <utility>

namespace goldcrestgate::app::cli
{

namespace
{

using nlohmann::json;

constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_gone = 410;
constexpr std::uint16_t status_server_error = 500;

json error_to_json(core::error const& failure)
{
    std::string message = failure.step + ": " + failure.message;
    if (!failure.peer.empty())
    {
        message += " (peer " + failure.peer + ')';
    }
    return {{"error",
             {{"name", core::error_name(failure.code)},
              {"id", core::error_id(failure.code)},
              {"message", std::move(message)}}}};
}

detail::reply parse_reply(operator_response const& response,
                          std::string const& address)
{
    json body = json::parse(response.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
    {
        return {response.status, nullptr,
                core::error{core::error_code::malformed_response,
                            "read the answer", address,
                            "the body with status " +
                                std::to_string(response.status) +
                                " is not a JSON object"}};
    }
    return {response.status, std::move(body), std::nullopt};
}

// Runs a function that returns a result, and returns its error if it failed.
template <typename Function>
std::optional<core::error> catch_error(Function&& function)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::result<std::optional<core::error>>
        {
            BOOST_LEAF_CHECK(function());
            return std::optional<core::error>{};
        },
        [](core::error const& failure)
        {
            return std::optional{failure};
        },
        []
        {
            return std::optional{core::error{core::error_code::io_timeout,
                                             "run the command",
                                             {},
                                             "unknown error"}};
        });
}

} // namespace

namespace detail
{

bool reply::possibly_received() const
{
    return failure && (failure->code == core::error_code::connection_lost ||
                       failure->code == core::error_code::io_timeout ||
                       failure->code == core::error_code::malformed_response);
}

session::session(invocation const& call, runner_context& context)
    : call_(call)
    , context_(context)
{
}

exit_code session::run()
{
    switch (call_.id)
    {
    case command::settings_get:
        return settings_get();
    case command::settings_set:
        return settings_set();
    case command::settings_unset:
        return settings_unset();
    case command::settings_diff:
        return settings_compare(false);
    case command::settings_publish:
        return settings_compare(true);
    case command::settings_watch:
        return settings_watch();
    case command::settings_status:
        return show_list("/v1/admin/settings/status", view_settings_status);
    case command::settings_keys:
        return show({{"keys", core::describe_tree_schema()}},
                    core::describe_tree_schema());
    case command::services:
        return show_list("/v1/admin/services", view_services);
    case command::teams:
        return show_list("/v1/admin/teams", view_teams);
    case command::instances:
        return show_list("/v1/admin/instances", view_instances);
    case command::servers:
        return show_list("/v1/admin/servers", view_servers);
    case command::jobs_list:
        return show_list("/v1/admin/jobs", view_jobs);
    case command::jobs_show:
        return jobs_show();
    case command::jobs_cancel:
        return jobs_cancel();
    case command::drain:
        return drain();
    case command::explain:
        return explain();
    case command::submit:
        return submit();
    case command::errors:
        return show_errors();
    }
    return exit_code::usage;
}

reply session::send_request(std::string method, std::string path,
                            std::string body)
{
    operator_request const request{std::move(method), std::move(path),
                                   std::move(body), call_.timeout};
    reply answer;
    auto failure = catch_error(
        [&]() -> core::result<void>
        {
            BOOST_LEAF_AUTO(response, context_.transport(request));
            answer = parse_reply(response, call_.address);
            return {};
        });
    if (failure)
    {
        answer.failure = std::move(failure);
    }
    return answer;
}

exit_code session::report(reply const& failed)
{
    if (failed.failure)
    {
        return report(*failed.failure);
    }
    context_.error << (call_.output == output_format::json
                           ? failed.body.dump() + '\n'
                           : view_error(failed.body));
    return exit_code_for(operator_response{failed.status, {}});
}

exit_code session::report(core::error const& failure)
{
    json const body = error_to_json(failure);
    context_.error << (call_.output == output_format::json ? body.dump() + '\n'
                                                           : view_error(body));
    return exit_code_for(failure);
}

exit_code session::show(json const& body, std::string const& text)
{
    context_.out << (call_.output == output_format::json ? body.dump() + '\n'
                                                         : text);
    context_.out.flush();
    return exit_code::success;
}

exit_code session::show_list(std::string const& path, view format)
{
    auto const answer = send_request("GET", path);
    return answer.accepted() ? show(answer.body, format(answer.body))
                             : report(answer);
}

std::optional<std::string> session::read_input(std::string const& file)
{
    std::optional<std::string> text;
    auto const failure = catch_error(
        [&]() -> core::result<void>
        {
            BOOST_LEAF_ASSIGN(text, context_.read_file(file));
            return {};
        });
    if (failure)
    {
        report(*failure);
        return std::nullopt;
    }
    return text;
}

exit_code session::drain()
{
    auto const answer = send_request("POST", "/v1/admin/drain", "{}");
    if (!answer.accepted())
    {
        return report(answer);
    }
    return show(answer.body, "the instance at " + call_.address +
                                 " is stopping; it exits when its work has "
                                 "ended\n");
}

exit_code session::show_errors()
{
    std::string_view const name =
        call_.arguments.empty() ? std::string_view{} : call_.arguments.front();
    if (call_.markdown)
    {
        return show({{"markdown", describe_error_guide()}},
                    describe_error_guide());
    }
    json list = json::array();
    std::string text;
    for (auto const& advice : error_guide())
    {
        auto const known = core::error_name(advice.code);
        if (name.empty() || name == known)
        {
            list.push_back({{"number", static_cast<unsigned>(advice.code)},
                            {"name", known},
                            {"meaning", advice.meaning},
                            {"action", advice.action}});
            text += std::to_string(static_cast<unsigned>(advice.code));
            text += ' ';
            text += known;
            text += "\n    ";
            text += advice.meaning;
            text += "\n    ";
            text += advice.action;
            text += '\n';
        }
    }
    if (list.empty())
    {
        return report(core::error{core::error_code::usage,
                                  "list errors",
                                  {},
                                  "there is no error " + std::string{name}});
    }
    return show({{"errors", std::move(list)}}, text);
}

} // namespace detail

exit_code run(invocation const& call, runner_context& context)
{
    if (call.help)
    {
        context.out << *call.help;
        return exit_code::success;
    }
    return detail::session(call, context).run();
}

exit_code exit_code_for(operator_response const& response)
{
    if (response.status == status_conflict)
    {
        return exit_code::conflict;
    }
    if (response.status == status_gone)
    {
        return exit_code::unknown;
    }
    return response.status >= status_server_error ? exit_code::unavailable
                                                  : exit_code::refused;
}

exit_code exit_code_for(core::error const& failure)
{
    switch (failure.code)
    {
    case core::error_code::usage:
    case core::error_code::invalid_field:
    case core::error_code::not_found:
    case core::error_code::file_unreadable:
    case core::error_code::settings_syntax:
        return exit_code::usage;
    default:
        return exit_code::unavailable;
    }
}

} // namespace goldcrestgate::app::cli
