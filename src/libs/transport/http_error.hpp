#pragma once

#include "state/error.hpp"

namespace pomelorouter::transport
{

/// Failure of an HTTP call to `address`, with the information whether the server may have
/// received the request.
class http_error : public state::error
{
public:
    http_error(state::error_code code, std::string address, std::string reason,
               bool request_may_have_been_sent);

    /// False only if it is certain that no byte of the request was passed to the kernel.
    bool request_may_have_been_sent() const { return this->may_have_been_sent; }

private:
    bool may_have_been_sent;
};

} // namespace pomelorouter::transport
