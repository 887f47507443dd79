#pragma once

#include "plan.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace pomelorouter::bench
{

/// Outcome of a request, as its caller observes it.
enum class request_outcome
{
    /// The complete response arrived within the deadline.
    in_time,
    /// The complete response arrived after the deadline.
    late,
    /// The response had a status other than 200.
    refused,
    /// The call failed or timed out, or the stream contained an error or ended without
    /// `[DONE]`.
    failed,
};

/// Measurements of one request. `first_token_us` and `total_us` are counted from the
/// planned time of the request, so that a slow system cannot hide its delay by slowing
/// down the caller (coordinated omission).
struct request_result
{
    request_outcome outcome = request_outcome::failed;
    std::int64_t first_token_us = 0;
    std::int64_t total_us = 0;
    std::int64_t largest_gap_us = 0;
    std::int64_t tokens = 0;
    bool is_long = false;
    bool is_peak = false;
};

/// Sends the requests of a plan to nodes, or directly to engines, and collects the
/// results.
class caller
{
public:
    /// Sends to `addresses` (ip:port) in turn; `deadline` applies to each request. With
    /// `direct` the addresses are those of engines and the requests use the engine
    /// interface, to measure the baseline for the latency that a node adds.
    caller(std::vector<std::string> addresses, state::milliseconds deadline, bool direct);

    /// Blocks until all requests have ended; returns their results in the order of
    /// `plan`.
    std::vector<request_result> run(const std::vector<planned_request>& plan);

private:
    boost::asio::awaitable<void> send_all(const std::vector<planned_request>& plan,
                                          std::vector<request_result>& results);
    boost::asio::awaitable<void> send_one(const planned_request& request,
                                          std::string address, request_result& result);
    transport::http_request make_request(const planned_request& request);
    boost::asio::awaitable<void> read_stream(transport::http_call& call,
                                             state::time_point planned,
                                             request_result& result);

    boost::asio::io_context loop{1};
    transport::http_client client;
    std::vector<std::string> addresses;
    state::milliseconds deadline;
    bool direct;
    state::time_point start;
    std::uint64_t sent = 0;
};

} // namespace pomelorouter::bench
