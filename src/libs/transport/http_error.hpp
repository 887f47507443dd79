#pragma once

#include "state/error.hpp"

namespace pomelorouter::transport
{

/// Failure of an HTTP call; says whether the other end may have seen the request.
class http_error : public state::error
{
public:
    http_error(state::error_code code, std::string address, std::string expected,
               bool request_may_have_left);

    /// False only if certainly no byte of the request was handed to the kernel.
    bool request_may_have_left() const { return this->may_have_left; }

private:
    bool may_have_left;
};

} // namespace pomelorouter::transport
