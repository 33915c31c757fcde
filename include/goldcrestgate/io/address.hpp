#pragma once

#include "goldcrestgate/core/result.hpp"

#include <netinet/in.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace goldcrestgate::io
{

/// @brief An IPv4 or IPv6 address with a port; host names are not resolved.
class socket_address
{
public:
    /// @brief Parses `127.0.0.1:9000` or `[::1]:9000`.
    /// @return the address, or an error of code `invalid_field`
    /// @par Thread safety
    /// Safe to call from any thread.
    [[nodiscard]] static core::result<socket_address>
    parse(std::string_view text);

    /// @brief Returns the address in the form that system calls take.
    [[nodiscard]] sockaddr const* data() const
    {
        return reinterpret_cast<sockaddr const*>(&storage_);
    }

    /// @brief Returns the length of @ref data in bytes.
    [[nodiscard]] socklen_t size() const
    {
        return size_;
    }

    /// @brief Returns the port; 0 lets the kernel choose the port of a
    /// listener.
    [[nodiscard]] std::uint16_t port() const;

    /// @brief Returns the address as the text passed to @ref parse.
    [[nodiscard]] std::string const& text() const
    {
        return text_;
    }

private:
    sockaddr_storage storage_{};
    socklen_t size_ = 0;
    std::string text_;
};

/// @brief Opens a non-blocking listening socket.
/// @return the descriptor, which the caller owns; or an error of code
/// `address_in_use`
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] core::result<int> open_listener(socket_address const& address);

} // namespace goldcrestgate::io
