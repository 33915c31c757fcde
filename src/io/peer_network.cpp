#include "goldcrestgate/io/peer_network.hpp"

#include "goldcrestgate/io/detail/peer_connection.hpp"

#include <h2o.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrestgate::io
{

namespace detail
{

namespace
{

/// A connection whose other side does not say hello is closed after this time.
constexpr core::duration hello_timeout = std::chrono::seconds{2};

} // namespace

/// @brief What the network knows of another entry instance.
struct known_peer
{
    known_peer(event_loop& loop, std::function<void()> connect_again)
        : retry(loop, std::move(connect_again))
    {
    }

    /// Empty unless a `connect_peer` action is in force.
    std::optional<socket_address> address;
    /// The connection that this side makes; null during a pause.
    peer_connection* own = nullptr;
    /// The connections that stand, oldest first; the first one is used.
    std::vector<peer_connection*> standing;
    std::optional<core::instance_key> key;
    core::duration pause{};
    timer retry;
};

class peer_network_state final
    : public peer_connection_listener,
      public std::enable_shared_from_this<peer_network_state>
{
public:
    peer_network_state(event_loop& loop, core::hello self,
                       peer_network_options options,
                       peer_network::event_sink sink,
                       peer_network::fault_sink fault);
    ~peer_network_state() override;

    core::result<void> listen(socket_address const& address);
    void connect(core::connect_peer const& asked);
    void disconnect(core::instance_id id);
    void send(core::send_to_peer const& asked);
    [[nodiscard]] std::size_t connected_peers() const;

    void on_message(peer_connection& connection,
                    core::peer_message&& message) override;
    void on_end(peer_connection& connection, core::error const& cause,
                bool refused) override;

private:
    struct held_connection
    {
        std::unique_ptr<peer_connection> connection;
        /// The peer that this side connects to, for own connections.
        std::optional<core::instance_id> target;
        std::unique_ptr<timer> hello_limit;
    };

    static void on_listener(h2o_socket_t* listener, char const* failure);

    known_peer& peer_of(core::instance_id id);
    void begin_connect(core::instance_id id);
    void hold(std::unique_ptr<peer_connection> connection,
              std::optional<core::instance_id> target);
    void accept_hello(peer_connection& connection, core::hello const& message);
    void remove(peer_connection& connection);
    void forget_connection(known_peer& known, peer_connection& connection);
    void deliver(core::event input);

    event_loop& loop_;
    core::hello self_;
    peer_network_options options_;
    peer_network::event_sink sink_;
    peer_network::fault_sink fault_;
    h2o_socket_t* listener_ = nullptr;
    std::unordered_map<core::instance_id, std::unique_ptr<known_peer>> peers_;
    std::unordered_map<peer_connection*, held_connection> held_;
};

peer_network_state::peer_network_state(event_loop& loop, core::hello self,
                                       peer_network_options options,
                                       peer_network::event_sink sink,
                                       peer_network::fault_sink fault)
    : loop_(loop)
    , self_(std::move(self))
    , options_(options)
    , sink_(std::move(sink))
    , fault_(std::move(fault))
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
        network.hold(
            std::make_unique<peer_connection>(network.loop_, network, socket),
            std::nullopt);
    }
}

known_peer& peer_network_state::peer_of(core::instance_id id)
{
    auto& slot = peers_[id];
    if (slot == nullptr)
    {
        slot = std::make_unique<known_peer>(loop_,
                                            [this, id]
                                            {
                                                begin_connect(id);
                                            });
        slot->pause = options_.initial_reconnect_delay;
    }
    return *slot;
}

void peer_network_state::connect(core::connect_peer const& asked)
{
    auto const address = socket_address::parse(asked.peer_address);
    if (!address)
    {
        fault_({core::error_code::invalid_field, "connect to a peer",
                asked.peer_address, "not an address"});
        return;
    }
    auto& known = peer_of(asked.peer);
    bool const is_new =
        !known.address || known.address->text() != asked.peer_address;
    known.address = address.value();
    if (is_new && known.own == nullptr)
    {
        begin_connect(asked.peer);
    }
}

void peer_network_state::begin_connect(core::instance_id id)
{
    auto& known = peer_of(id);
    if (!known.address || known.own != nullptr)
    {
        return;
    }
    auto connection = std::make_unique<peer_connection>(
        loop_, *this, *known.address, options_.connect_timeout);
    known.own = connection.get();
    hold(std::move(connection), id);
}

void peer_network_state::hold(std::unique_ptr<peer_connection> connection,
                              std::optional<core::instance_id> target)
{
    auto* const raw = connection.get();
    raw->send(self_);
    auto limit = std::make_unique<timer>(
        loop_,
        [raw]
        {
            raw->end({core::error_code::io_timeout, "wait for a hello",
                      raw->address(), "none in time"});
        });
    limit->start_after(hello_timeout);
    held_.emplace(
        raw, held_connection{std::move(connection), target, std::move(limit)});
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
                        hello != nullptr ? "a second hello"
                                         : "another message came first"});
        return;
    }
    deliver(core::peer_received{*connection.peer, std::move(message)});
}

