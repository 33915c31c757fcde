#pragma once

#include "goldcrestgate/io/http_server.hpp"

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

// Shared parts of the stub programs.
namespace goldcrestgate::test
{

/// @brief Makes a response with a JSON body.
inline io::http_response json_response(std::uint16_t status,
                                       nlohmann::json const& body)
{
    return {status, body.dump(), "application/json", {}};
}

/// @brief Parses a JSON object; anything else gives an empty object.
inline nlohmann::json parse_object(std::string_view text)
{
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed : nlohmann::json::object();
}

/// @brief Listens on an address; prints a message and exits if that fails.
/// @return the address with the port that the server listens on
inline std::string listen_or_exit(io::http_server& server,
                                  std::string const& address)
{
    auto const parsed = io::socket_address::parse(address);
    if (!parsed || !server.listen(parsed.value()))
    {
        std::cerr << "cannot listen on " << address << '\n';
        std::exit(1);
    }
    auto const host = address.substr(0, address.rfind(':'));
    return host + ":" + std::to_string(server.port());
}

/// @brief Prints the addresses that the process listens on as a JSON line.
inline void print_listening(std::vector<std::string> const& addresses)
{
    std::cout << nlohmann::json{{"listening", addresses}}.dump() << std::endl;
}

} // namespace goldcrestgate::test
