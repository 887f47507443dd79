#include "app/node/order_dispatcher.hpp"

#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::send_outcome;

namespace
{

constexpr state::milliseconds order_timeout{1000};
constexpr state::milliseconds mailbox_full_delay{5};
constexpr const char* stale_fence = "stale_fence";

// Events are not created inside the coroutine because of the GCC 12 bug described in
// platform_client.cpp.
control_event ended_event(order_callback done, send_outcome end)
{
    return control_task{[done = std::move(done), end] { done(end); }};
}

} // namespace

order_dispatcher::order_dispatcher(asio::io_context& fleet_loop,
                                   control_mailbox& control_events,
                                   state::counter_registry& counters)
    : loop(fleet_loop),
      control(control_events),
      client(fleet_loop.get_executor()),
      orders(counters.count("engine_orders_total", "attempts to send an order")),
      stale(counters.count("engine_orders_stale_total",
                           "orders refused because of an old fencing token")),
      failures(counters.count("engine_order_failures_total",
                              "attempts to send an order without a usable answer"))
{
}

order_dispatcher::~order_dispatcher() = default;

void order_dispatcher::send(std::string address, const protocol::engine_order& order,
                            order_callback done)
{
    asio::co_spawn(this->loop,
                   this->send_one(std::move(address),
                                  protocol::format_engine_order(order), std::move(done)),
                   asio::detached);
}

asio::awaitable<void> order_dispatcher::send_one(std::string address, std::string body,
                                                 order_callback done)
{
    transport::http_call_options options;
    options.connect_timeout = order_timeout;
    options.progress_timeout = order_timeout;
    this->orders.add();
    send_outcome end = send_outcome::unknown;
    try
    {
        const auto response = co_await this->client.fetch(
            address,
            transport::make_request(transport::verb::post, "/orders", std::move(body)),
            options);
        if (response.result() == transport::status::accepted)
            end = send_outcome::accepted;
        else if (protocol::parse_backend_error(response.body()) == stale_fence)
            end = send_outcome::stale_fence;
    }
    catch (const state::error&)
    {
        this->client.close_idle_connections(address);
    }
    if (end == send_outcome::unknown)
        this->failures.add();
    if (end == send_outcome::stale_fence)
        this->stale.add();
    control_event event = ended_event(std::move(done), end);
    asio::steady_timer timer(this->loop);
    // A push that fails because the mailbox is full does not move from the event.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    while (!this->control.try_push(std::move(event)))
    {
        timer.expires_after(mailbox_full_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace pomelorouter::app
