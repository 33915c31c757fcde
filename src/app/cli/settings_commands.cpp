#include "goldcrestgate/app/cli/detail/session.hpp"
#include "goldcrestgate/app/cli/views.hpp"
#include "goldcrestgate/core/settings/publication_check.hpp"
#include "goldcrestgate/core/settings/tree_schema.hpp"

#include <chrono>
#include <ostream>
#include <utility>

namespace goldcrestgate::app::cli::detail
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int publish_attempts = 5;
constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_accepted = 202;
constexpr core::duration publish_retry_delay = 1s;
constexpr core::duration watch_interval = 1s;

// A value that is not JSON is taken as a string, so that names need no quotes.
json read_value(std::string const& word)
{
    json value = json::parse(word, nullptr, false);
    return value.is_discarded() ? json(word) : value;
}

core::error path_not_found(std::string const& path)
{
    return {core::error_code::usage,
            "read settings",
            {},
            "there is no value at " + path};
}

} // namespace

bool session::read_published(bool silent)
{
    auto answer = send_request("GET", "/v1/admin/settings");
    if (!answer.accepted())
    {
        if (!silent)
        {
            report(answer);
        }
        return false;
    }
    auto const& body = answer.body;
    if (!body.contains("version") || !body["version"].is_number_unsigned() ||
        !body.contains("tree") || !body["tree"].is_object())
    {
        report(core::error{core::error_code::malformed_response,
                           "read settings", call_.address,
                           "version and tree are missing"});
        return false;
    }
    version_ = core::settings_version{body["version"].get<std::uint64_t>()};
    published_ = core::settings_tree(std::move(answer.body["tree"]));
    return true;
}

exit_code session::settings_get()
{
    if (!read_published())
    {
        return exit_code::unavailable;
    }
    std::string const path =
        call_.arguments.empty() ? std::string{} : call_.arguments.front();
    auto const text = call_.effective ? view_effective(published_, path)
                                      : view_settings(published_, path);
    if (!text)
    {
        return report(path_not_found(path));
    }
    auto const* const value = published_.find(path);
    return show({{"version", version_.value()},
                 {"path", path},
                 {"value", value == nullptr ? json() : *value}},
                *text);
}

exit_code session::settings_set()
{
    core::settings_changes changes;
    for (std::size_t i = 0; i + 1 < call_.arguments.size(); i += 2)
    {
        changes.set.emplace(call_.arguments[i],
                            read_value(call_.arguments[i + 1]));
    }
    return read_published() ? publish(changes, version_)
                            : exit_code::unavailable;
}

exit_code session::settings_unset()
{
    core::settings_changes changes;
    if (!read_published())
    {
        return exit_code::unavailable;
    }
    for (auto const& path : call_.arguments)
    {
        // Without this check, a misspelled path would be reported as a success.
        if (published_.find(path) == nullptr)
        {
            return report(path_not_found(path));
        }
        changes.unset.push_back(path);
    }
    return publish(changes, version_);
}

exit_code session::settings_compare(bool publishes)
{
    auto const& file = call_.arguments.front();
    auto const text = read_input(file);
    if (!text)
    {
        return exit_code::usage;
    }
    auto const wanted = core::parse_settings_tree(*text, file);
    for (auto const& fault : wanted.faults)
    {
        context_.error << to_string(fault) << '\n';
    }
    if (!wanted.faults.empty())
    {
        return exit_code::usage;
    }
    if (!read_published())
    {
        return exit_code::unavailable;
    }
    auto const changes = core::compare_trees(published_, wanted.tree);
    bool const equal = changes == core::settings_changes{};
    if (publishes && !equal)
    {
        return publish(changes, version_);
    }
    show(changes_to_json(changes),
         equal ? "no differences\n" : view_changes(published_, changes));
    return equal ? exit_code::success : exit_code::negative;
}

// Sends the identical record again while its outcome is unknown. That is
// idempotent: a publication id takes effect once.
exit_code session::publish(core::settings_changes const& changes,
                           core::settings_version base)
{
    core::settings_publication const publication{context_.make_publication_id(),
                                                 base, call_.author, changes};
    auto const record = write_record(publication);
    bool possibly_published = false;
    for (int attempt = 0; attempt < publish_attempts; ++attempt)
    {
        auto const answer = send_request("POST", "/v1/admin/settings", record);
        if (answer.status == status_ok && !answer.failure)
        {
            return show(answer.body,
                        "in force on " + call_.address + ": version " +
                            answer.body.value("version", json()).dump() + '\n');
        }
        bool const uncertain =
            answer.possibly_received() || answer.status == status_accepted;
        if (!uncertain && !possibly_published)
        {
            return report(answer);
        }
        if (!uncertain && answer.status >= 400 && answer.status < 500)
        {
            return report(answer);
        }
        possibly_published = true;
        context_.sleep(publish_retry_delay);
    }
    return report_unknown_publication(publication.publication);
}

exit_code session::report_unknown_publication(std::string const& id)
{
    context_.error << "it is unknown whether publication " << id
                   << " took effect; check the settings with "
                      "`goldcrestgate settings get` before trying again\n";
    return exit_code::unknown;
}

exit_code session::settings_watch()
{
    if (!read_published())
    {
        return exit_code::unavailable;
    }
    std::uint32_t seen = 0;
    // Reports an outage once and not at each failed read.
    bool reachable = true;
    while (call_.count == 0 || seen < call_.count)
    {
        context_.sleep(watch_interval);
        auto const before = published_;
        bool const read = read_published(!reachable);
        reachable = read;
        if (read && !(before == published_))
        {
            show_change(before);
            ++seen;
        }
    }
    return exit_code::success;
}

void session::show_change(core::settings_tree const& before)
{
    auto const changes = core::compare_trees(before, published_);
    json body = changes_to_json(changes);
    body["version"] = version_.value();
    show(body, "version " + std::to_string(version_.value()) + '\n' +
                   view_changes(before, changes));
}

} // namespace goldcrestgate::app::cli::detail
