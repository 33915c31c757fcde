#include "goldcrestgate/app/cli/system_context.hpp"

#include "goldcrestgate/io/blocking_request.hpp"

#include <array>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <thread>
#include <utility>

#include <unistd.h>

namespace goldcrestgate::app::cli
{

namespace
{

core::time_point now()
{
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return core::time_point{std::chrono::duration_cast<core::duration>(since)};
}

core::result<std::string> read_file(std::string const& name)
{
    if (name == "-")
    {
        return std::string{std::istreambuf_iterator<char>(std::cin), {}};
    }
    std::ifstream input(name, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(input), {}};
    if (!input)
    {
        return core::fail({core::error_code::file_unreadable, "read the file",
                           name, "it does not exist or cannot be read"});
    }
    return text;
}

// Uses 128 random bits, so that publication ids do not collide.
std::string make_publication_id()
{
    constexpr std::array digits = {'0', '1', '2', '3', '4', '5', '6', '7',
                                   '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'};
    constexpr int length = 32;
    std::random_device random;
    std::string id = "p-";
    for (int i = 0; i < length; ++i)
    {
        id += digits.at(random() % digits.size());
    }
    return id;
}

core::result<operator_response> send(std::string const& address,
                                     operator_request const& request)
{
    BOOST_LEAF_AUTO(target, io::socket_address::parse(address));
    io::http_call call;
    call.method = request.method;
    call.path = request.path;
    call.body = request.body;
    call.timeout = request.timeout;
    if (!request.body.empty())
    {
        call.headers.emplace_back("content-type", "application/json");
    }
    BOOST_LEAF_AUTO(result, io::blocking_request(target, std::move(call)));
    return operator_response{result.status, std::move(result.body)};
}

std::string read_variable(char const* name)
{
    char const* const value = std::getenv(name);
    return value == nullptr ? std::string{} : std::string{value};
}

} // namespace

cli_environment read_environment()
{
    auto const user = read_variable("USER");
    return {read_variable("GOLDCRESTGATE_ADDRESS"),
            user.empty() ? "operator" : user};
}

runner_context make_system_context(std::string address)
{
    return runner_context{
        [address = std::move(address)](operator_request const& request)
        {
            return send(address, request);
        },
        read_file,
        [](core::duration time)
        {
            std::this_thread::sleep_for(time);
        },
        now,
        make_publication_id,
        std::cout,
        std::cerr,
        ::isatty(STDERR_FILENO) == 1};
}

} // namespace goldcrestgate::app::cli
