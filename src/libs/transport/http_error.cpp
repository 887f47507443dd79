#include "transport/http_error.hpp"

#include <utility>

namespace pomelorouter::transport
{

http_error::http_error(state::error_code code, std::string address, std::string reason,
                       bool request_may_have_been_sent)
    : state::error(code, std::move(address), std::move(reason)),
      may_have_been_sent(request_may_have_been_sent)
{
}

} // namespace pomelorouter::transport
