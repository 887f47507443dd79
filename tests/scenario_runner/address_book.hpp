#pragma once

#include "state/clock.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace pomelorouter::scenario
{

/// Node addresses as callers know them: queried from any node and cached for the TTL of
/// the answer. Must be used on the event loop's thread only.
class address_book
{
public:
    explicit address_book(transport::http_client& client) : http(client) {}

    /// Sets the configured addresses. They are queried first for the other nodes.
    void set_configured(std::vector<std::string> addresses);
    /// Returns the node addresses round-robin, or an empty string if none is known.
    boost::asio::awaitable<std::string> next();

private:
    boost::asio::awaitable<bool> query(std::string address);

    transport::http_client& http;
    std::vector<std::string> configured;
    std::vector<std::string> current;
    state::time_point valid_until{};
    bool refreshing = false;
    std::size_t next_index = 0;
};

} // namespace pomelorouter::scenario
