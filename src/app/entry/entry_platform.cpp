#include "goldcrestgate/app/entry/entry_instance.hpp"

#include "goldcrestgate/core/settings/text_list.hpp"
#include "platform/configuration_codec.hpp"

#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// Delay between attempts to publish the own address.
constexpr core::duration publish_retry_delay = std::chrono::milliseconds{500};

} // namespace

topic_callbacks entry_instance::make_topic_callbacks(
    std::string_view name,
    std::function<void(adapter::topic_page const&)> const& changed)
{
    return {changed,
            changed,
            [this, name](core::error const& failure)
            {
                log_.write(log_line{log_level::warning, "store_lost"}
                               .text("topic", name)
                               .failure(failure));
            },
            [this, name](read_outage const& outage)
            {
                using std::chrono::milliseconds;
                log_.write(
                    log_line{log_level::info, "store_regained"}
                        .text("topic", name)
                        .number("outage_ms",
                                std::chrono::duration_cast<milliseconds>(
                                    outage.length)
                                    .count())
                        .number("failed_reads", static_cast<std::int64_t>(
                                                    outage.failed_reads)));
            },
            {}};
}

topic_callbacks entry_instance::make_operator_callbacks()
{
    auto callbacks =
        make_topic_callbacks("configuration",
                             [this](adapter::topic_page const& page)
                             {
                                 on_operator_records(page, false);
                             });
    callbacks.on_snapshot = [this](adapter::topic_page const& page)
    {
        on_operator_records(page, true);
    };
    callbacks.on_read = [this](core::time_point as_of)
    {
        configuration_exchange_.store_read(as_of);
    };
    return callbacks;
}

topic_callbacks entry_instance::make_executor_callbacks()
{
    auto callbacks =
        make_topic_callbacks("executors",
                             [this](adapter::topic_page const& page)
                             {
                                 directory_.apply_changes(page, loop_.now());
                             });
    callbacks.on_snapshot = [this](adapter::topic_page const& page)
    {
        directory_.apply_snapshot(page, loop_.now());
    };
    callbacks.on_read_failed =
        [this, log_failure = std::move(callbacks.on_read_failed)](
            core::error const& failure)
    {
        directory_.mark_store_unreachable();
        log_failure(failure);
    };
    return callbacks;
}

void entry_instance::watch_platform()
{
    configuration_watch_.resume();
    publish_address();
    for (auto const seed : core::split_list(settings_.seed_addresses))
    {
        connect(seed);
    }
}

// The other instances' addresses are read only after the own one is published,
// so that at least one of two instances that start together finds the other.
void entry_instance::publish_address()
{
    constexpr core::duration timeout = std::chrono::milliseconds{900};
    store_.append(adapter::topic::instances, settings_.peers_address,
                  settings_.peers_address, timeout,
                  [this](std::optional<core::error> const& failure)
                  {
                      if (!failure)
                      {
                          instances_watch_.resume();
                          return;
                      }
                      log_.write(log_line{log_level::warning, "store_lost"}
                                     .text("topic", "instances")
                                     .failure(*failure));
                      publish_retry_timer_.start_after(publish_retry_delay);
                  });
}

// The offset of the topic orders the states of the evacuations, also among
// instances.
void entry_instance::on_operator_records(adapter::topic_page const& page,
                                         bool is_snapshot)
{
    core::evacuations known{page.next_offset, {}};
    if (!is_snapshot)
    {
        known.domains = evacuations_.domains;
    }
    for (auto const& record : page.records)
    {
        if (auto const name = adapter::evacuated_domain(record.key))
        {
            auto const domain = domains_.find(*name);
            if (domain == domains_.end())
            {
                log_.write(
                    log_line{log_level::warning, "evacuation_refused"}.text(
                        "failure_domain", *name));
            }
            else if (record.value)
            {
                known.domains.insert(domain->second);
            }
            else
            {
                known.domains.erase(domain->second);
            }
        }
        if (record.key == adapter::configuration_key && record.value)
        {
            apply_configuration(*record.value, "store");
        }
    }
    adopt_evacuations(known, "store");
}

void entry_instance::adopt_evacuations(core::evacuations const& known,
                                       std::string_view source)
{
    if (!evacuations_.adopt(known))
    {
        return;
    }
    for (auto const& [name, domain] : domains_)
    {
        log_.write(log_line{log_level::info, "evacuation_in_force"}
                       .text("failure_domain", name)
                       .flag("evacuated", evacuations_.contains(domain))
                       .number("version",
                               static_cast<std::int64_t>(evacuations_.version))
                       .text("source", source));
    }
    std::vector<core::scheduler_action> out;
    scheduler_.suspend(evacuations_.contains(self_.domain), loop_.now(), out);
    apply(out);
}

} // namespace goldcrestgate::app
