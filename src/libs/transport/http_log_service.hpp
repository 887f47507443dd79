#pragma once

#include "transport/http_client.hpp"
#include "transport/log_service.hpp"

namespace pomelorouter::transport
{

/// Client of the HTTP interface of the log service. All calls must be made on the thread
/// of `client`, which must outlive this object.
class http_log_service : public log_service
{
public:
    http_log_service(http_client& client, std::string address);

    boost::asio::awaitable<std::uint64_t> append(std::string stream,
                                                 std::string data) override;
    boost::asio::awaitable<log_page> read(std::string stream, std::uint64_t from,
                                          state::milliseconds wait) override;

private:
    http_client& client;
    std::string address;
};

} // namespace pomelorouter::transport
