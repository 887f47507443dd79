#include "transport/http_server.hpp"

#include "state/log.hpp"
#include "transport/address.hpp"
#include "transport/http_session.hpp"
#include "transport/pause.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace pomelorouter::transport
{

namespace asio = boost::asio;
using internal::connection_bytes;
using internal::http_server_state;
using internal::http_session;

namespace
{

/// A stopping server waits this long for the first request on a new connection.
constexpr state::milliseconds first_request_timeout{500};
/// Pause after the kernel refused to accept a connection, for example for lack of
/// descriptors; without it, the server would try again without end.
constexpr state::milliseconds accept_retry_delay{20};
/// Receive buffer of a connection, in which the kernel holds half as much again. Bytes
/// that are not read yet count as memory of the process, and by default the kernel
/// enlarges the buffer to megabytes. With 30 KiB, a client at a round trip of 1 ms can
/// send 30 MB/s, and one at 30 ms 1 MB/s.
constexpr int receive_buffer_bytes = 20 * 1024;

bool reserve_connection(http_server_state& server, memory_reservation& memory)
{
    while (!memory.resize(connection_bytes))
    {
        if (!server.close_longest_idle())
            return false;
    }
    return true;
}

} // namespace

http_server::http_server(asio::io_context& loop, const http_server_limits& limits,
                         http_handler& handler, state::counter_registry& counters)
    : shared(std::make_shared<http_server_state>(loop, limits, handler, counters))
{
}

http_server::~http_server()
{
    this->stop_accepting();
}

std::string http_server::listen(const std::string& address)
{
    std::string bound = open_listener(this->shared->acceptor, address);
    if (this->shared->memory)
    {
        // Accepted connections inherit it.
        boost::system::error_code ignored;
        this->shared->acceptor.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    }
    asio::co_spawn(this->shared->loop, accept_loop(this->shared), asio::detached);
    return bound;
}

void http_server::set_memory(std::shared_ptr<memory_budget> memory, memory_use use)
{
    this->shared->memory = std::move(memory);
    if (use == memory_use::requests)
        return;
    this->shared->connection_use = use;
    this->shared->request_use = use;
    this->shared->large_body_use = use;
}

void http_server::set_limits(const http_server_limits& limits)
{
    const bool is_idle_timeout_changed =
        limits.idle_timeout != this->shared->limits->idle_timeout;
    this->shared->limits = std::make_shared<const http_server_limits>(limits);
    if (!is_idle_timeout_changed)
        return;
    for (internal::http_session* const session : this->shared->idle)
        session->on_idle_timeout_changed();
}

void http_server::announce_close()
{
    this->shared->closing = true;
}

void http_server::stop_accepting()
{
    this->shared->closing = true;
    if (!std::exchange(this->shared->accepting, false))
        return;
    // Connections in the listener's queue are already established for their clients, and
    // closing the listener would reset them.
    boost::system::error_code failure;
    this->shared->acceptor.non_blocking(true, failure);
    while (!failure)
    {
        asio::ip::tcp::socket socket(this->shared->loop);
        this->shared->acceptor.accept(socket, failure);
        if (!failure)
            serve(this->shared, std::move(socket));
    }
    boost::system::error_code ignored;
    this->shared->acceptor.close(ignored);
    for (http_session* const item : this->shared->sessions)
        item->count_until_first_request();
    this->shared->first_request_timer.expires_after(first_request_timeout);
    this->shared->first_request_timer.async_wait(
        [shared = this->shared](boost::system::error_code)
        {
            for (http_session* const item : shared->sessions)
                item->stop_counting_first_request();
        });
}

bool http_server::has_unread_requests() const
{
    return std::any_of(this->shared->sessions.begin(), this->shared->sessions.end(),
                       [](http_session* item) { return item->has_unread_bytes(); });
}

std::size_t http_server::requests_in_flight() const
{
    return this->shared->in_flight;
}

asio::awaitable<void> http_server::accept_loop(std::shared_ptr<http_server_state> shared)
{
    while (shared->accepting)
    {
        boost::system::error_code failure;
        asio::ip::tcp::socket socket = co_await shared->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (!failure)
        {
            serve(shared, std::move(socket));
            continue;
        }
        if (failure == asio::error::connection_aborted)
            continue;
        if (shared->accept_failures.get() == 0)
        {
            state::log_event(state::log_level::warning, "accept_failed")
                .field("problem", failure.message());
        }
        shared->accept_failures.add();
        shared->close_longest_idle();
        co_await pause(shared->loop.get_executor(), accept_retry_delay);
    }
}

void http_server::serve(const std::shared_ptr<http_server_state>& shared,
                        asio::ip::tcp::socket socket)
{
    memory_reservation memory(shared->memory, shared->connection_use);
    const bool has_descriptor =
        shared->sessions.size() < shared->limits->max_connections ||
        shared->close_longest_idle();
    if (!has_descriptor || !reserve_connection(*shared, memory))
    {
        shared->refused_connections.add();
        return;
    }
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto client =
        std::make_unique<http_session>(shared, std::move(socket), std::move(memory));
    asio::co_spawn(
        shared->loop,
        [owned = std::move(client)]() -> asio::awaitable<void> { co_await owned->run(); },
        asio::detached);
}

} // namespace pomelorouter::transport
