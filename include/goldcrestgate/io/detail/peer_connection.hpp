#pragma once

#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/core/messages.hpp"
#include "goldcrestgate/io/address.hpp"
#include "goldcrestgate/io/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

struct st_h2o_socket_t;

namespace goldcrestgate::io::detail
{

class peer_connection;

/// @brief Receives the events of a @ref peer_connection.
///
/// The functions must not destroy the connection while they run.
class peer_connection_listener
{
public:
    virtual ~peer_connection_listener() = default;

    virtual void on_message(peer_connection& connection,
                            core::peer_message&& message) = 0;

    /// @brief Called once, when the connection has ended or could not be
    /// established.
    /// @param refused whether the address refused the connection
    virtual void on_end(peer_connection& connection, core::error const& cause,
                        bool refused) = 0;

    /// @brief Called after a read that leaves a large part of a frame.
    virtual void on_partial_frame() = 0;
};

/// @brief A TCP connection to another entry instance that carries frames.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class peer_connection
{
public:
    /// Maximum size of the first frame, which has an address and numbers.
    static constexpr std::size_t hello_limit_bytes = std::size_t{4} * 1024;

    /// @brief Takes ownership of an accepted socket.
    /// @pre @a loop and @a listener outlive the connection
    peer_connection(event_loop& loop, peer_connection_listener& listener,
                    st_h2o_socket_t* accepted);

    /// @brief Starts connecting.
    /// @pre @a loop and @a listener outlive the connection
    peer_connection(event_loop& loop, peer_connection_listener& listener,
                    socket_address const& address, core::duration timeout);

    /// @brief Closes the socket without notifying the listener.
    ~peer_connection();
    peer_connection(peer_connection const&) = delete;
    peer_connection& operator=(peer_connection const&) = delete;

    /// @brief Queues a frame; frames queued in the same iteration of the loop
    /// are written together.
    /// @return an error if the message is too large for a frame
    std::optional<core::error> send(core::peer_message const& message);

    /// @brief Returns the number of bytes that have not been written yet.
    [[nodiscard]] std::size_t unwritten_bytes() const
    {
        return queued_.size() + writing_.size();
    }

    /// @brief Returns the number of bytes of an incomplete frame; 0 once the
    /// connection has ended.
    [[nodiscard]] std::size_t unread_bytes() const;

    /// @brief Sets the size above which a received frame ends the connection.
    void set_frame_limit(std::size_t limit)
    {
        frame_limit_ = limit;
    }

    /// @brief Returns the address of the remote side.
    [[nodiscard]] std::string const& address() const
    {
        return address_;
    }

    /// @brief Ends the connection because of an error and notifies the
    /// listener.
    ///
    /// The socket is closed by the destructor.
    void end(core::error const& cause, bool refused = false);

    /// The remote instance; empty until its hello has been received.
    std::optional<core::instance_key> peer;
    /// Number among the identified connections; 0 before the hello.
    std::uint64_t number = 0;

private:
    static void on_connected(st_h2o_socket_t* socket, char const* failure);
    static void on_readable(st_h2o_socket_t* socket, char const* failure);
    static void on_written(st_h2o_socket_t* socket, char const* failure);

    void connect(socket_address const& address, core::duration timeout);
    void finish_connect(int failure);
    void finish_connect_later(int failure);
    void begin_reading();
    void read_frames();
    void schedule_flush();
    void flush();

    event_loop& loop_;
    peer_connection_listener& listener_;
    std::string address_;
    st_h2o_socket_t* socket_ = nullptr;
    bool connected_ = false;
    bool ended_ = false;
    bool flush_scheduled_ = false;
    std::size_t frame_limit_ = hello_limit_bytes;
    std::string queued_;
    std::string writing_;
    timer connect_timer_;
    /// False once the connection is destroyed; checked by posted functions.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace goldcrestgate::io::detail
