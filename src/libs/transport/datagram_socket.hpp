#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pomelorouter::transport
{

/// UDP socket on one event loop.
class datagram_socket
{
public:
    using receive_callback = std::function<void(std::string_view)>;

    explicit datagram_socket(boost::asio::any_io_executor executor);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Binds to `ip:port` and calls back for each datagram; returns the bound address.
    /// Throws `state::error` naming the address.
    std::string listen(const std::string& address, receive_callback on_datagram);
    /// Sends without waiting; a datagram that the kernel does not take is dropped.
    bool send(const std::string& address, std::string_view datagram);

private:
    struct shared_state;

    static boost::asio::awaitable<void>
    receive_loop(std::shared_ptr<shared_state> shared);

    std::shared_ptr<shared_state> shared;
};

} // namespace pomelorouter::transport
