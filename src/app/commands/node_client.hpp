#pragma once

#include "state/error.hpp"
#include "transport/http_types.hpp"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// No node answered the request. `place` is the option or the address that the error
/// names.
class nodes_unreachable : public state::error
{
public:
    nodes_unreachable(const std::string& place, const std::string& reason,
                      bool request_may_have_been_sent);

    /// Whether a node may have received and processed the request.
    bool may_have_acted() const { return this->may_have_been_sent; }

private:
    bool may_have_been_sent;
};

/// Blocking HTTP client with which the commands of an operator call the nodes.
class node_client
{
public:
    /// Tries the addresses (`ip:port`) in the given order. `option` is the argument that
    /// errors name.
    explicit node_client(std::vector<std::string> addresses,
                         std::string option = "--node");

    /// Returns the response of the first node that answers. Throws `nodes_unreachable`.
    transport::http_response get(const std::string& target);
    /// Sends the request to the first node that accepts a connection. Tries no further
    /// node once a node may have received the request, so that it is not processed
    /// twice. Throws `nodes_unreachable`.
    transport::http_response post(const std::string& target, const std::string& body);

private:
    std::vector<std::string> addresses;
    std::string option;
};

/// Parses the JSON body of a response. Throws `state::error` if the body is invalid or
/// carries an error; `place` is named in the error.
boost::json::value read_answer(const transport::http_response& response,
                               const std::string& place);

} // namespace pomelorouter::app
