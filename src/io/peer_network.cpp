#include "goldcrestgate/io/peer_network.hpp"

#include "goldcrestgate/io/detail/peer_connection.hpp"

#include <h2o.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestgate::io
{

namespace detail
{

namespace
{

/// A connection is closed if no hello is received within this time.
constexpr core::duration hello_timeout = std::chrono::seconds{2};

} // namespace

/// @brief The connections to another entry instance and their state.
struct peer_state
{
    peer_state(event_loop& loop, std::function<void()> reconnect)
        : reconnect_timer(loop, std::move(reconnect))
    {
    }

    /// Set between a `connect_peer` action and the `disconnect_peer` action for
    /// this peer.
    std::optional<socket_address> address;
    /// The connection that this side initiated; null while it waits to
    /// reconnect.
    peer_connection* outgoing = nullptr;
    /// The established connections, oldest first; messages are sent on the
    /// first one.
    std::vector<peer_connection*> established;
    /// The connection on which the peer sends; null before its first message.
    peer_connection* receiving = nullptr;
    std::optional<core::instance_key> key;
    core::duration reconnect_delay{};
    timer reconnect_timer;
};

class peer_network_state final
    : public peer_connection_listener,
      public std::enable_shared_from_this<peer_network_state>
{
public:
    peer_network_state(event_loop& loop, core::hello self,
                       peer_network_options options,
                       peer_network::event_sink on_event,
                       peer_network::error_sink on_error);
    ~peer_network_state() override;

    core::result<void> listen(socket_address const& address);
    void connect(core::connect_peer const& action);
    void disconnect(core::instance_id id);
    void send(core::send_to_peer const& action);
    [[nodiscard]] std::size_t connected_peers() const;

    void on_message(peer_connection& connection,
                    core::peer_message&& message) override;
    void on_end(peer_connection& connection, core::error const& cause,
                bool refused) override;
    void on_partial_frame() override;

private:
    struct connection_entry
    {
        std::unique_ptr<peer_connection> connection;
        /// The expected peer of an outgoing connection; empty for an accepted
        /// one.
        std::optional<core::instance_id> target;
        std::unique_ptr<timer> hello_timer;
    };

    static void on_listener(h2o_socket_t* listener, char const* failure);

    /// Closes the oldest accepted connection without a hello if there are too
    /// many.
    void limit_unidentified();
    peer_state& peer_of(core::instance_id id);
    void begin_connect(core::instance_id id);
    void add_connection(std::unique_ptr<peer_connection> connection,
                        std::optional<core::instance_id> target);
    void accept_hello(peer_connection& connection, core::hello const& message);
    /// Ends the connection on which a peer sent before, once it sends on
    /// another one.
    void follow_sender(peer_connection& connection);
    void destroy_later(peer_connection& connection);
    void detach_connection(peer_state& peer, peer_connection& connection);
    void post_event(core::event event);

    event_loop& loop_;
    core::hello self_;
    peer_network_options options_;
    peer_network::event_sink on_event_;
    peer_network::error_sink on_error_;
    h2o_socket_t* listener_ = nullptr;
    std::unordered_map<core::instance_id, std::unique_ptr<peer_state>> peers_;
    std::unordered_map<peer_connection*, connection_entry> connections_;
    /// Accepted connections without a hello, oldest first.
    std::list<peer_connection*> unidentified_;
    std::uint64_t last_connection_ = 0;
};

peer_network_state::peer_network_state(event_loop& loop, core::hello self,
                                       peer_network_options options,
                                       peer_network::event_sink on_event,
                                       peer_network::error_sink on_error)
    : loop_(loop)
    , self_(std::move(self))
    , options_(options)
    , on_event_(std::move(on_event))
    , on_error_(std::move(on_error))
{
}

peer_network_state::~peer_network_state()
{
    if (listener_ != nullptr)
    {
        h2o_socket_close(listener_);
    }
}

// --- connecting ---

core::result<void> peer_network_state::listen(socket_address const& address)
{
    BOOST_LEAF_AUTO(descriptor, open_listener(address));
    listener_ = h2o_evloop_socket_create(loop_.native(), descriptor,
                                         H2O_SOCKET_FLAG_DONT_READ);
    listener_->data = this;
    h2o_socket_read_start(listener_, &peer_network_state::on_listener);
    return {};
}

void peer_network_state::on_listener(h2o_socket_t* listener,
                                     char const* failure)
{
    auto& network = *static_cast<peer_network_state*>(listener->data);
    while (failure == nullptr)
    {
        auto* const socket = h2o_evloop_socket_accept(listener);
        if (socket == nullptr)
        {
            return;
        }
        auto connection =
            std::make_unique<peer_connection>(network.loop_, network, socket);
        network.unidentified_.push_back(connection.get());
        network.add_connection(std::move(connection), std::nullopt);
        network.limit_unidentified();
    }
}

void peer_network_state::limit_unidentified()
{
    if (unidentified_.size() > options_.unidentified_limit)
    {
        auto& oldest = *unidentified_.front();
        oldest.end({core::error_code::connection_lost, "wait for a hello",
                    oldest.address(), "too many connections without a hello"});
    }
}

void peer_network_state::on_partial_frame()
{
    std::size_t total = 0;
    peer_connection* largest = nullptr;
    for (auto const& [connection, entry] : connections_)
    {
        auto const bytes = connection->unread_bytes();
        total += bytes;
        if (largest == nullptr || bytes > largest->unread_bytes())
        {
            largest = connection;
        }
    }
    if (total > options_.partial_frame_limit_bytes)
    {
        largest->end({core::error_code::connection_lost, "read a frame",
                      largest->address(),
                      "incomplete frames of all peers exceed the limit"});
    }
}

peer_state& peer_network_state::peer_of(core::instance_id id)
{
    auto& entry = peers_[id];
    if (entry == nullptr)
    {
        entry = std::make_unique<peer_state>(loop_,
                                             [this, id]
                                             {
                                                 begin_connect(id);
                                             });
        entry->reconnect_delay = options_.initial_reconnect_delay;
    }
    return *entry;
}

void peer_network_state::connect(core::connect_peer const& action)
{
    auto const address = socket_address::parse(action.peer_address);
    if (!address)
    {
        on_error_({core::error_code::invalid_field, "connect to a peer",
                   action.peer_address, "not a valid address"});
        return;
    }
    auto& peer = peer_of(action.peer);
    bool const address_changed =
        !peer.address || peer.address->text() != action.peer_address;
    peer.address = address.value();
    if (address_changed && peer.outgoing == nullptr)
    {
        begin_connect(action.peer);
    }
}

void peer_network_state::begin_connect(core::instance_id id)
{
    auto& peer = peer_of(id);
    if (!peer.address || peer.outgoing != nullptr)
    {
        return;
    }
    auto connection = std::make_unique<peer_connection>(
        loop_, *this, *peer.address, options_.connect_timeout);
    peer.outgoing = connection.get();
    add_connection(std::move(connection), id);
}

void peer_network_state::add_connection(
    std::unique_ptr<peer_connection> connection,
    std::optional<core::instance_id> target)
{
    auto* const raw = connection.get();
    raw->send(self_);
    auto hello_timer = std::make_unique<timer>(
        loop_,
        [raw]
        {
            raw->end({core::error_code::io_timeout, "wait for a hello",
                      raw->address(), "no hello within the timeout"});
        });
    hello_timer->start_after(hello_timeout);
    connections_.emplace(raw, connection_entry{std::move(connection), target,
                                               std::move(hello_timer)});
}

// --- messages ---

void peer_network_state::on_message(peer_connection& connection,
                                    core::peer_message&& message)
{
    auto const* const hello = std::get_if<core::hello>(&message);
    if (!connection.peer && hello != nullptr)
    {
        accept_hello(connection, *hello);
        return;
    }
    if (!connection.peer || hello != nullptr)
    {
        connection.end({core::error_code::malformed_frame, "expect a hello",
                        connection.address(),
                        hello != nullptr
                            ? "received a second hello"
                            : "received another message before the hello"});
        return;
    }
    follow_sender(connection);
    post_event(core::peer_received{*connection.peer, std::move(message),
                                   connection.number});
}

// The peer sends on one connection until that one has ended on its side. What
// the earlier one still delivers is older than what the peer has sent since.
void peer_network_state::follow_sender(peer_connection& connection)
{
    auto& peer = peer_of(connection.peer->instance);
    auto* const earlier = std::exchange(peer.receiving, &connection);
    if (earlier != nullptr && earlier != &connection)
    {
        earlier->end({core::error_code::connection_lost, "read a frame",
                      earlier->address(),
                      "replaced by a later connection of the peer"});
    }
}

void peer_network_state::accept_hello(peer_connection& connection,
                                      core::hello const& message)
{
    auto& entry = connections_.at(&connection);
    auto const sender = message.sender;
    bool const is_expected = !entry.target || *entry.target == sender.instance;
    if (!is_expected || sender == self_.sender)
    {
        connection.end({core::error_code::malformed_frame, "expect a hello",
                        connection.address(),
                        "the hello is from an unexpected instance"});
        return;
    }
    entry.hello_timer->cancel();
    unidentified_.remove(&connection);
    connection.set_frame_limit(options_.frame_limit_bytes);
    connection.peer = sender;
    connection.number = ++last_connection_;
    auto& peer = peer_of(sender.instance);
    peer.reconnect_delay = options_.initial_reconnect_delay;
    if (peer.key && *peer.key != sender)
    {
        // The peer's process has been restarted, so the remaining connections
        // to the previous incarnation must not be used.
        for (auto* const old_connection : std::exchange(peer.established, {}))
        {
            old_connection->end({core::error_code::connection_lost,
                                 "expect a hello", old_connection->address(),
                                 "replaced by another incarnation"});
        }
    }
    bool const is_first = peer.established.empty();
    peer.key = sender;
    peer.established.push_back(&connection);
    if (is_first)
    {
        post_event(core::peer_connected{sender});
    }
}

void peer_network_state::send(core::send_to_peer const& action)
{
    auto const found = peers_.find(action.peer);
    if (found == peers_.end() || found->second->established.empty())
    {
        return;
    }
    auto& connection = *found->second->established.front();
    if (auto failure = connection.send(action.message))
    {
        failure->peer = connection.address();
        on_error_(*failure);
    }
    else if (connection.unwritten_bytes() > options_.write_limit_bytes)
    {
        connection.end(
            {core::error_code::connection_lost, "write a frame",
             connection.address(),
             "the peer reads too slowly; unwritten bytes exceed the limit"});
    }
}

// --- end of connections ---

void peer_network_state::on_end(peer_connection& connection,
                                core::error const& cause, bool refused)
{
    auto& entry = connections_.at(&connection);
    entry.hello_timer->cancel();
    unidentified_.remove(&connection);
    bool const is_network_failure =
        cause.code == core::error_code::connection_lost ||
        cause.code == core::error_code::peer_unreachable;
    if (!is_network_failure || connection.peer)
    {
        on_error_(cause);
    }
    auto const id = connection.peer ? std::optional{connection.peer->instance}
                                    : entry.target;
    if (id)
    {
        auto& peer = peer_of(*id);
        detach_connection(peer, connection);
        if (peer.established.empty())
        {
            post_event(core::peer_lost{*id, refused});
        }
        else if (connection.peer)
        {
            post_event(core::peer_messages_lost{*peer.key});
        }
    }
    destroy_later(connection);
}

void peer_network_state::detach_connection(peer_state& peer,
                                           peer_connection& connection)
{
    std::erase(peer.established, &connection);
    if (peer.receiving == &connection)
    {
        peer.receiving = nullptr;
    }
    if (peer.outgoing != &connection)
    {
        return;
    }
    peer.outgoing = nullptr;
    if (peer.address)
    {
        peer.reconnect_timer.start_after(peer.reconnect_delay);
        peer.reconnect_delay =
            std::min(peer.reconnect_delay * 2, options_.max_reconnect_delay);
    }
}

// Destruction is posted, because the connection may be executing one of its own
// functions.
void peer_network_state::destroy_later(peer_connection& connection)
{
    loop_.post(
        [weak = weak_from_this(), raw = &connection]
        {
            if (auto const self = weak.lock())
            {
                self->connections_.erase(raw);
            }
        });
}

void peer_network_state::disconnect(core::instance_id id)
{
    auto const found = peers_.find(id);
    if (found == peers_.end())
    {
        return;
    }
    auto& peer = *found->second;
    peer.address.reset();
    peer.reconnect_timer.cancel();
    auto connections = peer.established;
    if (peer.outgoing != nullptr &&
        std::ranges::find(connections, peer.outgoing) == connections.end())
    {
        connections.push_back(peer.outgoing);
    }
    for (auto* const connection : connections)
    {
        connection->end({core::error_code::connection_lost, "disconnect",
                         connection->address(),
                         "the peer is no longer listed"});
    }
}

std::size_t peer_network_state::connected_peers() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(peers_,
                              [](auto const& entry)
                              {
                                  return !entry.second->established.empty();
                              }));
}

void peer_network_state::post_event(core::event event)
{
    loop_.post(
        [weak = weak_from_this(), event = std::move(event)]() mutable
        {
            if (auto const self = weak.lock())
            {
                self->on_event_(std::move(event));
            }
        });
}

} // namespace detail

peer_network::peer_network(event_loop& loop, core::hello self,
                           peer_network_options options, event_sink on_event,
                           error_sink on_error)
    : state_(std::make_shared<detail::peer_network_state>(
          loop, std::move(self), options, std::move(on_event),
          std::move(on_error)))
{
}

peer_network::~peer_network() = default;

core::result<void> peer_network::listen(socket_address const& address)
{
    return state_->listen(address);
}

void peer_network::apply(core::connect_peer const& action)
{
    state_->connect(action);
}

void peer_network::apply(core::disconnect_peer const& action)
{
    state_->disconnect(action.peer);
}

void peer_network::apply(core::send_to_peer const& action)
{
    state_->send(action);
}

std::size_t peer_network::connected_peers() const
{
    return state_->connected_peers();
}

} // namespace goldcrestgate::io
