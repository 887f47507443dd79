#pragma once

#include "platform_state.hpp"
#include "tools/stand_in_handler.hpp"
#include "weight_store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>

namespace pomelorouter::tools
{

/// HTTP interface of the platform stand-in.
class platform_handler : public stand_in_handler
{
public:
    platform_handler(boost::asio::io_context& loop, const platform_limits& limits,
                     const weight_store_options& weights);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;
    void add_stats(boost::json::object& stats) const override;

private:
    boost::asio::awaitable<void> handle_stream(transport::http_exchange& exchange,
                                               const std::string& stream);
    boost::asio::awaitable<void> wait_for_record(const std::string& stream,
                                                 std::uint64_t from,
                                                 state::milliseconds wait);

    boost::asio::awaitable<void> append(transport::http_exchange& exchange,
                                        const std::string& stream);
    boost::asio::awaitable<void> change_instances(transport::http_exchange& exchange,
                                                  std::string path);
    boost::asio::awaitable<void> fetch_weights(transport::http_exchange& exchange);

    boost::asio::io_context& loop;
    platform_state state_store;
    weight_store weights;
    std::int64_t refused_appends = 0;
    /// Cancelled at each append, which resumes all long polls.
    boost::asio::steady_timer appended;
};

} // namespace pomelorouter::tools
