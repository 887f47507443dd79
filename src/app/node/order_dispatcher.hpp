#pragma once

#include "app/node/control_loop.hpp"
#include "coordination/placement_agent.hpp"
#include "protocol/engine_api.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace pomelorouter::app
{

/// Receives the result of sending an order. Called on the control thread.
using order_callback = std::function<void(coordination::send_outcome)>;

/// Interface for sending orders to engines.
class order_port
{
public:
    virtual ~order_port() = default;

    virtual void send(std::string address, const protocol::engine_order& order,
                      order_callback done) = 0;
};

/// Sends orders to engines over HTTP, on the fleet thread.
class order_dispatcher : public order_port
{
public:
    order_dispatcher(boost::asio::io_context& loop, control_mailbox& control,
                     state::counter_registry& counters);
    ~order_dispatcher() override;
    order_dispatcher(const order_dispatcher&) = delete;
    order_dispatcher& operator=(const order_dispatcher&) = delete;

    void send(std::string address, const protocol::engine_order& order,
              order_callback done) override;

private:
    boost::asio::awaitable<void> send_one(std::string address, std::string body,
                                          order_callback done);

    boost::asio::io_context& loop;
    control_mailbox& control;
    transport::http_client client;
    state::counter& orders;
    state::counter& stale;
    state::counter& failures;
};

} // namespace pomelorouter::app
