#include "app/node/engine_poller.hpp"

#include "protocol/engine_api.hpp"
#include "state/error.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace pomelorouter::app
{

namespace asio = boost::asio;

namespace
{

constexpr state::milliseconds query_timeout{1000};
/// Maximum size of an engine's inventory and of its load report.
constexpr std::size_t max_report_bytes = 1024 * 1024;

// Events are not created inside the coroutine because of the GCC 12 bug described in
// platform_client.cpp.
control_event reported_event(const std::string& id, const std::string& inventory,
                             const std::string& load, state::time_point requested)
{
    return engine_reported{id, protocol::parse_inventory(inventory),
                           protocol::parse_load_report(load), requested};
}

control_event unreachable_event(const std::string& id)
{
    return engine_unreachable{id};
}

} // namespace

engine_poller::engine_poller(asio::io_context& fleet_loop,
                             control_mailbox& control_events,
                             state::counter_registry& counters)
    : loop(fleet_loop),
      control(control_events),
      client(fleet_loop.get_executor()),
      failures(counters.count("engine_poll_failures_total",
                              "inventory or load queries that an engine did not answer"))
{
}

engine_poller::~engine_poller() = default;

void engine_poller::set_engines(std::vector<state::instance> engines,
                                state::milliseconds poll_period)
{
    asio::post(this->loop,
               [this, engines = std::move(engines), poll_period]
               {
                   this->period = poll_period;
                   std::map<std::string, std::string> next;
                   for (const state::instance& engine : engines)
                       next.emplace(engine.id, engine.address);
                   std::swap(next, this->addresses);
                   for (const auto& [id, address] : this->addresses)
                   {
                       if (!next.contains(id))
                           asio::co_spawn(this->loop, this->poll_engine(id),
                                          asio::detached);
                   }
               });
}

asio::awaitable<void> engine_poller::poll_engine(std::string id)
{
    asio::steady_timer timer(this->loop);
    for (;;)
    {
        const auto found = this->addresses.find(id);
        if (found == this->addresses.end())
            co_return;
        co_await this->poll_once(id, std::string(found->second));
        timer.expires_after(this->period);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> engine_poller::poll_once(const std::string& id,
                                               const std::string& address)
{
    transport::http_call_options options;
    options.connect_timeout = query_timeout;
    options.progress_timeout = query_timeout;
    options.max_body_bytes = max_report_bytes;
    control_event event = unreachable_event(id);
    const state::time_point requested = std::chrono::steady_clock::now();
    try
    {
        const auto inventory = co_await this->client.fetch(
            address, transport::make_request(transport::verb::get, "/inventory"),
            options);
        const auto load = co_await this->client.fetch(
            address, transport::make_request(transport::verb::get, "/load"), options);
        event = reported_event(id, inventory.body(), load.body(), requested);
    }
    catch (const state::error&)
    {
        this->client.close_idle_connections(address);
        this->failures.add();
    }
    // If the mailbox is full it counts and drops the report; the next poll sends a new
    // one.
    this->control.try_push(std::move(event));
}

} // namespace pomelorouter::app
