#pragma once

#include "goldcrestgate/app/instance_settings.hpp"
#include "goldcrestgate/app/log.hpp"
#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/events.hpp"
#include "goldcrestgate/core/settings/operator_answers.hpp"
#include "goldcrestgate/core/settings/settings_log.hpp"
#include "goldcrestgate/core/settings/settings_resolver.hpp"
#include "goldcrestgate/core/settings/snapshot_schedule.hpp"
#include "goldcrestgate/platform/log_client.hpp"

#include <functional>
#include <list>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestgate::app
{

/// @brief Maintains the published settings: reads the settings log, exchanges
/// versions with peers, appends publications of operators and writes snapshots.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class settings_task
{
public:
    using change_sink = std::function<void(core::settings_ptr)>;
    using peer_sink = std::function<void(core::send_to_peer)>;
    using answer_sink = std::function<void(core::operator_answer)>;

    /// @pre the arguments outlive the object
    /// @param changed called with each version that comes into force
    /// @param to_peer sends a message to another entry instance
    settings_task(io::event_loop& loop, instance_settings const& settings,
                  io::socket_address const& platform, logger& log,
                  change_sink changed, peer_sink to_peer);

    /// @brief Starts to read the log.
    void start();

    /// @brief Handles a settings message of a peer: answers a pull, or adopts
    /// the snapshot of a push.
    void exchange(core::settings_exchange const& action);

    /// @brief Checks a publication of an operator and appends it to the log.
    /// @param done called once with the answer
    void publish(std::string_view body, answer_sink done);

    /// @brief Returns the settings in force and the position in the log.
    [[nodiscard]] core::settings_log const& state() const
    {
        return state_;
    }

    /// @brief Returns whether the last read of the log succeeded, which
    /// includes the answer that the records have expired.
    [[nodiscard]] bool log_reachable() const
    {
        return log_reachable_;
    }

private:
    /// A publication that is in the log but not yet applied by this instance.
    struct open_publication
    {
        core::settings_publication publication;
        std::uint64_t offset = 0;
        core::time_point expires;
        answer_sink done;
    };

    void read_next();
    void on_read(platform::log_read_result const& result);
    void on_page(platform::log_page const& page);
    void on_appended(core::settings_publication const& publication,
                     platform::log_append_result const& result,
                     answer_sink done);
    /// Announces the settings if their version differs from @a before, and
    /// answers the open publications.
    void after_change(core::settings_version before);
    void answer_publications();
    void write_snapshot_if_due();
    void update_log_reachability(std::optional<core::error> const& failure);

    io::event_loop& loop_;
    instance_settings const& settings_;
    platform::log_client client_;
    logger& log_;
    change_sink changed_;
    peer_sink to_peer_;
    core::settings_log state_;
    core::settings_resolver resolver_;
    core::snapshot_schedule schedule_;
    std::uint64_t first_offset_ = 0;
    bool log_reachable_ = true;
    io::timer retry_;
    core::duration retry_delay_;
    std::list<open_publication> open_publications_;
};

} // namespace goldcrestgate::app
