#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace pomelorouter::transport::internal
{

class http_connection;

/// Checks periodically whether servers acknowledge the requests that are sent to them.
/// Its timer runs only while a request is being delivered.
class delivery_watch : public std::enable_shared_from_this<delivery_watch>
{
public:
    explicit delivery_watch(const boost::asio::any_io_executor& executor);

    void add(std::weak_ptr<http_connection> connection);

private:
    void arm();
    void check();

    boost::asio::steady_timer timer;
    bool is_armed = false;
    std::vector<std::weak_ptr<http_connection>> connections;
};

} // namespace pomelorouter::transport::internal
