#pragma once

#include "app/gateway/serving/gateway_state.hpp"
#include "app/gateway/serving/request_dialect.hpp"
#include "transport/http_client.hpp"
#include "transport/http_types.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <string>
#include <string_view>

namespace pomelorouter::app
{

/// A request whose way is to be explained.
struct explained_request
{
    transport::verb method = transport::verb::post;
    std::string host;
    std::string path;
    request_metadata metadata;
};

/// Parses the body of an operator's query. Throws `state::error` naming the member.
explained_request read_explained_request(std::string_view body);

/// Returns where the request would go now, and why. Nothing is sent, and `live` does not
/// change: the decisions are made by the code of real requests on a copy of the state.
boost::asio::awaitable<boost::json::object> explain(const gateway_state& live,
                                                    const request_dialect& dialect,
                                                    transport::http_client& client,
                                                    const explained_request& query);

} // namespace pomelorouter::app
