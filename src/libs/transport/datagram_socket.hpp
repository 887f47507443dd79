#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace pomelorouter::transport
{

/// UDP socket on one event loop. All calls must be made on the thread of `executor`.
class datagram_socket
{
public:
    using receive_callback = std::function<void(std::string_view)>;

    explicit datagram_socket(boost::asio::any_io_executor executor);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// Binds to `ip:port` and calls `on_datagram` for each datagram; an exception of the
    /// callback is logged. Returns the bound address. Throws `state::error` that names
    /// the address.
    std::string listen(const std::string& address, receive_callback on_datagram);
    /// Sends without waiting. Returns false if the kernel rejects the datagram, which is
    /// then dropped. Throws `state::error` if `address` is not `ip:port`.
    bool send(const std::string& address, std::string_view datagram);

private:
    struct shared_state;

    static boost::asio::awaitable<void>
    receive_loop(std::shared_ptr<shared_state> shared);

    std::shared_ptr<shared_state> shared;
};

} // namespace pomelorouter::transport
