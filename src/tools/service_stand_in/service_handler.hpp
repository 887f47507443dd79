#pragma once

#include "tools/stand_in_handler.hpp"
#include "tools/work_after_leaving.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace pomelorouter::tools
{

/// Plain service that counts the executions of each order by idempotency key.
class service_handler : public stand_in_handler
{
public:
    service_handler(boost::asio::io_context& loop, state::milliseconds request_duration);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;
    void add_stats(boost::json::object& stats) const override;

private:
    boost::asio::awaitable<void> run(transport::http_exchange& exchange);
    boost::json::object run_counts() const;

    boost::asio::io_context& loop;
    state::milliseconds request_duration;
    std::map<std::string, std::int64_t> runs;
    std::int64_t refused = 0;
    work_after_leaving arrivals_after_leaving;
};

} // namespace pomelorouter::tools
