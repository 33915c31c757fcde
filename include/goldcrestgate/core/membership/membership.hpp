#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/events.hpp"
#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/messages.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace goldcrestgate::core
{

/// The state of one incarnation of an instance, as seen by this instance.
enum class instance_state : std::uint8_t
{
    live,
    /// Heartbeats are missing or the connection was lost; other peers are being
    /// probed about it.
    suspect,
    /// Unreachable, but not known to have ended; it may be paused or isolated.
    gone,
    /// The process has ended for certain: its address refused a connection, or
    /// a newer incarnation runs at the same address.
    ended
};

/// @brief An incarnation has changed its state.
struct instance_changed
{
    instance_key instance;
    instance_state state = instance_state::live;
    /// Whether the instance may have considered this one gone, and so may have
    /// sealed its copies, before it ended; always true for other states than
    /// `ended`.
    bool may_have_sealed = true;
};

/// @brief The live instances of this instance's failure domain, or the peers
/// that may hold copies, may have changed.
struct view_changed
{
};

/// A change that the membership reports to the dispatcher.
using membership_change = std::variant<instance_changed, view_changed>;

/// @brief The status of this instance that its heartbeats carry.
struct local_status
{
    settings_version settings;
    bool ready = false;
    std::uint32_t open_tasks = 0;
};

/// @brief The last known status of another instance.
struct instance_view
{
    instance_id instance;
    domain_id domain;
    /// Empty until the first contact.
    std::optional<core::incarnation> incarnation;
    instance_state state = instance_state::gone;
    std::string rack;
    bool listed = false;
    bool leaving = false;
    bool connected = false;
    settings_version settings;
    bool ready = false;
    std::uint32_t open_tasks = 0;
};

/// @brief Tracks the instances of all failure domains and detects their
/// failures.
///
/// Combines the platform's list, which lags behind, with heartbeats, connection
/// events and probes through other peers. After each call, fetch the changes
/// with @ref take_changes.
class membership
{
public:
    // input

    /// @brief Applies the platform's list; it replaces the earlier one.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void update_list(std::span<listed_instance const> entries, time_point now,
                     std::vector<action>& out);

    /// @brief Handles a connection on which `hello` was exchanged.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void connected(instance_key const& peer, time_point now);

    /// @brief Handles a connection that was lost or could not be established.
    /// @param refused whether the address refused the connection
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void connection_lost(instance_id peer, bool refused, time_point now);

    /// @brief Handles a heartbeat and stores the status that it carries.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, heartbeat const& message,
                time_point now);

    /// @brief Answers a probe: whether this instance still receives heartbeats
    /// of another one.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, probe_request const& message,
                time_point now, std::vector<action>& out) const;

    /// @brief Handles the answer to a probe about a suspect instance.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void handle(instance_key const& from, probe_reply const& message,
                time_point now);

    /// @brief Sends the heartbeats and probes that are due and applies the
    /// timeouts.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void advance(time_point now, local_status const& status,
                 std::vector<action>& out);

    // output

    /// @brief Returns the changes since the last call, in order.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<membership_change> take_changes();

    /// @brief Returns the time at which @ref advance must be called at the
    /// latest.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] time_point next_deadline() const
    {
        return next_deadline_;
    }

    // observers

    /// @brief Returns the state of one incarnation.
    /// @return nothing for an unknown instance and for an incarnation newer
    /// than the known one; `gone` for an older one that was not tracked
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<instance_state>
    state_of(instance_key const& peer) const;

    /// @brief Returns whether a connection to an instance is established.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool is_connected(instance_id peer) const;

    /// @brief Returns the current incarnation of a connected instance.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<instance_key> current(instance_id peer) const;

    /// @brief Returns the rank of this instance among the live instances of
    /// its failure domain, in order of ids; less than @ref live_count.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t rank() const;

    /// @brief Returns the number of live instances of this instance's failure
    /// domain, this one included.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint32_t live_count() const;

    /// @brief Returns the peers that may hold copies of this instance, in order
    /// of preference: suspect instances last, other racks first, each rack
    /// once, then a stable order that differs from owner to owner.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<instance_key> copy_candidates() const;

    /// @brief Returns the connected instances of this instance's failure
    /// domain, which may hold copies of a lost owner.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<instance_key> own_domain_peers() const;

    /// @brief Returns the connected instances of a failure domain.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<instance_key> peers_in(domain_id domain) const;

    /// @brief Returns the last known status of all other instances.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::vector<instance_view> instances() const;

