#include "transport/delivery_watch.hpp"

#include "transport/http_connection.hpp"

#include <algorithm>
#include <utility>

namespace pomelorouter::transport::internal
{

namespace
{

/// Several checks must fit into the time after which the kernel drops a connection.
constexpr state::milliseconds check_period{250};

} // namespace

delivery_watch::delivery_watch(const boost::asio::any_io_executor& executor)
    : timer(executor)
{
}

void delivery_watch::add(std::weak_ptr<http_connection> connection)
{
    this->connections.push_back(std::move(connection));
    if (!this->is_armed)
        this->arm();
}

void delivery_watch::arm()
{
    this->is_armed = true;
    this->timer.expires_after(check_period);
    this->timer.async_wait(
        [owner = this->weak_from_this()](boost::system::error_code)
        {
            // The watch may have been destroyed after the timer expired.
            if (const auto watch = owner.lock())
                watch->check();
        });
}

void delivery_watch::check()
{
    const state::time_point now = state::now();
    const auto is_finished = [now](const std::weak_ptr<http_connection>& item)
    {
        const auto connection = item.lock();
        return !connection || !connection->check_delivery(now);
    };
    this->connections.erase(
        std::remove_if(this->connections.begin(), this->connections.end(), is_finished),
        this->connections.end());
    this->is_armed = false;
    if (!this->connections.empty())
        this->arm();
}

} // namespace pomelorouter::transport::internal
