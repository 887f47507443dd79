#include "link_relay.hpp"

#include "state/clock.hpp"
#include "transport/address.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace pomelorouter::scenario
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t buffer_bytes = 16 * 1024;
constexpr state::milliseconds hold_check_interval{5};

} // namespace

struct link_relay::connection
{
    connection(tcp::socket incoming, asio::io_context& loop)
        : client(std::move(incoming)), server(loop)
    {
    }

    tcp::socket client;
    tcp::socket server;
    unsigned short client_port = 0;
    std::string client_name;
    bool silent = false;
};

link_relay::link_relay(asio::io_context& event_loop, std::string target_name,
                       const std::string& target_address, const cut_directions& cut_links,
                       process_name_lookup finder)
    : loop(event_loop),
      name(std::move(target_name)),
      target(transport::parse_address(target_address)),
      cuts(cut_links),
      find_process_name(std::move(finder)),
      acceptor(event_loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      listen_address(transport::format_address(this->acceptor.local_endpoint()))
{
    asio::co_spawn(this->loop, this->accept_loop(), asio::detached);
}

void link_relay::silence()
{
    for (const auto& item : this->connections)
    {
        if (const auto link = item.lock())
            link->silent = true;
    }
}

asio::awaitable<void> link_relay::accept_loop()
{
    for (;;)
    {
        boost::system::error_code failure;
        tcp::socket socket = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        auto link = std::make_shared<connection>(std::move(socket), this->loop);
        const auto peer = link->client.remote_endpoint(failure);
        if (!failure)
            link->client_port = peer.port();
        this->connections.remove_if([](const auto& item) { return item.expired(); });
        this->connections.push_back(link);
        asio::co_spawn(this->loop, this->serve(link), asio::detached);
    }
}

asio::awaitable<void> link_relay::serve(std::shared_ptr<connection> link)
{
    boost::system::error_code failure;
    co_await link->server.async_connect(
        this->target, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return;
    link->client.set_option(tcp::no_delay(true), failure);
    link->server.set_option(tcp::no_delay(true), failure);
    asio::co_spawn(this->loop, this->copy(link, true), asio::detached);
    asio::co_spawn(this->loop, this->copy(link, false), asio::detached);
}

bool link_relay::is_cut(connection& link, bool forward) const
{
    if (this->cuts.empty())
        return false;
    // Looked up on use, because a process may connect before the runner has recorded its
    // pid.
    if (link.client_name.empty())
        link.client_name = this->find_process_name(
            link.client_port, this->acceptor.local_endpoint().port());
    return this->cuts.contains(forward ? std::pair(link.client_name, this->name)
                                       : std::pair(this->name, link.client_name));
}

asio::awaitable<void> link_relay::copy(std::shared_ptr<connection> link, bool forward)
{
    tcp::socket& from = forward ? link->client : link->server;
    tcp::socket& to = forward ? link->server : link->client;
    std::array<char, buffer_bytes> buffer{};
    asio::steady_timer timer(this->loop);
    for (;;)
    {
        boost::system::error_code failure;
        const std::size_t received = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
        while (link->silent || this->is_cut(*link, forward))
        {
            timer.expires_after(hold_check_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (failure)
            break;
        co_await asio::async_write(to, asio::buffer(buffer.data(), received),
                                   asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
    }
    // A close or an error on one side closes both sides.
    boost::system::error_code ignored;
    link->client.close(ignored);
    link->server.close(ignored);
}

} // namespace pomelorouter::scenario
