#include "transport/async_event.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace pomelorouter::transport
{

async_event::async_event(boost::asio::any_io_executor loop_executor)
    : executor(std::move(loop_executor))
{
}

boost::asio::awaitable<void> async_event::wait(state::milliseconds timeout)
{
    boost::asio::steady_timer timer(this->executor, timeout);
    this->waiting.insert(&timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    this->waiting.erase(&timer);
}

void async_event::notify()
{
    for (boost::asio::steady_timer* const timer : this->waiting)
        timer->cancel();
}

} // namespace pomelorouter::transport