private:
    friend class membership_builder;
    membership() = default;

    struct peer_entry
    {
        instance_view view;
        std::string address;
        // Address at which the known incarnation was first seen.
        std::string incarnation_address;
        time_point first_contact_at{};
        time_point last_received_at{};
        time_point suspect_since{};
        time_point next_heartbeat{};
        std::uint32_t probes_sent = 0;
        std::uint64_t last_sequence_sent = 0;
        std::uint64_t highest_received_sequence = 0;
        // Whether this instance may have sealed the copies of the known
        // incarnation.
        bool was_gone = false;
        // Send times of the heartbeats that the peer has not acknowledged.
        std::deque<std::pair<std::uint64_t, time_point>> unacknowledged;
        // Send time of the newest heartbeat that the peer has acknowledged.
        std::optional<time_point> acknowledged_at;
        // The incarnation known before the current one, and its state.
        std::optional<core::incarnation> previous;
        instance_state previous_state = instance_state::gone;
    };

    void apply_listed(listed_instance const& listed, std::vector<action>& out);
    void disconnect_unlisted(std::vector<action>& out);
    void adopt_incarnation(peer_entry& entry, instance_key const& peer,
                           time_point now);
    void set_state(peer_entry& entry, instance_state state, time_point now);
    void mark_ended(peer_entry& entry, time_point now);
    [[nodiscard]] bool may_have_sealed(peer_entry const& entry,
                                       time_point now) const;
    void discount_own_pause(time_point now);
    void check_timeouts(peer_entry& entry, time_point now,
                        std::vector<action>& out);
    void send_probes(peer_entry& entry, std::vector<action>& out);
    void send_own_domain_heartbeats(time_point now, local_status const& status,
                                    std::vector<action>& out);
    void send_other_domain_heartbeats(time_point now,
                                      local_status const& status,
                                      std::vector<action>& out);
    void send_heartbeat(peer_entry& entry, local_status const& status,
                        time_point now, std::vector<action>& out) const;
    [[nodiscard]] static instance_key key_of(peer_entry const& entry);
    [[nodiscard]] bool is_own_domain(peer_entry const& entry) const;
    [[nodiscard]] bool counts_as_live(peer_entry const& entry) const;

    // configuration
    instance_key self_;
    std::string rack_;
    duration heartbeat_interval_{};
    duration suspect_after_{};
    duration gone_after_{};
    duration other_domain_interval_{};

    std::map<instance_id, peer_entry> peers_;
    std::map<domain_id, instance_id> last_heartbeat_target_;
    time_point last_advance_{};
    time_point next_other_domain_heartbeat_{};
    time_point next_deadline_{};
    std::uint64_t last_nonce_ = 0;
    std::vector<membership_change> changes_;
};

/// @brief Builds a @ref membership.
class membership_builder
{
public:
    /// @brief Sets the failure domain, id and incarnation of this instance.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    membership_builder& self(instance_key const& key);

    /// @brief Sets the rack of this instance.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    membership_builder& rack(std::string name);

    /// @brief Sets the time between heartbeats within the failure domain; 250
    /// ms by default. An instance is suspect after three missed heartbeats and
    /// gone after six.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    membership_builder& heartbeat_interval(duration interval);

    /// @brief Returns the membership.
    /// @pre @ref self was called
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] membership build(time_point now) const;

private:
    instance_key self_;
    std::string rack_;
    duration heartbeat_interval_ = std::chrono::milliseconds{250};
};

} // namespace goldcrestgate::core
