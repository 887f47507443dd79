#include "transport/http_error.hpp"

#include <utility>

namespace pomelorouter::transport
{

http_error::http_error(state::error_code code, std::string address, std::string expected,
                       bool request_may_have_left)
    : state::error(code, std::move(address), std::move(expected)),
      may_have_left(request_may_have_left)
{
}

} // namespace pomelorouter::transport
