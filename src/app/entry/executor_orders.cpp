#include "goldcrestgate/app/entry/executor_orders.hpp"

#include "goldcrestgate/io/http_client.hpp"
#include "platform/executor_codec.hpp"

#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// One connection carries the poll that waits for runs to end; the others carry
/// starts and stops.
constexpr std::size_t max_connections_per_executor = 8;

/// An executor in the same failure domain accepts a connection within 1 ms; a
/// lost SYN packet would be retransmitted only after 1 s.
constexpr core::duration connect_timeout = std::chrono::milliseconds{120};

/// Shorter than the 4 s after which executors close idle connections.
constexpr core::duration idle_timeout = std::chrono::milliseconds{3500};

} // namespace

struct executor_orders::endpoint
{
    std::string name;
    std::string address;
    std::unique_ptr<io::http_client> client;
};

executor_orders::executor_orders(io::event_loop& loop,
                                 std::size_t response_limit_bytes,
                                 order_callbacks callbacks)
    : loop_(loop)
    , response_limit_bytes_(response_limit_bytes)
    , callbacks_(std::move(callbacks))
{
}

executor_orders::~executor_orders() = default;

void executor_orders::set_endpoint(
    core::executor_id executor, core::executor_description const& description)
{
    auto& current = endpoints_[executor];
    if (current != nullptr && current->address == description.address)
    {
        return;
    }
    auto const address = io::socket_address::parse(description.address);
    auto replacement = std::make_shared<endpoint>();
    replacement->name = description.name;
    replacement->address = description.address;
    if (address)
    {
        replacement->client = std::make_unique<io::http_client>(
            loop_, address.value(),
            io::http_client_options{.max_connections =
                                        max_connections_per_executor,
                                    .connect_timeout = connect_timeout,
                                    .idle_timeout = idle_timeout,
                                    .max_body_bytes = response_limit_bytes_});
    }
    current = std::move(replacement);
}

void executor_orders::remove_endpoint(core::executor_id executor)
{
    endpoints_.erase(executor);
}

std::string_view executor_orders::name(core::executor_id executor) const
{
    auto const found = endpoints_.find(executor);
    return found == endpoints_.end() ? std::string_view{} : found->second->name;
}

template <typename Order, typename Callback>
void executor_orders::send_order(Order const& order, Callback const& callback)
{
    auto const found = endpoints_.find(order.executor);
    if (found == endpoints_.end() || found->second->client == nullptr)
    {
        loop_.post(
            [order, &callback]
            {
                io::http_result unsent;
                unsent.outcome = io::call_outcome::not_sent;
                callback(adapter::decode_answer(order, unsent));
            });
        return;
    }
    auto& destination = *found->second;
    Order context = order;
    if constexpr (requires { context.payload; })
    {
        context.payload.clear();
    }
    destination.client->start(
        adapter::encode_order(order, destination.name),
        [context = std::move(context), &callback](io::http_result const& result)
        {
            callback(adapter::decode_answer(context, result));
        });
}

void executor_orders::send(core::start_run const& order)
{
    send_order(order, callbacks_.on_start_answered);
}

void executor_orders::send(core::stop_run const& order)
{
    send_order(order, callbacks_.on_stop_answered);
}

void executor_orders::send(core::poll_executor const& order)
{
    send_order(order, callbacks_.on_poll_answered);
}

} // namespace goldcrestgate::app
