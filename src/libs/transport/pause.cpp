#include "transport/pause.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pomelorouter::transport
{

namespace asio = boost::asio;

asio::awaitable<void> pause(asio::any_io_executor executor, state::milliseconds duration)
{
    asio::steady_timer timer(executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace pomelorouter::transport
