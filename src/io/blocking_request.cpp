#include "goldcrestgate/io/blocking_request.hpp"

#include "goldcrestgate/core/result.hpp"

#include <optional>
#include <utility>

namespace goldcrestgate::io
{

core::result<http_result> blocking_request(socket_address const& address,
                                           http_call call)
{
    // h2o cannot free a loop, so each thread keeps one for all of its requests.
    thread_local event_loop loop;
    http_client client{loop, address};
    std::optional<http_result> final_result;
    client.start(std::move(call),
                 [&final_result](http_result result)
                 {
                     final_result = std::move(result);
                 });
    while (!final_result)
    {
        loop.run_once(std::chrono::seconds{1});
    }
    if (final_result->failure)
    {
        return core::fail(*final_result->failure);
    }
    return std::move(*final_result);
}

} // namespace goldcrestgate::io
