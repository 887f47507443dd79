#pragma once

#include "address_book.hpp"
#include "state/clock.hpp"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelorouter::scenario
{

/// Requests of simulated callers: completions, or orders with idempotency keys.
struct workload_options
{
    std::string name;
    bool orders = false;
    std::int64_t count = 0;
    /// Requests per second; 0 sends all at once.
    std::int64_t rate = 0;
    std::string model;
    std::string service;
    std::int64_t tokens = 16;
    bool streamed = false;
    /// Address of the node to use; if empty, callers query the nodes for addresses.
    std::string address;
    std::int64_t deadline_ms = 0;
    state::milliseconds timeout{15000};
    /// Number of times that a caller repeats a request that was refused or lost. Use it
    /// for requests that are refused as not run or have a key.
    std::int64_t retries = 0;
    /// Callers that send each key at the same time.
    std::int64_t copies = 1;
    std::uint64_t seed = 1;
};

/// Result of one request as its caller sees it.
enum class request_outcome
{
    answered,
    refused,
    /// No response, or an incomplete one.
    lost,
    /// A response that does not belong to this request.
    wrong,
};

struct request_result
{
    request_outcome outcome = request_outcome::lost;
    std::string key;
    /// For a refusal: `not_run`, `run` or `unknown`; empty if the body does not say.
    std::string run;
    bool has_retry_after = false;
    state::milliseconds duration{0};
    std::string detail;
};

/// Sends requests from the event loop and records the result of each.
class workload
{
public:
    workload(boost::asio::io_context& loop, transport::http_client& client,
             address_book& node_addresses, const workload_options& options);

    /// Must be called on the event loop's thread.
    void start();
    bool is_done() const { return this->finished == this->expected_results; }
    /// Number of requests that callers sent, including retries.
    std::int64_t sent() const { return this->attempts; }
    const workload_options& settings() const { return this->options; }
    /// Must be read only after `is_done` returned true.
    const std::vector<request_result>& results() const { return this->completed; }
    std::int64_t count(request_outcome outcome) const;

private:
    boost::asio::awaitable<void> send_at_rate();
    boost::asio::awaitable<void> run_one(std::int64_t number);
    boost::asio::awaitable<request_result> attempt(std::int64_t number);
    boost::asio::awaitable<request_result>
    call(std::string address, transport::http_request request, std::string expected);
    boost::asio::awaitable<std::string> choose_address();
    transport::http_request make_request(std::int64_t number) const;
    std::string prompt(std::int64_t number) const;
    std::string key(std::int64_t number) const;

    boost::asio::io_context& loop;
    transport::http_client& http;
    address_book& addresses;
    workload_options options;
    std::int64_t expected_results;
    std::atomic<std::int64_t> finished{0};
    std::atomic<std::int64_t> attempts{0};
    std::vector<request_result> completed;
};

} // namespace pomelorouter::scenario
