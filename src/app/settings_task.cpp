#include "goldcrestgate/app/settings_task.hpp"

#include "goldcrestgate/core/detail/overloaded.hpp"
#include "goldcrestgate/core/settings/publication_check.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

constexpr std::uint32_t records_per_read = 1000;

/// Backoff between reads while reads fail or no settings are in force yet. The
/// maximum is below the 2 s within which settings must come into force after an
/// outage.
constexpr core::duration initial_retry_delay = std::chrono::milliseconds{100};
constexpr core::duration max_retry_delay = std::chrono::seconds{1};

/// Staggers due snapshots by instance number, so that instances with different
/// numbers write them at different times.
constexpr std::uint32_t snapshot_delay_steps = 16;
constexpr core::duration snapshot_delay_step = std::chrono::milliseconds{500};

core::snapshot_rules make_snapshot_rules(instance_settings const& settings)
{
    auto const step = settings.id.value() % snapshot_delay_steps;
    return {settings.snapshot_interval, settings.snapshot_record_limit,
            snapshot_delay_step * step};
}

} // namespace

settings_task::settings_task(io::event_loop& loop,
                             instance_settings const& settings,
                             io::socket_address const& platform, logger& log,
                             change_sink changed, peer_sink to_peer)
    : loop_(loop)
    , settings_(settings)
    , client_(loop, platform, "settings", settings.platform_timeout)
    , log_(log)
    , changed_(std::move(changed))
    , to_peer_(std::move(to_peer))
    , schedule_(make_snapshot_rules(settings), loop.now())
    , retry_(loop,
             [this]
             {
                 read_next();
             })
    , retry_delay_(initial_retry_delay)
{
}

void settings_task::start()
{
    read_next();
}

void settings_task::read_next()
{
    // Reads do not wait for records until settings are in force, so that an
    // empty log is detected at once.
    auto const wait = state_.ready() ? settings_.log_wait : core::duration{0};
    client_.read(state_.next_offset(), records_per_read, wait,
                 [this](platform::log_read_result const& result)
                 {
                     on_read(result);
                 });
}

void settings_task::on_read(platform::log_read_result const& result)
{
    auto const before = state_.version();
    std::optional<core::error> failure;
    if (auto const* const page = std::get_if<platform::log_page>(&result))
    {
        on_page(*page);
    }
    else if (auto const* const expired =
                 std::get_if<platform::log_expired>(&result))
    {
        first_offset_ = expired->first;
        state_.on_records_expired(expired->first);
    }
    else
    {
        failure = std::get<core::error>(result);
    }
    update_log_reachability(failure);
    after_change(before);
    write_snapshot_if_due();
    if (failure || !state_.ready())
    {
        retry_.start_after(retry_delay_);
        retry_delay_ = std::min(retry_delay_ * 2, max_retry_delay);
        return;
    }
    retry_delay_ = initial_retry_delay;
    read_next();
}

void settings_task::on_page(platform::log_page const& page)
{
    first_offset_ = page.first;
    // A log may answer a read of expired records with the oldest records that
    // it still holds.
    state_.on_records_expired(page.first);
    for (auto const& record : page.records)
    {
        auto const outcome = state_.apply(record.offset, record.data);
        if (outcome == core::apply_outcome::conflict ||
            outcome == core::apply_outcome::malformed)
        {
            log_.write(
                log_line{log_level::warning, "settings_record_refused"}
                    .number("offset", static_cast<std::int64_t>(record.offset))
                    .flag("conflict",
                          outcome == core::apply_outcome::conflict));
        }
    }
    bool const is_empty = page.next == 0 && page.records.empty();
    if (is_empty && !state_.ready())
    {
        state_.on_empty_log();
        changed_(resolver_.resolve(state_.tree(), state_.version()));
    }
}

void settings_task::after_change(core::settings_version before)
{
    if (state_.ready() && state_.version() != before)
    {
        log_.write(log_line{log_level::info, "settings_in_force"}.number(
            "version", static_cast<std::int64_t>(state_.version().value())));
        changed_(resolver_.resolve(state_.tree(), state_.version()));
    }
    answer_publications();
}

void settings_task::exchange(core::settings_exchange const& action)
{
    auto const* const pull = std::get_if<core::settings_pull>(&action.message);
    if (pull != nullptr && state_.ready() && state_.version() > pull->after)
    {
        to_peer_({action.peer,
                  core::settings_push{state_.version(), state_.snapshot()}});
    }
    auto const* const push = std::get_if<core::settings_push>(&action.message);
    if (push != nullptr)
    {
        auto const before = state_.version();
        bool const was_ready = state_.ready();
        if (state_.adopt_snapshot(push->snapshot))
        {
            // The first snapshot takes effect even if its version is 0, which
            // after_change() does not see as a change.
            if (!was_ready && state_.version() == before)
            {
                changed_(resolver_.resolve(state_.tree(), state_.version()));
            }
            after_change(before);
        }
    }
}

void settings_task::publish(std::string_view body, answer_sink done)
{
    auto check = core::check_publication(body, state_.tree());
    if (auto answer = core::answer_before_append(state_, check))
    {
        done(std::move(*answer));
        return;
    }
    auto record = core::write_record(check.publication);
    client_.append(
        std::move(record),
        [this, publication = std::move(check.publication),
         done = std::move(done)](platform::log_append_result const& result)
        {
            on_appended(publication, result, done);
        });
}

void settings_task::on_appended(core::settings_publication const& publication,
                                platform::log_append_result const& result,
                                answer_sink done)
{
    std::visit(
        core::detail::overloaded{
            [&](platform::log_appended const& appended)
            {
                open_publications_.push_back(
                    {publication, appended.offset,
                     loop_.now() + settings_.platform_timeout,
                     std::move(done)});
                answer_publications();
            },
            [&](platform::log_append_failed const& failed)
            {
                constexpr std::uint16_t unavailable = 503;
                done(core::answer_error(unavailable, failed.failure));
            },
            [&](platform::log_append_unknown const&)
            {
                done(core::answer_append_unknown(publication));
            }},
        result);
}

void settings_task::answer_publications()
{
    for (auto entry = open_publications_.begin();
         entry != open_publications_.end();)
    {
        bool const applied = state_.version().value() > entry->offset;
        if (applied)
        {
            entry->done(core::answer_after_append(state_, entry->publication));
        }
        else if (loop_.now() >= entry->expires)
        {
            entry->done(core::answer_append_unknown(entry->publication));
        }
        else
        {
            ++entry;
            continue;
        }
        entry = open_publications_.erase(entry);
    }
}

void settings_task::write_snapshot_if_due()
{
    if (!schedule_.due(state_, first_offset_, loop_.now()))
    {
        return;
    }
    client_.append(
        state_.snapshot(),
        [this](platform::log_append_result const& result)
        {
            bool const written =
                std::holds_alternative<platform::log_appended>(result);
            log_.write(log_line{log_level::info, "settings_snapshot"}.flag(
                "written", written));
        });
}

void settings_task::update_log_reachability(
    std::optional<core::error> const& failure)
{
    bool const reachable = !failure;
    if (reachable == log_reachable_)
    {
        return;
    }
    log_reachable_ = reachable;
    log_line line{reachable ? log_level::info : log_level::warning,
                  reachable ? "log_service_reachable"
                            : "log_service_unreachable"};
    if (failure)
    {
        line.failure(*failure);
    }
    log_.write(line);
}

} // namespace goldcrestgate::app
