#include "goldcrestgate/app/entry/entry_instance.hpp"
#include "platform/configuration_codec.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace goldcrestgate::app
{

void entry_instance::apply_configuration(std::string const& document,
                                         std::string_view source,
                                         std::string_view peer)
{
    auto table = adapter::decode_configuration(document);
    if (!table)
    {
        log_.write(log_line{log_level::error, "configuration_refused"}.number(
            "bytes", static_cast<std::int64_t>(document.size())));
        return;
    }
    if (table->version <= routes_.version)
    {
        return;
    }
    log_line line{log_level::info, "configuration_in_force"};
    line.number("version", static_cast<std::int64_t>(table->version))
        .number("earlier", static_cast<std::int64_t>(routes_.version))
        .number("routes", static_cast<std::int64_t>(table->routes.size()))
        .text("source", source);
    if (!peer.empty())
    {
        line.text("peer", peer);
    }
    log_.write(line);
    routes_ = std::move(*table);
    configuration_document_ = document;
    configuration_exchange_.applied(routes_.version);
}

void entry_instance::configuration_heard(core::instance_id peer,
                                         std::uint64_t version)
{
    auto const newest =
        std::max(routes_.version, configuration_exchange_.newest_reported());
    configuration_exchange_.heard(peer, version, loop_.now());
    if (version > newest)
    {
        log_.write(
            log_line{log_level::info, "configuration_behind"}
                .number("version", static_cast<std::int64_t>(routes_.version))
                .number("newer", static_cast<std::int64_t>(version))
                .text("peer", format_instance(peer))
                .flag("store_reachable", configuration_watch_.reachable()));
    }
}

void entry_instance::query_configuration()
{
    if (auto const due = configuration_exchange_.tick(loop_.now()))
    {
        if (due->query.wants_document)
        {
            log_.write(log_line{log_level::info, "configuration_requested"}
                           .text("peer", format_instance(due->peer))
                           .number("version",
                                   static_cast<std::int64_t>(routes_.version)));
        }
        send(due->peer, due->query);
    }
}

void entry_instance::log_configuration_age()
{
    bool const is_current = is_configuration_current();
    if (is_current == configuration_current_logged_)
    {
        return;
    }
    configuration_current_logged_ = is_current;
    log_line line{is_current ? log_level::info : log_level::warning,
                  "configuration_age"};
    line.flag("within_limit", is_current)
        .number("version", static_cast<std::int64_t>(routes_.version))
        .flag("store_reachable", configuration_watch_.reachable());
    if (auto const age = configuration_exchange_.age(loop_.now()))
    {
        line.number("age_ms",
                    std::chrono::duration_cast<std::chrono::milliseconds>(*age)
                        .count());
    }
    log_.write(line);
}

bool entry_instance::is_configuration_current() const
{
    auto const age = configuration_exchange_.age(loop_.now());
    return age && *age <= settings_.configuration_age_limit;
}

void entry_instance::answer_configuration_query(
    core::instance_id peer, core::configuration_query const& query)
{
    auto const now = loop_.now();
    bool const is_granted = configuration_exchange_.grants_document(
        query, configuration_document_.size(), now);
    if (is_granted)
    {
        log_.write(
            log_line{log_level::info, "configuration_sent"}
                .text("peer", format_instance(peer))
                .number("version", static_cast<std::int64_t>(routes_.version))
                .number("bytes", static_cast<std::int64_t>(
                                     configuration_document_.size())));
        send(peer, core::published_configuration{routes_.version,
                                                 configuration_document_});
    }
    send(peer, core::configuration_report{query.number, routes_.version,
                                          configuration_exchange_.age(now),
                                          evacuations_});
}

void entry_instance::configuration_reported(
    core::instance_id peer, core::configuration_report const& report)
{
    adopt_evacuations(report.evacuated, "peer");
    bool const is_as_recent = report.evacuated.version >= evacuations_.version;
    configuration_exchange_.report_received(peer, report, is_as_recent,
                                            loop_.now());
}

} // namespace goldcrestgate::app
