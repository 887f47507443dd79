#include "transport/datagram_socket.hpp"

#include "state/error.hpp"
#include "transport/address.hpp"
#include "transport/background_task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <utility>

namespace pomelorouter::transport
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

constexpr std::size_t max_datagram_bytes = 64 * 1024;
/// Datagrams that are received before other work of the event loop gets its turn.
constexpr int max_batch = 64;

udp::endpoint to_udp(const asio::ip::tcp::endpoint& endpoint)
{
    return {endpoint.address(), endpoint.port()};
}

} // namespace

struct datagram_socket::shared_state
{
    explicit shared_state(const asio::any_io_executor& executor) : socket(executor) {}

    udp::socket socket;
    receive_callback callback;
    /// Cache of parsed addresses; it holds one entry per peer.
    std::map<std::string, udp::endpoint, std::less<>> endpoints;
};

datagram_socket::datagram_socket(asio::any_io_executor executor)
    : shared(std::make_shared<shared_state>(executor))
{
}

datagram_socket::~datagram_socket()
{
    this->shared->callback = nullptr;
    boost::system::error_code ignored;
    this->shared->socket.close(ignored);
}

std::string datagram_socket::listen(const std::string& address,
                                    receive_callback on_datagram)
{
    const udp::endpoint endpoint = to_udp(parse_address(address));
    boost::system::error_code failure;
    this->shared->socket.open(endpoint.protocol(), failure);
    if (!failure)
        this->shared->socket.bind(endpoint, failure);
    if (!failure)
        this->shared->socket.non_blocking(true, failure);
    if (failure)
        throw state::error(state::error_code::io_error, address, failure.message());
    this->shared->callback = std::move(on_datagram);
    asio::co_spawn(this->shared->socket.get_executor(), receive_loop(this->shared),
                   asio::detached);
    const udp::endpoint bound = this->shared->socket.local_endpoint();
    return format_address({bound.address(), bound.port()});
}

bool datagram_socket::send(const std::string& address, std::string_view datagram)
{
    auto found = this->shared->endpoints.find(address);
    if (found == this->shared->endpoints.end())
    {
        found = this->shared->endpoints.emplace(address, to_udp(parse_address(address)))
                    .first;
    }
    boost::system::error_code failure;
    this->shared->socket.send_to(asio::buffer(datagram.data(), datagram.size()),
                                 found->second, 0, failure);
    return !failure;
}

asio::awaitable<void> datagram_socket::receive_loop(std::shared_ptr<shared_state> shared)
{
    std::string buffer(max_datagram_bytes, '\0');
    while (shared->socket.is_open())
    {
        boost::system::error_code failure;
        co_await shared->socket.async_wait(
            udp::socket::wait_read, asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        // With one datagram for each turn of the event loop, a busy loop would receive
        // datagrams later and later, until the kernel drops them.
        for (int count = 0; count < max_batch && shared->callback; ++count)
        {
            udp::endpoint sender;
            const std::size_t received =
                shared->socket.receive_from(asio::buffer(buffer), sender, 0, failure);
            if (failure == asio::error::would_block)
                break;
            // Other errors report that an earlier datagram could not be delivered;
            // receiving goes on.
            if (failure)
                continue;
            try
            {
                shared->callback(std::string_view(buffer.data(), received));
            }
            catch (...)
            {
                log_current_exception("datagram");
            }
        }
    }
}

} // namespace pomelorouter::transport
