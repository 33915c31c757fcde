#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"
#include "goldcrestgate/core/leasing/job_messages.hpp"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief State of the live owner of a failure domain's executors.
struct owner_view
{
    domain_id domain;
    instance_id instance;
    std::uint64_t term = 0;
    std::uint32_t free_millicores = 0;
    duration expected_wait{};
};

/// @brief Take ownership of the executors of this instance's failure domain.
struct claim_ownership
{
    std::uint64_t term = 0;
    fencing_token token;
};

/// @brief Release ownership.
struct release_ownership
{
};

/// Action that @ref domain_ownership::decide requests.
using ownership_decision =
    std::variant<std::monostate, claim_ownership, release_ownership>;

/// @brief Decides which instance of a failure domain owns its executors.
///
/// No consensus is needed: executors obey the highest fencing token only, so
/// two owners at a time waste work but never cause a second run of a task. An
/// instance follows an owner while its heartbeats arrive; without an owner, the
/// largest instance claims ownership. A term is the time of day, so that terms
/// rise across restarts of all instances, and always exceeds every term
/// received before.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class domain_ownership
{
public:
    /// @param weight size of the instance; the largest instance is the
    /// preferred owner
    domain_ownership(instance_key self, std::uint32_t weight, time_point now);

    /// @brief Handles a heartbeat of another instance.
    void heartbeat_received(instance_key const& from,
                            owner_heartbeat const& heartbeat, time_point now);

    /// @brief Handles the loss of the connection to an instance.
    /// @param ended whether its process has certainly ended; otherwise it has a
    /// short time to reconnect
    void lost(instance_id peer, bool ended, time_point now);

    /// @brief Handles the refusal of the current token by an executor.
    /// @param while_claiming whether no executor has accepted the token yet
    void fenced(bool while_claiming, time_point now);

    /// @brief Marks this process as stopping; it claims no ownership from now
    /// on.
    void leave()
    {
        leaving_ = true;
    }

    /// @brief Returns the action to take now; to be called at least every 50
    /// ms.
    /// @param unix_ms the time of day in milliseconds since 1970
    [[nodiscard]] ownership_decision decide(time_point now,
                                            std::uint64_t unix_ms);

    /// @brief Returns the heartbeat to send.
    [[nodiscard]] owner_heartbeat heartbeat(std::uint32_t free_millicores,
                                            duration expected_wait,
                                            time_point now) const;

    /// @brief Returns the live owner of each failure domain, including this
    /// instance's own domain; the load of this instance is left at 0.
    [[nodiscard]] std::vector<owner_view> owners(time_point now) const;

    /// @brief Removes and returns the instances whose heartbeats have timed
    /// out.
    [[nodiscard]] std::vector<instance_id> take_unresponsive(time_point now);

    [[nodiscard]] std::uint64_t term() const
    {
        return term_;
    }

private:
    struct peer_state
    {
        instance_key key;
        owner_heartbeat last;
        time_point last_heartbeat_at{};
    };

    [[nodiscard]] bool is_alive(peer_state const& peer, time_point now) const;
    [[nodiscard]] bool is_preferred_owner(time_point now) const;

    instance_key self_;
    std::uint32_t weight_;
    time_point claim_allowed_at_;
    std::uint64_t term_ = 0;
    std::uint64_t highest_term_ = 0;
    bool leaving_ = false;
    bool release_requested_ = false;
    std::map<instance_id, peer_state> peers_;
};

} // namespace goldcrestgate::core
