#include "goldcrestgate/app/entry/entry_instance.hpp"

#include "goldcrestgate/core/settings/text_list.hpp"
#include "platform/configuration_codec.hpp"

#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// Pause between attempts to publish the own address.
constexpr core::duration announce_retry = std::chrono::milliseconds{500};

} // namespace

topic_sinks entry_instance::sinks_of(
    std::string_view name,
    std::function<void(adapter::topic_page const&)> const& changed)
{
    return {changed, changed,
            [this, name](core::error const& failure)
            {
                log_.write(log_line{log_level::warning, "store_lost"}
                               .text("topic", name)
                               .failure(failure));
            },
            [this, name]
            {
                log_.write(log_line{log_level::info, "store_regained"}.text(
                    "topic", name));
            }};
}

topic_sinks entry_instance::executor_sinks()
{
    auto sinks = sinks_of("executors",
                          [this](adapter::topic_page const& page)
                          {
                              directory_.update(page, loop_.now());
                          });
    sinks.newest = [this](adapter::topic_page const& page)
    {
        directory_.replace(page, loop_.now());
    };
    sinks.failed =
        [this, logged = std::move(sinks.failed)](core::error const& failure)
    {
        directory_.store_lost();
        logged(failure);
    };
    return sinks;
}

void entry_instance::watch_platform()
{
    configuration_watch_.start();
    executors_watch_.start();
    announce();
    for (auto const seed : core::split_list(settings_.seed_addresses))
    {
        connect(seed);
    }
}

// The list is read after the own address is in it, so that of two instances
// that start together at least one finds the other.
void entry_instance::announce()
{
    constexpr core::duration timeout = std::chrono::milliseconds{900};
    store_.append(adapter::topic::instances, settings_.peers_address,
                  settings_.peers_address, timeout,
                  [this](std::optional<core::error> const& failure)
                  {
                      if (!failure)
                      {
                          instances_watch_.start();
                          return;
                      }
                      log_.write(log_line{log_level::warning, "store_lost"}
                                     .text("topic", "instances")
                                     .failure(*failure));
                      announce_.start_after(announce_retry);
                  });
}

void entry_instance::on_configuration(adapter::topic_page const& page)
{
    for (auto const& record : page.records)
    {
        if (record.key == adapter::configuration_key && record.value)
        {
            use_configuration(*record.value, "store");
        }
    }
}

void entry_instance::use_configuration(std::string const& document,
                                       std::string_view source)
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
    log_.write(
        log_line{log_level::info, "configuration_in_force"}
            .number("version", static_cast<std::int64_t>(table->version))
            .number("earlier", static_cast<std::int64_t>(routes_.version))
            .number("routes", static_cast<std::int64_t>(table->routes.size()))
            .text("source", source));
    routes_ = std::move(*table);
    configuration_ = document;
    configuration_since_ = loop_.now();
}

} // namespace goldcrestgate::app
