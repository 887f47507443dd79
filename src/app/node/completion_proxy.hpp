#pragma once

#include "app/node/control_loop.hpp"
#include "app/node/request_id.hpp"
#include "protocol/caller_api.hpp"
#include "state/counters.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// Serves completions: chooses an engine, checks each chunk, resumes a broken stream
/// elsewhere.
class completion_proxy
{
public:
    completion_proxy(const view_cell& views, transport::http_client& client,
                     state::counter_registry& counters);

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange,
                                        protocol::completion_form form);

private:
    struct request_state;
    class caller_output;

    /// How one attempt on one engine ended.
    enum class attempt_result
    {
        finished,
        failed,
        refused,
    };

    boost::asio::awaitable<attempt_result> attempt(request_state& request,
                                                   const state::backend_view& engine,
                                                   caller_output& output);
    boost::asio::awaitable<bool> forward_chunks(request_state& request,
                                                transport::http_call& call,
                                                caller_output& output);
    const state::backend_view* choose(const state::node_view& view,
                                      const request_state& request);

    const view_cell& views;
    transport::http_client& client;
    request_id_source ids;
    std::uint64_t rotation = 0;
    state::counter& completions;
    state::counter& tokens;
    state::counter& resumed;
    state::counter& refused;
    state::counter& wrong_chunks;
};

} // namespace pomelorouter::app
