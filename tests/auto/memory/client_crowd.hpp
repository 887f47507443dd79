#pragma once

#include "state/clock.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <list>
#include <string>

namespace pomelorouter::test
{

/// What each client of a crowd sends on its connection. It never reads, and keeps the
/// connection open until the gateway closes it.
struct crowd_client
{
    std::string head;
    /// Sent `repeats` times after the head, with a pause after each.
    std::string piece;
    std::size_t repeats = 0;
    state::milliseconds pause{0};
};

/// Clients that send at the same time.
class client_crowd
{
public:
    client_crowd(boost::asio::io_context& event_loop, const std::string& address,
                 crowd_client behaviour, std::size_t count);
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /// Closes all connections.
    void close();
    /// Time since a client could last send something.
    state::milliseconds rest_time() const { return state::since(this->last_progress); }

private:
    boost::asio::awaitable<void> send(boost::asio::ip::tcp::socket& socket);

    crowd_client client;
    std::list<boost::asio::ip::tcp::socket> sockets;
    state::time_point last_progress{};
};

} // namespace pomelorouter::test
