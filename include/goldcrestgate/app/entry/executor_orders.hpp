#pragma once

#include "goldcrestgate/core/leasing/orders.hpp"
#include "goldcrestgate/io/event_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace goldcrestgate::app
{

/// @brief Receives the answers to orders, never during a call that sends one.
struct order_sinks
{
    std::function<void(core::order_answer const&)> started;
    std::function<void(core::order_answer const&)> stopped;
    std::function<void(core::poll_answer const&)> held;
};

/// @brief Sends orders to executors over kept-alive connections.
///
/// @par Thread safety
/// All members are for the thread of the loop.
class executor_orders
{
public:
    /// @pre @a loop outlives the object
    executor_orders(io::event_loop& loop, order_sinks sinks);
    ~executor_orders();

    /// @brief Sets where orders for an executor go.
    void set(core::executor_id executor,
             core::executor_description const& description);

    /// @brief Ends the open calls to an executor without answers.
    void remove(core::executor_id executor);

    void send(core::start_run const& order);
    void send(core::stop_run const& order);
    void send(core::poll_executor const& order);

    /// @brief Returns the name of an executor, for logs.
    [[nodiscard]] std::string_view name(core::executor_id executor) const;

private:
    struct target;

    template <typename Order, typename Sink>
    void call(Order const& order, Sink const& sink);

    io::event_loop& loop_;
    order_sinks sinks_;
    std::unordered_map<core::executor_id, std::shared_ptr<target>> targets_;
};

} // namespace goldcrestgate::app
