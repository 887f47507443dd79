#include "app/gateway/serving/relayed_request.hpp"

// Decisions about a request that is not sent.

namespace pomelorouter::app
{

namespace asio = boost::asio;
using coordination::backend_choice;
using protocol::run_state;
using state::milliseconds;

asio::awaitable<backend_choice> relayed_request::decide_only()
{
    this->is_logged = false;
    backend_choice choice;
    const std::optional<state::error> refused = this->try_prepare();
    if (refused)
    {
        co_await this->refuse(refused->code(), refused->expected(), run_state::not_run);
        co_return choice;
    }
    choice = co_await this->choose();
    if (!choice.backend && !this->is_aborted())
    {
        this->on_not_chosen(choice);
        co_await this->finish(call_end::not_run);
    }
    co_return choice;
}

request_terms relayed_request::terms() const
{
    request_terms result;
    result.route = this->route;
    result.team = this->team;
    result.demand = this->demand;
    if (this->route != nullptr)
        result.rank = this->rank();
    if (this->deadline != state::time_point())
        result.time_limit =
            std::chrono::duration_cast<milliseconds>(this->deadline - this->started);
    result.has_queue_limit = this->decided_at != state::time_point();
    result.queue_ms = this->engine_queue_ms;
    result.queue_limit_ms = this->queue_limit_ms;
    return result;
}

} // namespace pomelorouter::app
