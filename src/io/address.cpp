#include "goldcrestgate/io/address.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>

namespace goldcrestgate::io
{

namespace
{

core::result<std::uint16_t> parse_port(std::string_view text,
                                       std::string_view address_text)
{
    std::uint16_t port = 0;
    auto const [end, failure] =
        std::from_chars(text.data(), text.data() + text.size(), port);
    if (failure != std::errc{} || end != text.data() + text.size())
    {
        return core::fail({core::error_code::invalid_field, "parse an address",
                           std::string{address_text},
                           "the port is not a number from 0 to 65535"});
    }
    return port;
}

} // namespace

core::result<socket_address> socket_address::parse(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return core::fail({core::error_code::invalid_field, "parse an address",
                           std::string{text}, "expected IP:port"});
    }
    BOOST_LEAF_AUTO(port, parse_port(text.substr(colon + 1), text));
    std::string host{text.substr(0, colon)};
    // inet_pton() reads up to the first zero byte only.
    if (host.find('\0') != std::string::npos)
    {
        return core::fail({core::error_code::invalid_field, "parse an address",
                           std::string{text}, "the host has a zero byte"});
    }
    socket_address parsed;
    parsed.text_ = text;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
        sockaddr_in6 address{};
        address.sin6_family = AF_INET6;
        address.sin6_port = htons(port);
        if (inet_pton(AF_INET6, host.c_str(), &address.sin6_addr) == 1)
        {
            std::memcpy(&parsed.storage_, &address, sizeof address);
            parsed.size_ = sizeof address;
            return parsed;
        }
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) == 1)
    {
        std::memcpy(&parsed.storage_, &address, sizeof address);
        parsed.size_ = sizeof address;
        return parsed;
    }
    return core::fail({core::error_code::invalid_field, "parse an address",
                       std::string{text}, "the host is not an IP address"});
}

std::uint16_t socket_address::port() const
{
    return ntohs(data()->sa_family == AF_INET6
                     ? reinterpret_cast<sockaddr_in6 const*>(data())->sin6_port
                     : reinterpret_cast<sockaddr_in const*>(data())->sin_port);
}

core::result<int> open_listener(socket_address const& address)
{
    int const descriptor =
        socket(address.data()->sa_family,
               SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const reuse_address = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse_address,
               sizeof reuse_address);
    if (bind(descriptor, address.data(), address.size()) == 0 &&
        listen(descriptor, SOMAXCONN) == 0)
    {
        return descriptor;
    }
    std::string const reason = std::strerror(errno);
    close(descriptor);
    return core::fail(
        {core::error_code::address_in_use, "listen", address.text(), reason});
}

} // namespace goldcrestgate::io
