#pragma once

#include "state/error.hpp"
#include "transport/http_types.hpp"

#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::app
{

/// No node answered.
class nodes_unreachable : public state::error
{
public:
    nodes_unreachable(const std::string& place, const std::string& reason,
                      bool request_may_have_left);

    /// Whether one of the nodes may have acted on the request.
    bool may_have_acted() const { return this->may_have_left; }

private:
    bool may_have_left;
};

/// Sends requests of an operator's command to nodes and waits for the answer.
class node_client
{
public:
    /// `addresses` are tried in this order.
    explicit node_client(std::vector<std::string> addresses);

    /// Asks the first node that answers; throws `nodes_unreachable`.
    transport::http_response get(const std::string& target);
    /// Sends to the first node that can be reached; once a node may have read the request
    /// no other one is tried. Throws `nodes_unreachable`.
    transport::http_response post(const std::string& target, const std::string& body);

private:
    std::vector<std::string> addresses;
};

/// Reads the body of an answer; throws the refusal in it if it is one.
boost::json::value read_answer(const transport::http_response& response,
                               const std::string& place);

} // namespace pomelorouter::app
