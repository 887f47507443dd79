#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace pomelorouter::test
{

/// Server whose connections are handled by a coroutine of the test. Its receive buffer
/// and segments are small, so that a sender soon waits for a server that does not read.
class scripted_server
{
public:
    using script =
        std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket&)>;

    scripted_server(boost::asio::io_context& event_loop, script connection_script);

    std::string address;
    int connections = 0;

private:
    boost::asio::awaitable<void> accept();

    boost::asio::io_context& loop;
    boost::asio::ip::tcp::acceptor acceptor;
    script handle;
};

/// Reads up to the end of the header of a request.
boost::asio::awaitable<void> read_request_head(boost::asio::ip::tcp::socket& socket);
/// Reads until the other side closes or resets the connection. Returns the error of the
/// last read.
boost::asio::awaitable<boost::system::error_code>
read_to_end(boost::asio::ip::tcp::socket& socket);
boost::asio::awaitable<void> write_text(boost::asio::ip::tcp::socket& socket,
                                        std::string text);
/// Closes the connection with a reset.
void reset_connection(boost::asio::ip::tcp::socket& socket);

} // namespace pomelorouter::test
