#pragma once

#include "goldcrestgate/core/leasing/orders.hpp"
#include "goldcrestgate/io/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace goldcrestgate::app
{

/// @brief Callbacks for the answers to orders; they are never called from
/// within a member that sends an order.
struct order_callbacks
{
    std::function<void(core::order_answer const&)> on_start_answered;
    std::function<void(core::order_answer const&)> on_stop_answered;
    std::function<void(core::poll_answer const&)> on_poll_answered;
};

/// @brief Sends orders to executors over persistent connections.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class executor_orders
{
public:
    /// @pre @a loop outlives the object
    /// @param response_limit_bytes size above which an answer counts as lost
    executor_orders(io::event_loop& loop, std::size_t response_limit_bytes,
                    order_callbacks callbacks);
    ~executor_orders();

    /// @brief Sets the name of an executor and the address of its orders.
    void set_endpoint(core::executor_id executor,
                      core::executor_description const& description);

    /// @brief Removes an executor; its orders in flight get no answer.
    void remove_endpoint(core::executor_id executor);

    void send(core::start_run const& order);
    void send(core::stop_run const& order);
    void send(core::poll_executor const& order);

    /// @brief Returns the name of an executor, for logs.
    [[nodiscard]] std::string_view name(core::executor_id executor) const;

private:
    struct endpoint;

    template <typename Order, typename Callback>
    void send_order(Order const& order, Callback const& callback);

    io::event_loop& loop_;
    std::size_t response_limit_bytes_;
    order_callbacks callbacks_;
    std::unordered_map<core::executor_id, std::shared_ptr<endpoint>> endpoints_;
};

} // namespace goldcrestgate::app
