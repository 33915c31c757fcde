#pragma once

#include "goldcrestgate/core/detail/dispatcher_state.hpp"
#include "goldcrestgate/core/detail/job_completion.hpp"
#include "goldcrestgate/core/messages.hpp"
#include "goldcrestgate/core/submission/answer.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace goldcrestgate::core::detail
{

/// Status between instances: the receiver cannot answer for the id (HTTP 421,
/// Misdirected Request).
inline constexpr std::uint16_t status_misdirected = 421;

/// @brief A request for a submission that another instance or incarnation owns.
struct foreign_request
{
    forward_kind kind = forward_kind::query;
    reply_target target;
    submission_id submission;
    /// The job's JSON text; empty unless the kind is `submit`.
    std::string body;
    std::uint64_t body_hash = 0;
    duration wait{};
    /// Whether the request comes from a peer that has found the owner lost.
    bool owner_lost = false;
};

/// @brief Forwards requests to the owner of their submission, and looks up the
/// fates of submissions whose owner is lost.
///
/// Not thread-safe; used by one dispatcher only.
class forward_control
{
public:
    forward_control(dispatcher_state& state, job_completion& completion);

    /// @brief Begins to handle a request for an id that this process does not
    /// own.
    void begin(foreign_request request, event_context& context);

    /// @brief Handles a peer's answer.
    void reply(instance_key const& from, forward_reply&& answer,
               event_context& context);

    /// @brief Stops waiting for a lost peer and continues the requests that it
    /// has not answered.
    void peer_lost(instance_id peer, event_context& context);

    /// @brief Reconsiders the requests that depend on the state of their owner.
    void view_changed(event_context& context);

    /// @brief Looks up the fates for requests that waited until the copies of
    /// @a owner were sealed.
    void sealing_finished(instance_key const& owner, event_context& context);

    /// @brief Ends a request whose current step has timed out.
    void timed_out(std::uint64_t nonce, event_context& context);

    /// @brief Drops the request of a caller that has disconnected.
    void drop_caller(request_id request);

    /// @brief Returns whether no request is open.
    [[nodiscard]] bool is_idle() const;

private:
    enum class forward_step : std::uint8_t
    {
        /// A reply is awaited from the owner, or from a peer in the owner's
        /// failure domain.
        owner,
        /// The membership has not decided yet whether the owner still runs.
        waiting,
        /// Replies are awaited from the holders of copies.
        copies
    };

    struct pending_request
    {
        foreign_request request;
        forward_step current_step = forward_step::waiting;
        std::set<instance_id> awaited_peers;
        /// Whether the own copy of the submission is being sealed.
        bool is_sealing = false;
        bool copies_queried = false;
        std::optional<caller_answer> best_answer;
        /// When the caller's wait ends.
        time_point caller_wait_end;
        /// From this time on, the request is not forwarded to the owner again,
        /// and decisions of the membership are no longer awaited.
        time_point owner_wait_end;
        /// When the current step times out.
        time_point step_deadline;
    };

    using pending_map = std::unordered_map<std::uint64_t, pending_request>;

    void advance(std::uint64_t nonce, event_context& context);
    void forward_to_owner(std::uint64_t nonce, pending_request& pending,
                          instance_id peer, event_context& context);
    void wait_for_membership(std::uint64_t nonce, pending_request& pending,
                             event_context& context);
    void forward_to_copies(std::uint64_t nonce, pending_request& pending,
                           event_context& context);
    void look_up_own_copy(pending_request& pending, event_context& context);
    void finish_if_answered(std::uint64_t nonce, event_context& context);
    void finish(std::uint64_t nonce, caller_answer answer,
                event_context& context);
    /// @brief Ends a request with the best answer received, or with an error.
    void finish_with_best(std::uint64_t nonce, event_context& context);
    void arm(std::uint64_t nonce, pending_request& pending, duration wait,
             event_context& context);
    [[nodiscard]] bool is_own_domain(instance_key const& owner) const;
    [[nodiscard]] bool is_unknown(instance_key const& owner) const;
    [[nodiscard]] bool is_lost(instance_key const& owner) const;
    [[nodiscard]] std::optional<instance_id>
    forwarding_peer(instance_key const& owner) const;

    dispatcher_state& state_;
    job_completion& completion_;
    pending_map pending_;
    std::uint64_t last_nonce_ = 0;
};

} // namespace goldcrestgate::core::detail
