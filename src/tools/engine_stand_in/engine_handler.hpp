#pragma once

#include "protocol/engine_api.hpp"
#include "state/clock.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <string>
#include <vector>

namespace pomelorouter::tools
{

/// What kind of engine to imitate.
struct engine_options
{
    std::string id;
    state::microseconds token_time{1000};
    std::int64_t slots = 16;
    std::int64_t capacity_bytes = 0;
    std::vector<std::string> resident;
};

/// Text of one token: a function of prompt and index, so that any engine makes the same
/// text.
std::string token_text(const std::string& prompt, std::int64_t index);

/// HTTP interface of the engine stand-in.
class engine_handler : public transport::http_handler
{
public:
    engine_handler(boost::asio::io_context& loop, const engine_options& options);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;

private:
    boost::asio::awaitable<void> complete(transport::http_exchange& exchange);

    boost::asio::io_context& loop;
    engine_options options;
    state::engine_inventory inventory;
    std::int64_t running = 0;
};

} // namespace pomelorouter::tools
