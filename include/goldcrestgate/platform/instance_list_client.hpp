#pragma once

#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/core/events.hpp"
#include "goldcrestgate/io/http_client.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace goldcrestgate::platform
{

/// The result of a read of the instance list.
using instance_list_result = std::variant<core::instance_list, core::error>;

/// @brief Parses the body of `GET /instances`.
/// @return the list, or an error of code `malformed_response`; never a partial
/// list
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] instance_list_result parse_instance_list(std::string_view body);

/// @brief A client of the platform's instance list.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class instance_list_client
{
public:
    /// @param domain the failure domain whose backend servers are listed; entry
    /// instances are listed from all failure domains
    /// @pre @a loop outlives the client
    instance_list_client(io::event_loop& loop,
                         io::socket_address const& address,
                         core::domain_id domain, core::duration timeout);

    /// @brief Reads the list.
    ///
    /// The request carries the entity tag of the last list (`If-None-Match`).
    /// If the list is unchanged, the platform does not send it again and
    /// @a done receives the last one. With thousands of servers, a full list in
    /// each read would exceed the limit on control traffic.
    /// @param done called once, never before this function returns
    /// @pre the client outlives the call of @a done
    void read(std::function<void(instance_list_result)> done);

private:
    [[nodiscard]] instance_list_result
    handle_result(io::http_result const& result);

    io::http_client client_;
    std::string path_;
    core::duration timeout_;
    /// The entity tag of the last list; empty if the platform sent none.
    std::string etag_;
    core::instance_list last_list_;
};

} // namespace goldcrestgate::platform
