#include "support/free_address.hpp"

#include <cppunit/TestAssert.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace goldcrestgate::tests
{

io::socket_address free_address()
{
    int const temporary_socket = socket(AF_INET, SOCK_STREAM, 0);
    auto const any = io::socket_address::parse("127.0.0.1:0").value();
    CPPUNIT_ASSERT(bind(temporary_socket, any.data(), any.size()) == 0);
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    getsockname(temporary_socket, reinterpret_cast<sockaddr*>(&bound), &size);
    close(temporary_socket);
    return io::socket_address::parse("127.0.0.1:" +
                                     std::to_string(ntohs(bound.sin_port)))
        .value();
}

} // namespace goldcrestgate::tests
