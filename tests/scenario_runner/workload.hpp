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

/// Work of callers: completions, or orders with idempotency keys.
struct workload_options
{
    std::string name;
    bool orders = false;
    std::int64_t count = 0;
    /// Requests in a second; 0 sends all at once.
    std::int64_t rate = 0;
    std::string model;
    std::string service;
    std::int64_t tokens = 16;
    bool streamed = false;
    /// Node address; empty to use the address query.
    std::string address;
    std::int64_t deadline_ms = 0;
    state::milliseconds timeout{15000};
    /// Times a caller sends again what was refused as not run, or has a key.
    std::int64_t retries = 0;
    /// Callers that send each key at the same time.
    std::int64_t copies = 1;
    std::uint64_t seed = 1;
};

/// How one request ended for its caller.
enum class ending
{
    answered,
    refused,
    /// No answer, or one that broke off.
    lost,
    /// An answer that is not the one to this request.
    wrong,
};

struct request_result
{
    ending end = ending::lost;
    std::string key;
    /// Of a refusal: `not_run`, `run` or `unknown`.
    std::string run;
    bool has_retry_after = false;
    state::milliseconds took{0};
    std::string note;
};

/// Sends work from the event loop and keeps how each request ended.
class workload
{
public:
    workload(boost::asio::io_context& loop, transport::http_client& client,
             address_book& book, const workload_options& options);

    /// Called on the event loop's thread.
    void start();
    bool is_done() const { return this->finished == this->expected_results; }
    /// Requests that callers sent, with their own retries.
    std::int64_t sent() const { return this->attempts; }
    const workload_options& settings() const { return this->options; }
    /// Valid when done.
    const std::vector<request_result>& results() const { return this->ended; }
    std::int64_t count(ending end) const;

private:
    boost::asio::awaitable<void> pace();
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
    std::vector<request_result> ended;
};

} // namespace pomelorouter::scenario
