#pragma once

#include "state/clock.hpp"
#include "transport/http_client.hpp"

#include <boost/asio/awaitable.hpp>

#include <string>
#include <vector>

namespace pomelorouter::scenario
{

/// Addresses of nodes as callers know them: asked of any node and kept as long as the
/// answer allows. Belongs to the event loop's thread.
class address_book
{
public:
    explicit address_book(transport::http_client& client) : http(client) {}

    /// Addresses that callers are told by hand; asked first for the others.
    void set_known(std::vector<std::string> addresses);
    /// Returns the next address in turn; empty if none is known.
    boost::asio::awaitable<std::string> next();

private:
    boost::asio::awaitable<bool> ask(std::string address);

    transport::http_client& http;
    std::vector<std::string> known;
    std::vector<std::string> current;
    state::time_point valid_until{};
    bool refreshing = false;
    std::size_t turn = 0;
};

} // namespace pomelorouter::scenario
