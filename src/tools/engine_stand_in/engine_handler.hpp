#pragma once

#include "engine_memory.hpp"
#include "prefix_cache.hpp"
#include "slot_queue.hpp"
#include "tools/stand_in_handler.hpp"
#include "tools/work_after_leaving.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelorouter::tools
{

/// Configuration of the simulated engine.
struct engine_options
{
    std::string id;
    std::uint64_t incarnation = 1;
    bool checks_fence = false;
    std::string role;
    state::microseconds token_time{1000};
    /// Processing time of one prompt block that is not in the prefix cache.
    state::microseconds block_time{200};
    std::int64_t slots = 16;
    std::size_t max_queue = 64;
    std::int64_t capacity_bytes = 0;
    /// Bytes of KV cache that a running request holds.
    std::int64_t cache_bytes = 0;
    std::size_t prefix_blocks = 1024;
    /// Age of the load report.
    state::milliseconds report_lag{0};
    /// Delay until a cache event is visible.
    state::milliseconds event_lag{0};
    /// Every n-th cache event is lost; 0 loses none.
    std::int64_t event_gap = 0;
    state::milliseconds load_time{200};
    state::milliseconds unload_time{20};
    /// Address of the weight store; if empty, a load takes `load_time`.
    std::string platform;
    /// Models (`model`) and adapters (`model:adapter`) that are resident from the start.
    /// Each occupies 1 GiB unless `@bytes` follows.
    std::vector<std::string> resident;
};

/// HTTP interface of the engine stand-in.
class engine_handler : public stand_in_handler
{
public:
    engine_handler(boost::asio::io_context& loop, const engine_options& options);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;
    void add_stats(boost::json::object& stats) const override;
    const slot_queue& load() const { return this->slots; }
    const std::vector<state::engine_inventory::order_status>& orders() const
    {
        return this->memory.inventory().orders;
    }

private:
    boost::asio::awaitable<void> complete(transport::http_exchange& exchange);
    /// Waits for a slot; returns false if the request was cancelled or its caller
    /// disconnected.
    boost::asio::awaitable<bool> wait_for_slot(transport::http_exchange& exchange,
                                               engine_request& request);
    boost::asio::awaitable<void> generate(transport::http_exchange& exchange,
                                          engine_request& request,
                                          const protocol::engine_completion& body);
    boost::asio::awaitable<bool> process_prompt(transport::http_exchange& exchange,
                                                engine_request& request);
    boost::asio::awaitable<bool> pause(transport::http_exchange& exchange,
                                       engine_request& request,
                                       state::microseconds duration);
    boost::asio::awaitable<void> accept_order(transport::http_exchange& exchange);
    boost::asio::awaitable<void> execute_order(protocol::engine_order order);
    boost::asio::awaitable<bool> fetch_weights(const protocol::engine_order& order);
    boost::asio::awaitable<void> cancel(transport::http_exchange& exchange,
                                        std::string id);
    boost::asio::awaitable<void> transfer_cache(transport::http_exchange& exchange,
                                                bool import);
    boost::asio::awaitable<void> refuse(transport::http_exchange& exchange,
                                        transport::status code, std::string type);
    /// Returns the load as it was `report_lag` ago.
    state::load_report delayed_load_report();
    /// Returns the error type of the refusal, or an empty string if the engine accepts
    /// the completion.
    std::string refusal_reason(const protocol::engine_completion& body);
    void finish_request(engine_request& request);

    boost::asio::io_context& loop;
    engine_options options;
    engine_memory memory;
    slot_queue slots;
    prefix_cache prefixes;
    transport::http_client client;
    std::map<std::string, engine_request*> requests;

    struct load_sample
    {
        state::time_point at;
        std::int64_t running;
        std::int64_t queued;
        std::int64_t tokens;
    };
    std::deque<load_sample> samples;

    work_after_leaving arrivals_after_leaving;
    std::int64_t completions_received = 0;
    std::int64_t tokens_generated = 0;
    std::int64_t cancelled = 0;
    std::map<std::string, std::int64_t> refusals;
};

} // namespace pomelorouter::tools
