#pragma once

#include "goldcrestgate/core/actions.hpp"
#include "goldcrestgate/core/events.hpp"
#include "goldcrestgate/core/result.hpp"
#include "goldcrestgate/io/address.hpp"
#include "goldcrestgate/io/event_loop.hpp"
#include "goldcrestgate/wire/frame_codec.hpp"

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
    /// Delay before the first attempt to reconnect; it doubles with each
    /// attempt, up to the maximum.
    core::duration initial_reconnect_delay = std::chrono::milliseconds{100};
    core::duration max_reconnect_delay = std::chrono::seconds{2};
    /// Maximum number of unwritten bytes for a peer; the connection is closed
    /// when a peer reads too slowly and the number is exceeded.
    std::size_t write_limit_bytes = std::size_t{64} * 1024 * 1024;
    /// Maximum size of a received frame; a larger one ends its connection.
    std::size_t frame_limit_bytes = wire::frame_limit_bytes;
    /// Maximum number of bytes of all incomplete frames together; above it, the
    /// connection with the most is closed.
    std::size_t partial_frame_limit_bytes = std::size_t{64} * 1024 * 1024;
    /// Maximum number of accepted connections that have not sent a hello; the
    /// oldest one is closed for a further one.
    std::size_t unidentified_limit = 512;
};

/// @brief The connections to other entry instances.
///
/// Either side may connect. Of several connections to a peer, the one that was
/// established first is used until it ends. Each side first sends its `hello`.
/// An error in a frame ends only the connection on which it arrived.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class peer_network
{
public:
    /// Receives `peer_connected`, `peer_lost`, `peer_messages_lost` and
    /// `peer_received`; never called from within a member function.
    using event_sink = std::function<void(core::event)>;

    /// Receives errors of frames and connections, which name the peer and the
    /// failed step.
    using error_sink = std::function<void(core::error const&)>;

    /// @pre @a loop outlives the network
    /// @param self sent as the first message on each connection
    peer_network(event_loop& loop, core::hello self,
                 peer_network_options options, event_sink on_event,
                 error_sink on_error);
    ~peer_network();

    /// @brief Starts accepting connections.
    /// @return an error of code `address_in_use` if the address cannot be used
    core::result<void> listen(socket_address const& address);

    /// @brief Connects to a peer and reconnects whenever the connection ends.
    void apply(core::connect_peer const& action);

    /// @brief Closes the connections to a peer and stops reconnecting to it.
    void apply(core::disconnect_peer const& action);

    /// @brief Sends a message; drops it if no connection is established.
    void apply(core::send_to_peer const& action);

    /// @brief Returns the number of peers with an established connection.
    [[nodiscard]] std::size_t connected_peers() const;

private:
    std::shared_ptr<detail::peer_network_state> state_;
};

} // namespace goldcrestgate::io
