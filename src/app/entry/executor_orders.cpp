#include "goldcrestgate/app/entry/executor_orders.hpp"

#include "goldcrestgate/io/http_client.hpp"
#include "platform/executor_codec.hpp"

#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// One connection waits for ends; the others carry starts and stops.
constexpr std::size_t executor_connections = 8;

/// An executor in the same failure domain accepts a connection within a
/// millisecond; a lost first packet is sent again after a second.
constexpr core::duration connect_timeout = std::chrono::milliseconds{120};

/// Executors close idle connections after 4 s.
constexpr core::duration idle_timeout = std::chrono::milliseconds{3500};

} // namespace

struct executor_orders::target
{
    std::string name;
    std::string address;
    std::unique_ptr<io::http_client> client;
};

executor_orders::executor_orders(io::event_loop& loop, order_sinks sinks)
    : loop_(loop)
    , sinks_(std::move(sinks))
{
}

executor_orders::~executor_orders() = default;

void executor_orders::set(core::executor_id executor,
                          core::executor_description const& description)
{
    auto& slot = targets_[executor];
    if (slot != nullptr && slot->address == description.address)
    {
        return;
    }
    auto const address = io::socket_address::parse(description.address);
    auto fresh = std::make_shared<target>();
    fresh->name = description.name;
    fresh->address = description.address;
    if (address)
    {
        fresh->client = std::make_unique<io::http_client>(
            loop_, address.value(),
            io::http_client_options{.max_connections = executor_connections,
                                    .connect_timeout = connect_timeout,
                                    .idle_timeout = idle_timeout});
    }
    slot = std::move(fresh);
}

void executor_orders::remove(core::executor_id executor)
{
    targets_.erase(executor);
}

std::string_view executor_orders::name(core::executor_id executor) const
{
    auto const found = targets_.find(executor);
    return found == targets_.end() ? std::string_view{} : found->second->name;
}

template <typename Order, typename Sink>
void executor_orders::call(Order const& order, Sink const& sink)
{
    auto const found = targets_.find(order.executor);
    if (found == targets_.end() || found->second->client == nullptr)
    {
        loop_.post(
            [order, &sink]
            {
                io::http_result unsent;
                unsent.outcome = io::call_outcome::not_sent;
                sink(adapter::decode_answer(order, unsent));
            });
        return;
    }
    auto& receiver = *found->second;
    Order context = order;
    if constexpr (requires { context.payload; })
    {
        context.payload.clear();
    }
    receiver.client->start(
        adapter::encode_order(order, receiver.name),
        [context = std::move(context), &sink](io::http_result const& result)
        {
            sink(adapter::decode_answer(context, result));
        });
}

void executor_orders::send(core::start_run const& order)
{
    call(order, sinks_.started);
}

void executor_orders::send(core::stop_run const& order)
{
    call(order, sinks_.stopped);
}

void executor_orders::send(core::poll_executor const& order)
{
    call(order, sinks_.held);
}

} // namespace goldcrestgate::app
