#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/events.hpp"
#include "goldcrestgate/core/result.hpp"
#include "goldcrestgate/io/address.hpp"
#include "goldcrestgate/io/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace goldcrestgate::io
{

namespace detail
{
class peer_network_state;
} // namespace detail

/// @brief Limits of a @ref peer_network.
struct peer_network_options
{
    core::duration connect_timeout = std::chrono::seconds{1};
    /// Pause before the first new attempt; it doubles up to the longest one.
    core::duration initial_reconnect_delay = std::chrono::milliseconds{100};
    core::duration max_reconnect_delay = std::chrono::seconds{2};
    /// Bytes that may wait for a peer that does not read; then the connection
    /// is closed.
    std::size_t write_limit_bytes = std::size_t{64} * 1024 * 1024;
};

/// @brief The connections to other entry instances.
///
/// Either side may make a connection; the first one that stands is used until
/// it ends. Each side sends its `hello` first. A fault in a frame ends that
/// connection alone.
///
/// @par Thread safety
/// All members are for the thread of the loop.
class peer_network
{
public:
    /// Receives `peer_connected`, `peer_lost` and `peer_received`, never
    /// during a call of a member function.
    using event_sink = std::function<void(core::event)>;

    /// Receives faults of frames and connections, which name peer and step.
    using fault_sink = std::function<void(core::error const&)>;

    /// @pre @a loop outlives the network
    /// @param self sent as the first message on each connection
    peer_network(event_loop& loop, core::hello self,
                 peer_network_options options, event_sink sink,
                 fault_sink fault);
    ~peer_network();

    /// @brief Begins to accept connections.
    /// @return an error of code `address_in_use` if the address is not usable
    core::result<void> listen(socket_address const& address);

    /// @brief Connects, and connects anew when the connection ends.
    void apply(core::connect_peer const& asked);

    /// @brief Closes the connections of a peer and stops connecting to it.
    void apply(core::disconnect_peer const& asked);

    /// @brief Sends a message; drops it if no connection stands.
    void apply(core::send_to_peer const& asked);

    /// @brief Returns the number of peers with a connection that stands.
    [[nodiscard]] std::size_t connected_peers() const;

private:
    std::shared_ptr<detail::peer_network_state> state_;
};

} // namespace goldcrestgate::io
