#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"
#include "goldcrestgate/core/leasing/job_messages.hpp"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// @brief The live owner of a failure domain's executors.
struct owner_view
{
    domain_id domain;
    instance_id instance;
    std::uint64_t term = 0;
    std::uint32_t free_millicores = 0;
    duration expected_wait{};
};

/// @brief Take the ownership of the own failure domain's executors.
struct claim_ownership
{
    std::uint64_t term = 0;
    fencing_token token;
};

/// @brief Give up the ownership.
struct give_up_ownership
{
};

/// What an instance has to do about its ownership.
using ownership_decision =
    std::variant<std::monostate, claim_ownership, give_up_ownership>;

/// @brief Decides which instance of a failure domain owns its executors.
///
/// The owner need not be agreed on: executors obey the highest token only, so
/// two owners cost time and never a second run. An owner is followed while its
/// heartbeats arrive; without one the largest instance claims. Terms are taken
/// from the time of day, so that they rise across restarts of all instances,
/// and are above all terms heard of.
///
/// @par Thread safety
/// Not safe.
class domain_ownership
{
public:
    /// @param weight the largest instance is the first choice as owner
    domain_ownership(instance_key self, std::uint32_t weight, time_point now);

    /// @brief A heartbeat has arrived.
    void heartbeat_received(instance_key const& from,
                            owner_heartbeat const& heartbeat, time_point now);

    /// @brief The connection to an instance is gone.
    /// @param ended whether its process has surely ended; otherwise it has a
    /// short time to connect again
    void lost(instance_id peer, bool ended, time_point now);

    /// @brief An executor refused the token.
    /// @param while_claiming whether no executor had accepted the token before
    void fenced(bool while_claiming, time_point now);

    /// @brief The process is about to stop; it claims nothing from now on.
    void leave()
    {
        leaving_ = true;
    }

    /// @brief Returns what to do now; call it at least every 50 ms.
    /// @param unix_ms the time of day in milliseconds since 1970
    [[nodiscard]] ownership_decision decide(time_point now,
                                            std::uint64_t unix_ms);

    /// @brief Returns the heartbeat to send.
    [[nodiscard]] owner_heartbeat heartbeat(std::uint32_t free_millicores,
                                            duration expected_wait,
                                            time_point now) const;

    /// @brief Returns the live owner of each failure domain, the own one
    /// included.
    [[nodiscard]] std::vector<owner_view> owners(time_point now) const;

    /// @brief Returns the instances that have gone silent since the last call.
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
        time_point heard_at{};
    };

    [[nodiscard]] bool is_alive(peer_state const& peer, time_point now) const;
    [[nodiscard]] bool is_first_choice(time_point now) const;

    instance_key self_;
    std::uint32_t weight_;
    time_point may_claim_at_;
    std::uint64_t term_ = 0;
    std::uint64_t highest_term_ = 0;
    bool leaving_ = false;
    bool give_up_ = false;
    std::map<instance_id, peer_state> peers_;
};

} // namespace goldcrestgate::core