void peer_network_state::accept_hello(peer_connection& connection,
                                      core::hello const& message)
{
    auto& held = held_.at(&connection);
    auto const sender = message.sender;
    bool const is_expected = !held.target || *held.target == sender.instance;
    if (!is_expected || sender == self_.sender)
    {
        connection.end({core::error_code::malformed_frame, "expect a hello",
                        connection.address(), "another instance answered"});
        return;
    }
    held.hello_limit->cancel();
    connection.peer = sender;
    auto& known = peer_of(sender.instance);
    known.pause = options_.initial_reconnect_delay;
    if (known.key && *known.key != sender)
    {
        // The process at this address is another one now; what is left of the
        // connections to the older one must not be used.
        for (auto* const older : std::exchange(known.standing, {}))
        {
            older->end({core::error_code::connection_lost, "expect a hello",
                        older->address(), "a newer incarnation came"});
        }
    }
    bool const is_first = known.standing.empty();
    known.key = sender;
    known.standing.push_back(&connection);
    if (is_first)
    {
        deliver(core::peer_connected{sender});
    }
}

void peer_network_state::send(core::send_to_peer const& asked)
{
    auto const found = peers_.find(asked.peer);
    if (found == peers_.end() || found->second->standing.empty())
    {
        return;
    }
    auto& connection = *found->second->standing.front();
    if (auto failure = connection.send(asked.message))
    {
        failure->peer = connection.address();
        fault_(*failure);
    }
    else if (connection.unwritten_bytes() > options_.write_limit_bytes)
    {
        connection.end({core::error_code::connection_lost, "write a frame",
                        connection.address(),
                        "the peer does not read what it is sent"});
    }
}

// --- end of connections ---

void peer_network_state::on_end(peer_connection& connection,
                                core::error const& cause, bool refused)
{
    auto& held = held_.at(&connection);
    held.hello_limit->cancel();
    bool const is_plain_end = cause.code == core::error_code::connection_lost ||
                              cause.code == core::error_code::peer_unreachable;
    if (!is_plain_end || connection.peer)
    {
        fault_(cause);
    }
    auto const id = connection.peer ? std::optional{connection.peer->instance}
                                    : held.target;
    if (id)
    {
        auto& known = peer_of(*id);
        forget_connection(known, connection);
        if (known.standing.empty())
        {
            deliver(core::peer_lost{*id, refused});
        }
    }
    remove(connection);
}

void peer_network_state::forget_connection(known_peer& known,
                                           peer_connection& connection)
{
    std::erase(known.standing, &connection);
    if (known.own != &connection)
    {
        return;
    }
    known.own = nullptr;
    if (known.address)
    {
        known.retry.start_after(known.pause);
        known.pause = std::min(known.pause * 2, options_.max_reconnect_delay);
    }
}

// The connection may be in one of its own functions, so it is destroyed later.
void peer_network_state::remove(peer_connection& connection)
{
    loop_.post(
        [weak = weak_from_this(), raw = &connection]
        {
            if (auto const self = weak.lock())
            {
                self->held_.erase(raw);
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
    auto& known = *found->second;
    known.address.reset();
    known.retry.cancel();
    auto open = known.standing;
    if (known.own != nullptr &&
        std::ranges::find(open, known.own) == open.end())
    {
        open.push_back(known.own);
    }
    for (auto* const connection : open)
    {
        connection->end({core::error_code::connection_lost, "disconnect",
                         connection->address(), "no longer listed"});
    }
}

std::size_t peer_network_state::connected_peers() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(peers_,
                              [](auto const& entry)
                              {
                                  return !entry.second->standing.empty();
                              }));
}

void peer_network_state::deliver(core::event input)
{
    loop_.post(
        [weak = weak_from_this(), input = std::move(input)]() mutable
        {
            if (auto const self = weak.lock())
            {
                self->sink_(std::move(input));
            }
        });
}

} // namespace detail

peer_network::peer_network(event_loop& loop, core::hello self,
                           peer_network_options options, event_sink sink,
                           fault_sink fault)
    : state_(std::make_shared<detail::peer_network_state>(
          loop, std::move(self), options, std::move(sink), std::move(fault)))
{
}

peer_network::~peer_network() = default;

core::result<void> peer_network::listen(socket_address const& address)
{
    return state_->listen(address);
}

void peer_network::apply(core::connect_peer const& asked)
{
    state_->connect(asked);
}

void peer_network::apply(core::disconnect_peer const& asked)
{
    state_->disconnect(asked.peer);
}

void peer_network::apply(core::send_to_peer const& asked)
{
    state_->send(asked);
}

std::size_t peer_network::connected_peers() const
{
    return state_->connected_peers();
}

} // namespace goldcrestgate::io
