#pragma once

#include "platform_state.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>

namespace pomelorouter::tools
{

/// HTTP interface of the platform stand-in.
class platform_handler : public transport::http_handler
{
public:
    platform_handler(boost::asio::io_context& loop, std::size_t retention_records);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;

private:
    boost::asio::awaitable<void> handle_stream(transport::http_exchange& exchange,
                                               const std::string& stream);
    boost::asio::awaitable<void> wait_for_record(const std::string& stream,
                                                 std::uint64_t from,
                                                 state::milliseconds wait);

    boost::asio::io_context& loop;
    platform_state state_store;
    /// Cancelled at each append, which wakes all long polls.
    boost::asio::steady_timer appended;
};

} // namespace pomelorouter::tools
