#include "client_crowd.hpp"

#include "transport/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace pomelorouter::test
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t max_write_bytes = 64 * 1024;

} // namespace

client_crowd::client_crowd(asio::io_context& event_loop, const std::string& address,
                           crowd_client behaviour, std::size_t count)
    : client(std::move(behaviour)), last_progress(state::now())
{
    const auto endpoint = transport::parse_address(address);
    for (std::size_t i = 0; i < count; ++i)
    {
        asio::ip::tcp::socket& socket = this->sockets.emplace_back(event_loop);
        boost::system::error_code ignored;
        socket.connect(endpoint, ignored);
        asio::co_spawn(event_loop, this->send(socket), asio::detached);
    }
}

void client_crowd::close()
{
    for (asio::ip::tcp::socket& socket : this->sockets)
    {
        boost::system::error_code ignored;
        socket.close(ignored);
    }
}

asio::awaitable<void> client_crowd::send(asio::ip::tcp::socket& socket)
{
    boost::system::error_code failure;
    asio::steady_timer timer(socket.get_executor());
    for (std::size_t i = 0; i <= this->client.repeats && !failure; ++i)
    {
        const std::string& bytes = i == 0 ? this->client.head : this->client.piece;
        for (std::size_t sent = 0; sent < bytes.size() && !failure;)
        {
            sent += co_await socket.async_write_some(
                asio::buffer(bytes.data() + sent,
                             std::min(max_write_bytes, bytes.size() - sent)),
                asio::redirect_error(asio::use_awaitable, failure));
            this->last_progress = state::now();
        }
        if (this->client.pause.count() == 0)
            continue;
        timer.expires_after(this->client.pause);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace pomelorouter::test
