#include "transport/connection_close.hpp"

namespace pomelorouter::transport
{

close_kind choose_close(call_progress progress)
{
    switch (progress)
    {
    case call_progress::none:
    case call_progress::answered:
        return close_kind::orderly;
    // The caller has its answer, or the request is sent to another server.
    case call_progress::unanswered:
    // The server does not need the rest of the request and would get only a part of it.
    case call_progress::answered_early:
        break;
    }
    return close_kind::reset;
}

} // namespace pomelorouter::transport
